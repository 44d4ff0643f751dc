#!/usr/bin/env bash
# See claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 1 118 target/review-2/case unframed review/6
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
