#!/usr/bin/env bash
# Builds the stand-ins of cases 4 to 8 into review/bin, which is not committed.
# Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
shared=(review/stand_ins_2/*.cpp tests/unit/platform/settings_template.cpp)
options=(-std=c++20 -O1 -Wall -Wextra -I. -pthread)
for source in review/[4-8]/*.cpp; do
    [ -e "$source" ] || continue
    g++ "${options[@]}" "$source" "${shared[@]}" \
        -o "review/bin/$(basename "$source" .cpp)"
done
