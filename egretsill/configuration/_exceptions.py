"""Failures of the configuration slice."""

from __future__ import annotations

from collections.abc import Sequence

from ._problems import Problem


class ConfigurationError(Exception):
    """Any failure of this slice."""


class DeclarationRejected(ConfigurationError):
    """INI files that hold mistakes.

    Attributes:
        problems: every mistake found, in the order of the files.
    """

    def __init__(self, problems: Sequence[Problem]) -> None:
        super().__init__("\n".join(each.message for each in problems))
        self.problems = tuple(problems)


class ValueTooLarge(ConfigurationError):
    """A value that the platform's service would not hold."""

    def __init__(self, key: str, size: int, limit: int) -> None:
        super().__init__(f"{key} has {size} bytes, more than {limit}")
        self.key = key
        self.size = size
        self.limit = limit


class MalformedValue(ConfigurationError):
    """A published value that doesn't have the published form."""

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(f"{key} is malformed: {reason}")
        self.key = key
        self.reason = reason


class TornPublication(ConfigurationError):
    """Values of different revisions, as seen while a publish is under way; read them again.

    Attributes:
        key: the value that doesn't match its digest.
        revision: revision of the head that was read.
    """

    def __init__(self, key: str, revision: int) -> None:
        super().__init__(f"{key} is not the content that revision {revision} names")
        self.key = key
        self.revision = revision
