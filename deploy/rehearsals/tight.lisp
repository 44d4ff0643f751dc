; Ceilings with little room, of accounts that come through two gateways each, so that their parts are all there is: a
; gateway is cut off, another is killed and comes back while words are late, a third stands still. Each lasts until the
; counter's roll has noticed as well, four slots, so that parts are taken over. `hingestage-mutants rehearse` plants defects of parts before it.
(rehearsal
  (name "tight")
  (seconds 31)
  (fleet (gateways 5) (workers 4) (cores 8) (queue 32)
         (peers yes) (operator "(fleet (roll-call yes) @peers)"))
  (plan (name "flooding") (quota 60 10) (ceiling 72 10 6))
  (accounts (count 5) (plan "flooding") (spread 2) (rate 600) (work 2 6))
  (notices 0.2)
  (at 3 (links (gateways 1) (peers 0 2 3 4) (silent both)) (for 10))
  (at 3 (links (gateways 0 2 3 4) (peers 1) (silent both)) (for 10))
  (at 3 (links (gateways 1) counter (silent both)) (for 10))
  (at 14 (links (gateways all) (peers) (delay 0.1)) (for 9))
  (at 15 (kill (gateways 2)) (for 7))
  (at 24 (stall (gateways 3)) (for 6))
  (holds (through 1 1 3 0.7 1.5) (through 3 20.5 21.5 0.72 1.5)))
