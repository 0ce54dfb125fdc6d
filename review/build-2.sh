#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python files without a build step and use only the
# standard library and the interpreter that the deploy file's build leaves in .venv; this compiles them to
# show that they are whole, and writes nothing.
set -e
cd "$(dirname "$0")/.."
for file in review/rig2/rig.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py review/10/case.py; do
    if test -e "$file"; then
        .venv/bin/python -B -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
    fi
done
