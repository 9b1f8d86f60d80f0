#!/bin/bash
# Plays case 9; TROUBLE=0 leaves out the disruptions. 1: the rule was broken, 0: it held, 2: it could not run.
cd "$(dirname "$0")/../.." || exit 2
exec .venv/bin/python review/9/case.py
