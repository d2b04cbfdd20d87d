"""Failures of an installation."""

from __future__ import annotations


class InstallationFailed(Exception):
    """Libraries can't be installed or used.

    Attributes:
        problem: what failed, with the last words of the program that reported it.
    """

    def __init__(self, problem: str) -> None:
        super().__init__(problem)
        self.problem = problem
