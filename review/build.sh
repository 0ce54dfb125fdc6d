#!/bin/sh
# Run after the build of deploy/balancer.toml. The stand-ins are Python modules and are compiled only; nodes with a
# fleet file need requirements-fleet.txt in their environment, see docs/membership.md.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
.venv/bin/pip -q install --disable-pip-version-check -r requirements-fleet.txt
