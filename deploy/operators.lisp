; The operators' settings with their defaults, which also apply without this file. docs/failover.md describes
; each. The proxy reads the file that `--operators` or GW_OPERATORS names at its start and at SIGHUP. If the
; file has an error, none of it is applied.
(failover
  (hold-count 2048)       ; most buffered writes, over all replica sets
  (hold-bytes 33554432)   ; most bytes of their statements
  (hold-share 0.5)        ; most of both for one replica set, as a share
  (patience 1)            ; mean response times of silence, beside its deviations, after which a primary's writes are buffered
  (refuse-under 0.002)    ; chance of a primary in time, under which a write is rejected on arrival
  (hold-over 0.6))        ; chance of one, over which a write stays buffered past half of its time
