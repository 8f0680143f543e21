; A server is out of service while all proxies are upgraded and restarted twice, under sessions that write and read.
(fleet (proxies 8) (sets 4) (members 3) (load 0.4))
(sessions (marks kept))
(clients (follows 0.8) (gap 0.15))
(length 16)
(at 1 (by-hand (one 1) 12))
(at 2 (upgrade all)) (at 5 (restart all 1)) (at 8 (upgrade all)) (at 11 (restart all 1))
