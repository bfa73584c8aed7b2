#!/usr/bin/env bash
# Plays a case: play-2.sh NAME FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. All processes of the case are in one process group, which ends with it.
cd "$(dirname "$0")/.." || exit 2
set -m
target/review-2/standin "$1" "$2" &
job=$!
trap 'kill -KILL -- "-$job" 2>/dev/null; exit 2' INT TERM
wait "$job"
code=$?
kill -KILL -- "-$job" 2>/dev/null
[ "$code" -le 1 ] || code=2
exit "$code"
