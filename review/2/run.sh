#!/usr/bin/env bash
# Runs the case that claim.txt describes. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "${BASH_SOURCE[0]}")" || exit 2
case=$(basename "$PWD")
cd ../.. || exit 2
[ -x "target/review/case-$case" ] || exit 2
STARTED=$(mktemp) || exit 2
export STARTED
"target/review/case-$case" &
program=$!
# Ends all processes also if this script is ended before its time.
trap 'kill -KILL "$program" $(cat "$STARTED") 2>/dev/null; rm -rf "$STARTED" "${TMPDIR:-/tmp}/pb-review-$program"-*; exit 2' INT TERM
wait "$program"
code=$?
rm -f "$STARTED"
exit "$code"
