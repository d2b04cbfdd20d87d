"""Exceptions of the settings package."""

from __future__ import annotations

from collections.abc import Sequence

from ..configuration import Problem

EXIT_CODE = 2


class SettingsRejected(Exception):
    """A settings file is invalid; the daemon exits with `EXIT_CODE`.

    Attributes:
        problems: all errors found in the files.
    """

    def __init__(self, problems: Sequence[Problem]) -> None:
        super().__init__("\n".join(each.message for each in problems))
        self.problems = tuple(problems)
