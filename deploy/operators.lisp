; The operators' own settings, with their defaults, which also apply without this file. docs/failover.md describes each.
; The file is read where `--operators` or GW_OPERATORS names it, at the start and at SIGHUP, all of it or nothing.
(failover
  (hold-count 2048)       ; most buffered writes, over all replica sets
  (hold-bytes 33554432)   ; most bytes of their statements
  (hold-share 0.5)        ; most of both for one replica set, as a share
  (patience 1)            ; mean response times of silence, beside its deviations, after which a primary's writes are buffered
  (refuse-under 0.002)    ; chance of a primary in time, under which a write is rejected on arrival
  (hold-over 0.6))        ; chance of one, over which a write stays buffered past half of its time
