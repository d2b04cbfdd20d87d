"""A supervisor for tests and measurements, which must not go on after a failure."""

from __future__ import annotations

from ._parts import Part
from ._supervisor import Supervisor


class PropagatingSupervisor(Supervisor):
    """Raises the failures that another supervisor would contain."""

    def __init__(self) -> None:
        super().__init__(lambda part, error: None)

    def note_failure(self, part: Part, error: BaseException) -> None:
        """Raise the failure.

        Raises:
            BaseException: the failure.
        """
        raise error
