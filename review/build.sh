#!/bin/sh
# Builds the stand-ins of all cases. They are Python files that need the standard library alone, so this only
# compiles them, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
