; What this program can do beyond what the platform configures. Given with `--operator FILE` or RELAY_OPERATOR,
; checked with `hingestage check FILE`. Spans are seconds. docs/srv.md says what each field does.

(srv
  ; The name that workers are listed under, and who is asked, the first that answers.
  (name "_registry._tcp.sala.example.org")
  (servers "127.0.0.1:5300" "127.0.0.2:5300")

  ; Addresses outside of these are not believed.
  (networks "127.0.0.0/8")
  (addresses ipv4)                ; ipv4, ipv6 or both

  (beside-list no)                ; whether the list of discovery is followed as well
  (at-start cold)                 ; what workers of the first answer are taken for: cold or warm

  (lifetimes 5 300)               ; the least and the longest that an answer is gone by
  (timeout 1)                     ; time that a server has
  (retry 1 30)                    ; between two tries at what failed: at first, at the longest

  (stale-for 3600)                ; how long the last good answer holds while none comes
  (shrink-to 0.5)                 ; an answer with less than this part of what is believed is doubted
  (shrink-for 60)                 ; for so long
  (grace 30)                      ; time that a worker has to finish once its record has vanished
  (questions-per-second 20))

; How gateways know of each other, and what comes of parts of those who are gone. docs/on-fleet.md says more.
(fleet
  (peer 1 "127.0.0.2:3001")       ; operators' addresses of the others, by their numbers
  (peer 2 "127.0.0.3:3001")
  (roll-call yes)                 ; a roll call on the counter
  (counter-votes 1)               ; half as many as there are gateways where not said
  (kept 0.5)                      ; what a gateway uses of its part in any case
  (lease 1.8)                     ; how old a contact may be
  (absent 2)                      ; who is not heard for so long is listed as gone
  (settles 2)                     ; a contact counts after so long
  (turns yes))                    ; one gateway looks at the counter for each account; off where not said

; Whose word plans, classes and accounts are gone by, in place of the configuration's. docs/on-change.md says more.
(policy
  (keepers (0 "127.0.0.1:7000") (1 "127.0.0.1:7001") (2 "127.0.0.1:7002"))
  (name "n12")                    ; this gateway's name before them; one that no other has
  (mode stop)                     ; whose lease is over begins nothing (stop), or goes on (serve)
  (lease 2)                       ; a gateway serves so long after it asked; the same everywhere
  (error 0.25))                   ; most that clocks differ; the same everywhere

; Sites, what they can do and what is asked of them: the same as `deploy/sites.example.lisp`. docs/on-sites.md says more.
(sites
  (site "a" (zones "a") (workers 12) (capacity ("pull" 600) ("push" 200)) (reserve 0.1) (to "b"))
  (site "b" (zones "b") (workers 12) (capacity ("pull" 600) ("push" 200)) (reserve 0.1) (to "a"))
  (load "a" "base" "pull" 160 0.5) (load "a" "ente" "push" 30 3)
  (load "b" "base" "pull" 150 0.5) (load "b" "ente" "push" 30 3))
