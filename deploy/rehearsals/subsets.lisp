; Thirty gateways before forty workers, of which each gateway keeps to those near to it. Two gateways are killed for
; good, later two more: what the others meet stays, but for what those gone had. By hand: the fleet is large.
(rehearsal
  (name "subsets")
  (seconds 30)
  (fleet (gateways 30) (workers 40) (cores 4) (queue 16)
         (peers yes) (operator "(fleet (roll-call yes) @peers)"))
  (plan (name "wide") (quota 2000 2000))
  (accounts (count 10) (plan "wide") (rate 500) (work 2 6))
  (notices 0.3)
  (at 10 (kill (gateways 3 17)))
  (at 20 (kill (gateways 8 25)))
  (holds (new-pairs 0.35 2 10 14 20) (new-pairs 0.35 12 20 24 30) (served 0.9 2 30)))
