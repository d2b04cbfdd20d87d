"""Exceptions of admission control."""

from __future__ import annotations


class DuplicateTicket(Exception):
    """A request with this identifier is already running or queued.

    Attributes:
        identifier: the duplicate identifier.
    """

    def __init__(self, identifier: str) -> None:
        super().__init__(f"request {identifier!r} is already running or queued")
        self.identifier = identifier
