"""What goes wrong when an admission is asked."""

from __future__ import annotations


class DuplicateTicket(Exception):
    """A ticket with this identifier runs or waits already.

    Attributes:
        identifier: the identifier that was asked for twice.
    """

    def __init__(self, identifier: str) -> None:
        super().__init__(f"request {identifier!r} runs or waits already")
        self.identifier = identifier
