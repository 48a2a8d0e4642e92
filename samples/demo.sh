#!/usr/bin/env bash
# The whole path on this machine; its last line is one JSON object.
set -euo pipefail
cd "$(dirname "$0")/.."
exec "$1/scenario_runner" "$1" tests/scenarios/demo.scenario
