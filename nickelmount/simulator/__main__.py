"""Serves the simulator on standard input and output: `python -m nickelmount.simulator`.

Invalid input causes one line on standard error and exit status 2.
"""

import sys

from nickelmount.errors import FrameError

from .host import serve

INVALID_INPUT_STATUS = 2


def main() -> int:
    """Serve until the input ends, and return the exit status."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except FrameError as e:
        print(f"nickelmount: {e}", file=sys.stderr)
        return INVALID_INPUT_STATUS
    return 0


if __name__ == "__main__":
    sys.exit(main())
