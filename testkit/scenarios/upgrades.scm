; Repeated hot restarts of all proxies, in sessions that write and read.
(fleet (proxies 8) (sets 4) (members 3) (load 0.45))
(sessions (marks kept))
(clients (follows 0.8) (gap 0.15))
(length 20)
(at 2 (upgrade all)) (at 5 (upgrade all)) (at 9 (upgrade all)) (at 13 (upgrade all))
