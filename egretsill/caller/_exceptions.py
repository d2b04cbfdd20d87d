"""Exceptions raised to a caller before a request is sent."""

from __future__ import annotations

from ..configuration import Address


class FlowNotOpened(Exception):
    """No flow could be opened to a service address; no request was sent.

    Attributes:
        address: the service address.
    """

    def __init__(self, address: Address) -> None:
        super().__init__(f"no flow could be opened to {address}")
        self.address = address
