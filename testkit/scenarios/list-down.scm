; All proxies start without a cached endpoint list, and discovery is down for the first 20 s.
(fleet (proxies 200) (sets 8) (members 3) (load 0.5))
(start (within 0.1) (remembered nothing))
(list (rate 15))
(length 60)
(at 0 (list-down 20))
