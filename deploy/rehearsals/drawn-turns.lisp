; The same as `drawn-fleet.lisp`, with gateways that take turns at the counter: faults strike lookers and the words to them.
(rehearsal
  (name "drawn-turns")
  (seconds 20)
  (fleet (gateways 6) (workers 4) (cores 4) (queue 32)
         (peers yes) (operator "(fleet (roll-call yes) (turns yes) @peers)"))
  (plan (name "flooding") (quota 60 20) (ceiling 72 40 12))
  (plan (name "usual") (quota 20 40))
  (accounts (count 2) (plan "flooding") (rate 240) (work 2 6))
  (accounts (count 2) (plan "flooding") (spread 3) (rate 160) (work 2 6) (pushes 0.2))
  (accounts (count 6) (plan "usual") (spread 2) (rate 40) (units 2) (pushes 0.2))
  (notices 0.3)
  (drawn 10 2 14)
  (holds (through 1 17 20 0.3 1.4)))
