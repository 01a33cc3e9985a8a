#!/usr/bin/env bash
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 plays it without the disruption.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
timeout --kill-after=5 110 "$root/target/review-standin" late-heartbeat "$root" "$here/record.txt"
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
