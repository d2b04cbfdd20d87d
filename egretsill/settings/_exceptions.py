"""Failures of the settings slice."""

from __future__ import annotations

from collections.abc import Sequence

from ..configuration import Problem

EXIT_CODE = 2


class SettingsRejected(Exception):
    """A settings file that holds mistakes; the daemon ends with `EXIT_CODE`.

    Attributes:
        problems: every mistake found.
    """

    def __init__(self, problems: Sequence[Problem]) -> None:
        super().__init__("\n".join(each.message for each in problems))
        self.problems = tuple(problems)
