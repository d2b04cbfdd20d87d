"""Failures that tests cause."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest


class UnexpectedError(Exception):
    """An exception that no part of the system expects."""


def make_unexpected_error() -> Exception:
    return UnexpectedError("from a test, half \ud83d")


class Fault:
    """Replaces a method by one that fails while the fault is armed.

    Args:
        make_error: returns what the method raises.

    Attributes:
        remaining: number of calls that are to fail.
    """

    def __init__(
        self,
        monkeypatch: pytest.MonkeyPatch,
        owner: type,
        method: str,
        make_error: Callable[[], Exception] = make_unexpected_error,
    ) -> None:
        original = getattr(owner, method)
        self.remaining = 0

        def fail_or_call(*arguments: Any, **named: Any) -> Any:
            if self.remaining:
                self.remaining -= 1
                raise make_error()
            return original(*arguments, **named)

        monkeypatch.setattr(owner, method, fail_or_call)
