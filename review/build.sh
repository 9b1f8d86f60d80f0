#!/bin/sh
# Builds the stand-ins of the cases: compiles them, as they are Python of the standard library alone.
cd "$(dirname "$0")/.." || exit 2
PYTHONPYCACHEPREFIX=$PWD/.venv/pycache exec .venv/bin/python -m compileall -q review
