#!/usr/bin/env bash
# By hand: all property tests with fresh draws and 20 times the examples. A failure prints its blob for
# @reproduce_failure; Hypothesis's seed is the first argument, or drawn and printed.
#
#     tests/hunt.sh [SEED [PYTEST ARGUMENT...]]
set -euo pipefail
cd "$(dirname "$0")/.."
seed=${1:-$RANDOM$RANDOM}
shift || true
echo "hunt: seed $seed"
BALANCER_HUNT=1 .venv-dev/bin/python -m pytest -n 4 --hypothesis-seed="$seed" "$@"
