; Sessions write and read continuously while replication is slow and the proxies are upgraded and restarted:
; 50 upgrades and 50 restarts in total.
(fleet (proxies 25) (sets 3) (members 3) (load 0.4))
(sessions (marks kept))
(clients (follows 0.9) (gap 0.1))
(length 20)
(at 0.5 (lag 0 2.5 20) (lag 1 2.5 20) (lag 2 2.5 20))
(at 2 (upgrade all)) (at 6 (upgrade all))
(at 10 (restart all 3.8)) (at 15 (restart all 3.8))
