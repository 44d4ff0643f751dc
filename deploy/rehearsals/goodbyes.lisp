; Seven in ten gateways are told to end (SIGTERM) while one account floods at three times its quota under a ceiling that is
; a fifth above it. Each says goodbye with the last slot of the roll that it marked, so the others take its part at its
; word, by the counter as well, and not after four slots.
(rehearsal
  (name "goodbyes")
  (seconds 20)
  (fleet (gateways 10) (workers 8) (cores 4) (queue 32)
         (peers yes) (operator "(fleet (roll-call yes) @peers)"))
  (plan (name "flooding") (quota 100 30) (ceiling 120 60 20))
  (plan (name "usual") (quota 20 40))
  (accounts (count 1) (plan "flooding") (rate 300) (work 2 6))
  (accounts (count 12) (plan "usual") (spread 3) (rate 60) (units 2) (pushes 0.2))
  (notices 0.3)
  (at 7 (term (gateways (to 3 9))) (for 9))
  (holds
    (through 1 4 7 0.7 1.3)
    (through 1 8 10 0.8 1.3)
    (through 1 10 16 0.85 1.3)
    (fair-accounts 0.9)))
