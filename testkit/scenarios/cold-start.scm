; A power cut: all proxies start within 0.1 s and remember no list; one service tells it to 15 of them a second.
(fleet (proxies 200) (sets 8) (members 3) (load 0.5))
(start (within 0.1) (remembered nothing))
(list (rate 15))
(length 30)
