; All processes of the proxies are killed on purpose during an upgrade: before and after the successor is ready, and
; while the predecessor is in its graceful shutdown.
(fleet (proxies 8) (sets 4) (members 3) (load 0.4))
(sessions (marks kept))
(clients (follows 0.8) (gap 0.15))
(length 16)
(at 2 (upgrade all)) (at 2.3 (kill all 0.5))
(at 6 (upgrade all)) (at 6.6 (kill all 0.5))
(at 10 (upgrade all)) (at 10.9 (kill all 0.5))
