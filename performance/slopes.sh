#!/usr/bin/env bash
# Runs every slope measurement; docs/CAPACITY.md is worked out from these.
set -euo pipefail
for program in "$1"/*_slopes; do
    echo "== $(basename "$program")"
    "$program"
done
