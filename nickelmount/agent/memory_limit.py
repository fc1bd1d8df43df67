"""The memory that messages of peers may take, derived from the memory limit of the process.

The interpreter, the modules, the endpoint list and the connections themselves take memory too, and how much
depends on the machine and on the number of endpoints. What messages may take is a part of what is left.
"""

from __future__ import annotations

import os
from pathlib import Path

BYTES_PER_MB = 1024 * 1024
# Messages get at most this share of the memory limit.
MAX_BUFFER_SHARE = 1 / 8
# Messages get this share of the memory that is free after the start. The rest is for the requests in flight
# and for the allocator, which needs up to one and a half times the size of messages that grow piece by piece.
FREE_MEMORY_SHARE = 1 / 2
MIN_BUFFER_BYTES = 256 * 1024  # Messages may always take this; it is four requests of the largest size.
CONNECTION_BYTES = 4 * 1024  # Memory of the connection of a client without a message.
LIST_ENTRY_BYTES = 1024  # Memory of an entry of a complete endpoint list while the list is decoded.


def max_buffer_bytes(
    memory_limit_bytes: int,
    resident_memory_bytes: int | None,
    max_client_connections: int,
    listed_endpoints: int,
) -> int:
    """Return the memory that messages may take in a process that has started and serves nothing yet.

    `resident_memory_bytes` is what the process takes now; None means that it is unknown.
    """
    share = int(memory_limit_bytes * MAX_BUFFER_SHARE)
    if resident_memory_bytes is None:
        return share
    reserved_bytes = max_client_connections * CONNECTION_BYTES + listed_endpoints * LIST_ENTRY_BYTES
    free_bytes = memory_limit_bytes - resident_memory_bytes - reserved_bytes
    return max(MIN_BUFFER_BYTES, min(share, int(free_bytes * FREE_MEMORY_SHARE)))


def resident_bytes() -> int | None:
    """Return the resident memory of this process, with the pages of files; None if the system tells none."""
    try:
        page_count = int(Path("/proc/self/statm").read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return None
    return page_count * os.sysconf("SC_PAGE_SIZE")
