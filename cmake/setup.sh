#!/usr/bin/env bash
# Installs the packages that building, linting and testing need, if any is
# missing. Debian bookworm; run as root or with sudo.
set -euo pipefail
packages=(g++ cmake ninja-build ccache pkg-config make
    libboost1.81-dev nlohmann-json3-dev prometheus-cpp-dev libtclap-dev
    libfmt-dev libabsl-dev libcriterion-dev libxxhash-dev libssl-dev
    libzstd-dev
    clang-format-19 clang-tidy-19)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
        grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
echo "setup: installing ${missing[*]}" >&2
as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
"${as_root[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${as_root[@]}" apt-get install -y -qq \
    --no-install-recommends "${missing[@]}" >/dev/null
