#!/usr/bin/env bash
# Exit 1: the rule was broken; 0: it held; 2: the case could not run.
# TROUBLE=0 does the same without the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/same_id ] || exit 2
export TROUBLE="${TROUBLE:-1}"
TMPDIR="$(mktemp -d)" || exit 2
export TMPDIR

# A run takes a minute at most. After 110 seconds it is ended with all processes
# that it started: timeout signals their whole group.
timeout --signal=KILL 110 review/bin/same_id review/5/record.txt &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null; rm -rf "$TMPDIR"' EXIT
trap 'exit 2' INT TERM HUP
wait "$group"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
