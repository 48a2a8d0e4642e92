#!/usr/bin/env bash
# Runs clang-tidy over every source, or over those named as arguments. A
# source whose preprocessed text was clean before is not linted again.
set -euo pipefail
cd "$(dirname "$0")/.."
export LINT_CACHE="${LINT_CACHE:-$PWD/build/lint-clean}"
mkdir -p "$LINT_CACHE"
sources=("$@")
if [ ${#sources[@]} -eq 0 ]; then
    mapfile -t sources < <(git ls-files -co --exclude-standard '*.cpp')
fi
lint_one() {
    local source="$1" key
    key=$( (cat .clang-tidy cmake/lint.sh
        g++ -std=c++20 -I. -E "$source") | sha256sum | cut -c1-40)
    [ -e "$LINT_CACHE/$key" ] && return 0
    if clang-tidy-19 -p build --quiet "$source" >"$LINT_CACHE/$key.out" 2>&1
    then
        rm "$LINT_CACHE/$key.out"
        touch "$LINT_CACHE/$key"
    else
        cat "$LINT_CACHE/$key.out"
        rm "$LINT_CACHE/$key.out"
        return 1
    fi
}
export -f lint_one
printf '%s\0' "${sources[@]}" |
    xargs -0 -P "${JOBS:-$(nproc)}" -I{} bash -c 'lint_one {}'
