#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x build/review/case-1 ] || review/build.sh >&2 || exit 2
CASE=review/1 timeout -k 1 115 build/review/case-1 &
child=$!
# The nodes end with the case.
trap 'kill "$child"' TERM INT
wait "$child"
code=$?
# The time is over, or the case was ended or crashed.
[ "$code" -le 1 ] || code=2
exit "$code"
