"""Supervisors for tests."""

from __future__ import annotations

from .. import Part, Supervisor


class RecordingSupervisor(Supervisor):
    """Collects the failures that it contains."""

    def __init__(self) -> None:
        super().__init__(lambda part, error: self.failures.append((part, error)))
        self.failures: list[tuple[Part, BaseException]] = []

    @property
    def names(self) -> list[tuple[str, str]]:
        """Return part and error type of the failures."""
        return [(part.value, type(error).__name__) for part, error in self.failures]
