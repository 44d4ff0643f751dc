; Six gateways go by the word of three keepers. A change of policy is proposed every two seconds and a half while one
; keeper that may lead is killed, one stands still past an election, a gateway is cut off, one is killed and one stalls
; over the instant of a change; one proposer is killed half way. Two accounts tell from outside which version each
; request began under.
(rehearsal
  (name "changes")
  (seconds 22)
  (fleet (gateways 6) (workers 3) (cores 4) (queue 32) (keepers 3 (mode stop) (lease 1) (error 0.1)))
  (plan (name "usual") (quota 200 200))
  (accounts (count 6) (plan "usual") (rate 60) (spread 3) (units 2) (pushes 0.2))
  (accounts (count 2) (plan "usual") (rate 120) (work 1 4) (witness yes))
  (notices 0.3)
  (at 1 (propose (deadline 4)))
  (at 3 (kill (keepers 0)) (for 1.5))
  (at 3.5 (propose (deadline 6)))
  (at 6 (stall (keepers 1)) (for 2))
  (at 6.5 (propose (deadline 6)))
  (at 8 (links (gateways 1) (keepers) (silent both)) (for 2))
  (at 8.8 (kill (gateways 2)) (for 2.5))
  (at 9.2 (propose (deadline 6)))
  (at 12 (links (gateways 3) (keepers) (silent in)) (for 1.5))
  (at 12.3 (propose (deadline 6) (killed 0.2)))
  (at 13.2 (stall (gateways 4)) (for 1.5))
  (at 16 (propose (deadline 6)))
  (holds (changes 4) (last-change) (served 0.8 18 22)))
