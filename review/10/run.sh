#!/bin/sh
# Plays the case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" && exec ../../.venv/bin/python -B case.py
