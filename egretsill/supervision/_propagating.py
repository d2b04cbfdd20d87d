"""A supervisor for tests and measurements, which must not go on after a failure."""

from __future__ import annotations

from ._parts import Part
from ._supervisor import FailureReport, Supervisor


def _ignore(part: Part, error: BaseException) -> None:
    """Report nothing: the failure is raised."""


class PropagatingSupervisor(Supervisor):
    """Raises the failures that another supervisor would contain."""

    def __init__(self, report: FailureReport = _ignore) -> None:
        super().__init__(report)

    def note_failure(self, part: Part, error: BaseException) -> None:
        """Raise the failure.

        Raises:
            BaseException: the failure.
        """
        raise error
