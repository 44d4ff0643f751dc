; Four gateways serve on when they hear nothing from the keepers. One is cut off while a change is proposed: the change
; waits for it and is called off, everywhere. Another dies for good: a change waits for it until an operator says that
; it is gone. A third hears the keepers and is not heard by them.
(rehearsal
  (name "serves-on")
  (seconds 20)
  (fleet (gateways 4) (workers 2) (cores 4) (queue 32) (keepers 3 (mode serve) (lease 1) (error 0.1)))
  (plan (name "usual") (quota 200 200))
  (accounts (count 4) (plan "usual") (rate 40) (spread 2) (units 2) (pushes 0.2))
  (accounts (count 2) (plan "usual") (rate 120) (work 1 4) (witness yes))
  (notices 0.3)
  (at 1 (links (gateways 1) (keepers) (silent both)) (for 5))
  (at 2 (propose (deadline 2)))
  (at 7 (propose (deadline 5)))
  (at 9.5 (links (gateways 3) (keepers) (silent out)) (for 1))
  (at 9.6 (propose (deadline 5)))
  (at 12 (kill (gateways 2)))
  (at 12.5 (propose (deadline 6)))
  (at 14.5 (declare-gone 2))
  (holds (changes 3) (last-change)))
