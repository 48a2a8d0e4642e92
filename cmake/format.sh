#!/usr/bin/env bash
# Formats every source, or with --check only says which ones are not.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
[ "${1:-}" = "--check" ] && mode=(--dry-run --Werror)
git ls-files -co --exclude-standard '*.cpp' '*.hpp' |
    xargs -r clang-format-19 "${mode[@]}"
