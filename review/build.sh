#!/bin/sh
# Run after the build of deploy/balancer.toml. The stand-ins are Python modules that need no build; nodes with a
# fleet file need requirements-fleet.txt in their environment, see docs/membership.md.
set -e
cd "$(dirname "$0")/.."
.venv/bin/pip -q install --disable-pip-version-check -r requirements-fleet.txt
.venv/bin/python -c "import compileall, sys; sys.exit(not compileall.compile_dir('review', quiet=1))"
