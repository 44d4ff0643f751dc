; A keeper of the policy: `hingestage keep deploy/keeper.example.lisp --begin` the first time, without `--begin`
; from then on. Every field is here with its usual value; see docs/on-change.md.
(keeper
  ; This keeper's number. It goes with the folder: neither is ever used again for another keeper.
  (number 0)
  ; Where it listens; that of the list of keepers where not said.
  (listen "127.0.0.1:7000")
  ; Its store. It must be on a disk that lasts.
  (folder "/var/lib/hingestage/keeper-0")
  ; All keepers and how this one reaches them: three outlive the loss of one, five that of two.
  (keepers (0 "127.0.0.1:7000") (1 "127.0.0.1:7001") (2 "127.0.0.1:7002"))
  ; A gateway serves so long, in seconds, after it asked for word. The same in all files, gateways' too.
  (lease 2)
  ; Most that clocks differ, seconds. The same in all files.
  (error 0.25)
  ; The version that the log begins with, where it has not begun.
  (first "policy.lisp")
  ; The keeper that leads says so each so many seconds; others vote after four to eight of these without a word.
  (heartbeat 0.1))
