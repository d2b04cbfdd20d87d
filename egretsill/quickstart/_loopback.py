"""Reserves a separate loopback address for each run, so that concurrent runs don't share ports."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def reserve_loopback_host() -> Iterator[str]:
    """Reserve an address of 127.0.0.0/8 that no other run uses while the block runs.

    The address is derived from the number of a free port, which stays bound while the block runs.

    Raises:
        OSError: if there is no free port.
    """
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as reserved:
        reserved.bind(("127.0.0.1", 0))
        port: int = reserved.getsockname()[1]
        # The system assigns no ports below 1024, so the address is never 127.0.0.x.
        yield f"127.{port >> 8}.{port & 0xFF}.1"
