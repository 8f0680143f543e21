; The operators' settings with their default values, which also apply without this file. docs/failover.md
; describes each setting. At its start and at SIGHUP, the proxy reads the file that `--operators` or
; GW_OPERATORS names. If the file has an error, none of it is applied.
;
; A primary that is silent beyond its silence threshold is suspected, and writes to it are buffered. The
; threshold is computed from the mean and the deviation of the primary's response times.
; Recovery means that the replica set takes writes again.
(failover
  (hold-count 2048)       ; maximum number of buffered writes over all replica sets
  (hold-bytes 33554432)   ; maximum total size of the buffered statements over all replica sets, in bytes
  (hold-share 0.5)        ; share of both limits that one replica set may use
  (patience 1)            ; multiple of a primary's mean response time that its silence threshold includes
  (refuse-under 0.002)    ; minimum probability of recovery before a write's deadline, else it is rejected
  (hold-over 0.6))        ; the same minimum once about half of the time to the write's deadline has passed
