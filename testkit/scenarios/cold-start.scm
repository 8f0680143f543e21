; Cold start after a power failure: all proxies start within 0.1 s without a cached endpoint list, and one
; discovery service answers 15 polls per second.
(fleet (proxies 200) (sets 8) (members 3) (load 0.5))
(start (within 0.1) (remembered nothing))
(list (rate 15))
(length 30)
