#!/bin/sh
# Builds what the cases 6 to 10 start besides the agent. Their stand-ins need only the interpreter of the deploy
# file's build and the standard library, so this checks that the interpreter is there and that they compile.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python - review/peers.py review/[6-9]/*.py review/10/*.py <<'END'
import sys
from pathlib import Path

assert sys.version_info >= (3, 11), "Python 3.11 or newer is needed"
for name in sys.argv[1:]:
    if Path(name).exists():
        compile(Path(name).read_text(), name, "exec")
END
