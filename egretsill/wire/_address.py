"""Endpoints of processes."""

from __future__ import annotations

from typing import NamedTuple


class Address(NamedTuple):
    """A UDP or TCP endpoint by IP number."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"
