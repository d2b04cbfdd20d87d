"""What tests do with entries that were passed over but should not have been."""

from __future__ import annotations

from .. import UnusableEntry


def reject(entry: UnusableEntry) -> None:
    """Fail, because an entry was passed over."""
    raise AssertionError(f"passed over {entry}")
