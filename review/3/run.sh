#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
timeout --kill-after=4 110 node case.mjs
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
