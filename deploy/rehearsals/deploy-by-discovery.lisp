; Two workers of five are replaced one after the other. To be compared with the other file of this pair: here the
; gateways learn of it by discovery.
(rehearsal
  (name "deploy-by-discovery")
  (seconds 12)
  (fleet (gateways 4) (workers 5) (cores 4) (queue 24))
  (accounts (count 10) (plan "ufficio") (spread 2) (rate 90) (units 2) (pushes 0.2))
  (notices 0.2)
  (at 3 (deploy 1) (for 4))
  (at 7 (deploy 3) (for 4))
  (holds (served 0.75 0 12) (fair-gateways 0.95)))
