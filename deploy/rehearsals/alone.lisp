; One gateway, which is killed and comes back with the list of the beginning after a worker was replaced.
(rehearsal
  (name "alone")
  (seconds 12)
  (fleet (gateways 1) (workers 3) (cores 4) (peers yes) (operator "(fleet (roll-call yes))"))
  (accounts (count 4) (plan "ufficio") (rate 30) (pushes 0.2))
  (notices 0.2)
  (at 2 (deploy 1) (for 2))
  (at 5 (kill (gateways 0)))
  (at 5.5 (start (gateways 0) (known old)))
  (holds (served 0.7 7 12)))
