"""Answers the simulator on standard input and output: ``python -m nickelmount.simulator``.

Bad input gives one line on standard error and exit status 2.
"""

import sys

from nickelmount.errors import FrameError

from .host import serve

BAD_INPUT = 2  # exit status


def main() -> int:
    """Serve until the input ends; returns the exit status."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except FrameError as e:
        print(f"nickelmount: {e}", file=sys.stderr)
        return BAD_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main())
