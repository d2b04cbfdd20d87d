"""A loopback address of one's own, so that runs at the same time don't meet at their ports."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def own_loopback_host() -> Iterator[str]:
    """Give an address of 127.0.0.0/8 that no other run has for the length of the block.

    The system gives out a free port, which is held meanwhile; its number makes the address.

    Raises:
        OSError: if there is no free port.
    """
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as guard:
        guard.bind(("127.0.0.1", 0))
        port: int = guard.getsockname()[1]
        # Ports below 1024 are never given out, so the address is never 127.0.0.x.
        yield f"127.{port >> 8}.{port & 0xFF}.1"
