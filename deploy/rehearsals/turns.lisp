; Eight gateways take turns at a counter that bears few calls: of each account's names one gateway looks, the others
; ask it. Lookers are killed, one stands still, links between gateways are cut both ways and one way, the counter is
; silent for a while and forgets. Nobody is let far beyond its quota, and nobody is kept far from it; the counter has
; a part of the calls that it has without turns (`(turns no)`, with which this does not hold).
(rehearsal
  (name "turns")
  (seconds 26)
  (fleet (gateways 8) (workers 6) (cores 8) (queue 32) (counter-pace 0.004)
         (peers yes) (operator "(fleet (turns yes) @peers)"))
  (plan (name "flooding") (quota 40 40))
  (plan (name "usual") (quota 12 24))
  (accounts (count 2) (plan "flooding") (rate 160) (work 2 6))
  (accounts (count 24) (plan "usual") (rate 240) (work 2 6))
  (notices 0.3)
  (at 7 (kill (gateways 0 3)) (for 3))
  (at 11 (stall (gateways 5)) (for 2))
  (at 14 (links (gateways 1 2) (peers 4 6) (silent both)) (for 2))
  (at 15 (links (gateways 7) (peers 2) (silent in)) (for 2))
  (at 18 (counter silent) (for 4))
  (at 23 (counter forgets))
  (holds
    (through 1 3 7 0.7 1.3)
    (through 1 7 18 0.7 1.4)
    (through 1 18 22 0.6 1.5)
    (through 2 3 26 0.7 1.35)
    (fair-accounts 0.9)
    (calls 230)))
