#!/usr/bin/env bash
# Builds the stand-ins of the cases in this folder into review/bin, which is
# not committed. Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
shared=(review/stand_ins/record.cpp review/stand_ins/wire.cpp
    review/stand_ins/deployment.cpp
    tests/unit/platform/settings_template.cpp)
options=(-std=c++20 -O1 -Wall -Wextra -I. -pthread)
for source in review/[123]/*.cpp; do
    [ -e "$source" ] || continue
    name="$(basename "$source" .cpp)"
    g++ "${options[@]}" "$source" "${shared[@]}" -lfmt \
        -o "review/bin/$name"
done
