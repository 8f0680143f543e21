; Hot restarts while many proxy processes are paused: before, during and after the handover of the listening
; sockets, and for longer than the successor waits.
(fleet (proxies 24) (sets 4) (members 3) (load 0.4))
(sessions (marks kept))
(clients (follows 0.8) (gap 0.15))
(length 42)
(at 2 (upgrade all)) (at 2.01 (stall (share 0.3) 0.4)) (at 2.06 (stall (share 0.3) 1.5))
(at 10 (stall (share 0.4) 1.2)) (at 10.1 (upgrade all)) (at 10.3 (stall (share 0.3) 0.8))
(at 18 (upgrade all)) (at 18.02 (stall (share 0.5) 2.5))
(at 25.9 (stall (share 0.5) 5)) (at 26 (upgrade all))
(at 36 (upgrade all)) (at 36.03 (stall (share 0.5) 1.3)) (at 36.5 (stall (share 0.5) 1.3))
