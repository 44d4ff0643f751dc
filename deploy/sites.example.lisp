; Sites, what they can do and what is asked of them, for `hingestage sites plan` and `what-if`. docs/on-sites.md.
(sites
  ; Workers, requests a second of each class that a site serves if it does nothing else, the part of it that is kept
  ; free, and where its load goes when it can't stay, the first place preferred. Zones are named as in lists of
  ; workers; a site's own name where not said.
  (site "a" (zones "a") (workers 12) (capacity ("pull" 600) ("push" 200)) (reserve 0.1) (to "b" "c"))
  (site "b" (zones "b") (workers 12) (capacity ("pull" 600) ("push" 200)) (reserve 0.1) (to "c" "a"))
  (site "c" (zones "c") (workers 8) (capacity ("pull" 400) ("push" 120)) (reserve 0.1) (to "a" "b"))

  ; What clients of a site ask of a release morning: plan, class, requests a second, and what one is worth.
  (load "a" "base" "pull" 160 0.5) (load "a" "ente" "pull" 140 1.4) (load "a" "ente" "push" 30 3)
  (load "b" "base" "pull" 150 0.5) (load "b" "ente" "pull" 150 1.4) (load "b" "ente" "push" 30 3)
  (load "c" "base" "pull" 90 0.5) (load "c" "ente" "pull" 80 1.4) (load "c" "ente" "push" 20 3))
