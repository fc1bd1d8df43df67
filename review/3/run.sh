#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves out the
# disruption.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=review exec .venv/bin/python review/3/case.py
