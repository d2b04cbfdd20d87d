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


class PlatformFailure(ConfigurationError):
    """A read from the platform that brought nothing; it may be tried again later."""


class PlatformUnreachable(PlatformFailure):
    """No connection, or one that broke before the whole answer was there.

    Attributes:
        address: endpoint as text.
        cause: name of the underlying error.
    """

    def __init__(self, address: str, cause: str) -> None:
        super().__init__(f"platform at {address} can't be reached: {cause}")
        self.address = address
        self.cause = cause


class PlatformTimedOut(PlatformFailure):
    """No whole answer in time."""

    def __init__(self, address: str, seconds: float) -> None:
        super().__init__(f"platform at {address} did not answer in {seconds:g} s")
        self.address = address
        self.seconds = seconds


class PlatformRefused(PlatformFailure):
    """An answer with a status that is no success."""

    def __init__(self, key: str, status: int) -> None:
        super().__init__(f"platform answered {status} for {key}")
        self.key = key
        self.status = status


class PlatformMalformed(PlatformFailure):
    """An answer that breaks the contract."""

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(f"platform's answer for {key} is malformed: {reason}")
        self.key = key
        self.reason = reason


class ValueMissing(PlatformFailure):
    """The platform holds no such value."""

    def __init__(self, key: str) -> None:
        super().__init__(f"platform has no value {key}")
        self.key = key


class PeerFailure(ConfigurationError):
    """A fetch from another process that brought nothing."""


class PeerUnreachable(PeerFailure):
    """No answer from a process that was asked for content.

    Attributes:
        address: endpoint as text.
        cause: name of the underlying error.
    """

    def __init__(self, address: str, cause: str) -> None:
        super().__init__(f"peer at {address} can't be reached: {cause}")
        self.address = address
        self.cause = cause


class PeerHoldsNothing(PeerFailure):
    """The process that was asked holds no configuration."""

    def __init__(self) -> None:
        super().__init__("the peer holds no configuration")


class PeerAnswerMalformed(PeerFailure):
    """An answer that doesn't fit the question.

    Attributes:
        reason: what was wrong, in a few words.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(f"the peer's answer doesn't fit: {reason}")
        self.reason = reason
