; Seven in ten gateways are killed at once, while one account floods at three times its quota under a ceiling that
; is a fifth above it, and come back after a while. What the survivors let through is the figure: the gateways
; know their fleet, so they take over what the dead can't be using. Without the section `fleet` it stays at 0.87.
(rehearsal
  (name "seven-in-ten")
  (seconds 24)
  (fleet (gateways 10) (workers 8) (cores 4) (queue 32)
         (peers yes) (operator "(fleet (roll-call yes) @peers)"))
  (plan (name "flooding") (quota 100 30) (ceiling 120 60 20))
  (plan (name "usual") (quota 20 40))
  (accounts (count 1) (plan "flooding") (rate 300) (work 2 6))
  (accounts (count 12) (plan "usual") (spread 3) (rate 60) (units 2) (pushes 0.2))
  (notices 0.3)
  (at 7 (kill (gateways (to 3 9))) (for 11))
  (holds
    (through 1 4 7 0.7 1.3)
    (through 1 13 18 0.85 1.3)
    (fair-accounts 0.9)
    (calls 800)))
