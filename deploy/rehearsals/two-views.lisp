; Links among gateways are cut for good: two of five hear nothing from the others, one of them is not heard though
; it hears. Later the counter is lost to a side as well. What all send on stays under every ceiling.
(rehearsal
  (name "two-views")
  (seconds 20)
  (fleet (gateways 5) (workers 4) (cores 4) (queue 32)
         (peers yes) (operator "(fleet (roll-call yes) @peers)"))
  (plan (name "flooding") (quota 60 20) (ceiling 72 40 12))
  (accounts (count 2) (plan "flooding") (rate 300) (work 2 6))
  (accounts (count 2) (plan "flooding") (spread 3) (rate 200) (work 2 6))
  (notices 0.3)
  (at 3 (links (gateways 0 1) (peers 2 3 4) (silent both)))
  (at 3 (links (gateways 2 3) (peers 0 1) (silent both)))
  (at 5 (links (gateways 4) (peers 0 1) (silent out)))
  (at 8 (links (gateways 0 1) counter (silent both)) (for 6))
  (at 15 (kill (gateways 2)) (for 0.4))
  (holds (through 1 17 20 0.3 1.3)))
