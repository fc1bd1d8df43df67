"""Entry point of the agent: ``python -m nickelmount``."""

import sys

from .agent.lifecycle import main

if __name__ == "__main__":
    sys.exit(main())
