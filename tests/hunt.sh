#!/usr/bin/env bash
# Run all property tests with fresh random examples, 20 times as many as in the test suite. This script is run by
# hand only. A failed test prints the blob for @reproduce_failure. The first argument is the seed of Hypothesis; if
# it is missing, a random seed is chosen. The seed is printed.
#
#     tests/hunt.sh [SEED [PYTEST ARGUMENT...]]
set -euo pipefail
cd "$(dirname "$0")/.."
seed=${1:-$RANDOM$RANDOM}
shift || true
echo "hunt: seed $seed"
BALANCER_HUNT=1 .venv-dev/bin/python -m pytest -n 4 --hypothesis-seed="$seed" "$@"
