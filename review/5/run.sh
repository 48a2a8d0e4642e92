#!/usr/bin/env bash
# Exit 1: the rule was broken; 0: it held; 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/same_id ] || exit 2
exec review/bin/same_id review/5/record.txt
