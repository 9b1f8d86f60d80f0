#!/bin/bash
# Builds what the scripts of cases 6 to 10 start, after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
# The project's own optional requirements, where the build left them out: a record on PostgreSQL, and TLS.
.venv/bin/python -c 'import asyncpg, tqdm' 2>/dev/null || .venv/bin/pip -q install -r requirements-store.txt || exit 2
.venv/bin/python -c 'import cryptography' 2>/dev/null || .venv/bin/pip -q install -r requirements-tls.txt || exit 2
# The stand-ins, the project's own and those of the review, are Python: compiling them is all they need.
.venv/bin/python -m compileall -q review/rig.py review/[0-9]*/*.py tests/standins tests/support sabledyke || exit 2
