#!/usr/bin/env bash
# Runs one case: run-case.sh NAME FOLDER. Exits with 1 if the rule was broken, 0 if
# it held and 2 if the case could not run.
cd "$(dirname "$0")/.." || exit 2
[ -x target/balsamproxy ] && [ -x target/review/standin ] || { echo "build first"; exit 2; }
timeout --kill-after=2 116 target/review/standin "$1" "$2"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
