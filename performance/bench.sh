#!/usr/bin/env bash
# Runs every measurement in the folder of binaries named first: one program
# for each folder below performance/. Prints seed, build and machine first.
set -euo pipefail
binaries="${1:?usage: bench.sh FOLDER_OF_BINARIES}"
here="$(cd "$(dirname "$0")" && pwd)"
echo "commit $(git -C "$here" rev-parse --short HEAD 2>/dev/null || echo none)"
echo "machine $(uname -sm), $(nproc) cores"
for folder in "$here"/*/; do
    name="$(basename "$folder")"
    binary="$binaries/${name/bilberry_/bilberry-}"
    if [ -x "$binary" ]; then
        printf '\n== %s\n' "$name"
        "$binary"
    else
        echo "== $name: not built"
    fi
done
