; Load without faults.
(fleet (proxies 40) (sets 8) (members 3) (load 0.55))
(length 15)
