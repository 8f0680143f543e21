; What the operators set by themselves; docs/failover.md describes each figure. These are the ones that count without
; this file. It is read where `--operators` or GW_OPERATORS names it, at the start and at SIGHUP, all of it or nothing.
(failover
  (hold-count 2048)       ; writes held at the most, over all sets
  (hold-bytes 33554432)   ; bytes of their statements
  (hold-share 0.5)        ; share of both for one set
  (patience 1)            ; usual answer times of silence, beside its spread, after which a primary's writes are held
  (refuse-under 0.002)    ; chance of a primary in time, under which a write is refused as soon as it comes
  (hold-over 0.6))        ; chance of one, over which a write is held past half of its time
