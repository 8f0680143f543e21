; A release: seven in ten proxies are killed at once under load, and come back with the list that they had.
(fleet (proxies 200) (sets 8) (members 3) (load 0.5))
(list (rate 15))
(length 70)
(at 35 (kill (share 0.7) 0.5))
