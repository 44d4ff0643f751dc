; Ten faults drawn from the seed among six gateways: kills, stalls, cut and slow links, a counter and workers in
; bad moods, deploys. The rules hold at every instant, and service is back once the last is over.
(rehearsal
  (name "drawn")
  (seconds 18)
  (fleet (gateways 6) (workers 4) (cores 4) (queue 24))
  (accounts (count 8) (plan "ufficio") (spread 3) (rate 50) (units 2) (pushes 0.25))
  (accounts (count 2) (plan "ente") (spread 6) (rate 40) (units 3) (pushes 0.1))
  (accounts (count 2) (plan "scuola") (spread 2) (rate 20) (units 3))
  (notices 0.3)
  (drawn 10 1 12)
  (holds (served 0.5 15 18)))
