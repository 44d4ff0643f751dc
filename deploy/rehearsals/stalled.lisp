; A gateway stands still for five seconds, longer than a lease, wakes up and finds that others use its part. Twice,
; and the second time two of them, while the counter forgets and is late.
(rehearsal
  (name "stalled")
  (seconds 22)
  (fleet (gateways 5) (workers 4) (cores 4) (queue 32)
         (peers yes) (operator "(fleet (roll-call yes) @peers)"))
  (plan (name "flooding") (quota 60 20) (ceiling 72 40 12))
  (accounts (count 2) (plan "flooding") (rate 300) (work 2 6))
  (accounts (count 2) (plan "flooding") (spread 2) (rate 200) (work 2 6))
  (notices 0.3)
  (at 4 (stall (gateways 1)) (for 5))
  (at 11 (stall (gateways 0 3)) (for 5))
  (at 12 (counter forgets))
  (at 13 (counter (late 0.1)) (for 2))
  (holds (through 1 19 22 0.5 1.3)))
