#!/bin/bash
# Builds what the scripts of cases 6 to 10 start, after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
# The project's own optional requirement for a record on PostgreSQL (case 6), where the build left it out.
.venv/bin/python -c 'import asyncpg' 2>/dev/null || .venv/bin/pip -q install -r requirements-store.txt || exit 2
# The stand-ins, the project's own and those of the review, are Python: compiling them is all they need.
.venv/bin/python -m compileall -q review/rig.py review/[0-9]*/case.py tests/standins tests/support sabledyke || exit 2
