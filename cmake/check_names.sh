#!/usr/bin/env bash
# Only platform/ knows the users' platform: its headers, paths and fields must
# not appear in the product, its programs or its tests outside that folder.
set -euo pipefail
cd "$(dirname "$0")/.."
names='Bilberrylead-[A-Z]|/api/(resolve|ready|config|evacuations)|traffic_split'
names+='|sticky_sessions|target_latency_s|cold_remaining_s|allowed_regions'
names+='|page_token|discovery_lag_s|"platform/'
found=$(git grep -nE "$names" -- bilberrylead programs performance tests \
    ':!tests/unit/platform' || true)
if [ -n "$found" ]; then
    echo "names of the users' platform outside platform/:" >&2
    echo "$found" >&2
    exit 1
fi
