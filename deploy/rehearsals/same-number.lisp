; A sixth process comes that bears the number of gateway 2 by mistake. The older of the two stops using its part;
; what all send on stays under the ceiling's slack. Then the newcomer is killed.
(rehearsal
  (name "same-number")
  (seconds 18)
  (fleet (gateways 5) (reserve 1) (workers 4) (cores 4) (queue 32) (twin 5 2)
         (peers yes) (operator "(fleet (roll-call yes) @peers)"))
  (plan (name "flooding") (quota 60 20) (ceiling 72 40 12))
  (accounts (count 2) (plan "flooding") (rate 300) (work 2 6))
  (notices 0.3)
  (at 5 (start (gateways 5)))
  (at 12 (kill (gateways 5)))
  (holds (through 1 4 18 0.5 1.3)))
