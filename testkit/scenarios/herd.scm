; Thundering herd after a release: 70 % of the proxies are killed at once under load and restart with their
; cached endpoint lists.
(fleet (proxies 200) (sets 8) (members 3) (load 0.5))
(list (rate 15))
(length 70)
(at 35 (kill (share 0.7) 0.5))
