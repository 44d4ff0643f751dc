; Changes of policy while six gateways are restarted one after the other, a worker is replaced and the keeper that may
; lead ends as well: a restarted gateway takes no request before it knows what is in force.
(rehearsal
  (name "rolling-change")
  (seconds 16)
  (fleet (gateways 6) (workers 3) (cores 4) (queue 32) (keepers 3 (mode stop) (lease 1) (error 0.1)))
  (plan (name "usual") (quota 200 200))
  (accounts (count 6) (plan "usual") (rate 60) (spread 3) (units 2) (pushes 0.2))
  (accounts (count 2) (plan "usual") (rate 120) (work 1 4) (witness yes))
  (notices 0.2)
  (at 1 (propose (deadline 6)))
  (at 1.5 (term (gateways 0)) (for 0.4)) (at 2.5 (term (gateways 1)) (for 0.4)) (at 3.5 (term (gateways 2)) (for 0.4))
  (at 4 (propose (deadline 6)))
  (at 4.5 (term (gateways 3)) (for 0.4)) (at 5.5 (term (gateways 4)) (for 0.4)) (at 6.5 (term (gateways 5)) (for 0.4))
  (at 5 (deploy 1) (for 3))
  (at 7 (kill (keepers 0)) (for 1))
  (at 7.5 (propose (deadline 6)))
  (at 11.5 (propose (deadline 4)))
  (holds (changes 3) (last-change) (served 0.8 1 16)))
