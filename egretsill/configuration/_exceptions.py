"""Exceptions of the configuration slice."""

from __future__ import annotations

from collections.abc import Sequence

from ._problems import Problem


class ConfigurationError(Exception):
    """Base class of the exceptions of this slice."""


class DeclarationRejected(ConfigurationError):
    """INI files that contain errors.

    Attributes:
        problems: every error found, in the order of the files.
    """

    def __init__(self, problems: Sequence[Problem]) -> None:
        super().__init__("\n".join(each.message for each in problems))
        self.problems = tuple(problems)


class ValueTooLarge(ConfigurationError):
    """A value larger than the platform's service accepts."""

    def __init__(self, key: str, size: int, limit: int) -> None:
        super().__init__(f"{key} has {size} bytes, more than {limit}")
        self.key = key
        self.size = size
        self.limit = limit


class MalformedValue(ConfigurationError):
    """A published value that doesn't have the published format."""

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(f"{key} is malformed: {reason}")
        self.key = key
        self.reason = reason


class TornPublication(ConfigurationError):
    """Values of different revisions, as read while a publish is in progress; read them again.

    Attributes:
        key: the value that doesn't match its digest.
        revision: of the head that was read.
    """

    def __init__(self, key: str, revision: int) -> None:
        super().__init__(f"content of {key} doesn't match its digest in revision {revision}")
        self.key = key
        self.revision = revision


class PlatformFailure(ConfigurationError):
    """A read from the platform that failed; it may be retried later."""


class PlatformUnreachable(PlatformFailure):
    """No connection, or one that broke before the response was complete.

    Attributes:
        address: endpoint as text.
        cause: name of the underlying error.
    """

    def __init__(self, address: str, cause: str) -> None:
        super().__init__(f"platform at {address} can't be reached: {cause}")
        self.address = address
        self.cause = cause


class PlatformTimedOut(PlatformFailure):
    """No complete response in time."""

    def __init__(self, address: str, seconds: float) -> None:
        super().__init__(f"platform at {address} did not answer in {seconds:g} s")
        self.address = address
        self.seconds = seconds


class PlatformRefused(PlatformFailure):
    """A response with an unsuccessful status."""

    def __init__(self, key: str, status: int) -> None:
        super().__init__(f"platform answered {status} for {key}")
        self.key = key
        self.status = status


class PlatformMalformed(PlatformFailure):
    """A response that violates the platform's contract."""

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(f"malformed response from platform for {key}: {reason}")
        self.key = key
        self.reason = reason


class ValueMissing(PlatformFailure):
    """The platform has no value under this key."""

    def __init__(self, key: str) -> None:
        super().__init__(f"platform has no value {key}")
        self.key = key


class PeerFailure(ConfigurationError):
    """A fetch from another process that failed."""


class PeerUnreachable(PeerFailure):
    """No response from a process to a request for content.

    Attributes:
        address: endpoint as text.
        cause: name of the underlying error.
    """

    def __init__(self, address: str, cause: str) -> None:
        super().__init__(f"peer at {address} can't be reached: {cause}")
        self.address = address
        self.cause = cause


class PeerHoldsNothing(PeerFailure):
    """The peer has no configuration yet."""

    def __init__(self) -> None:
        super().__init__("peer has no configuration")


class PeerAnswerMalformed(PeerFailure):
    """A response that doesn't match the request.

    Attributes:
        reason: what was wrong, in a few words.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(f"unexpected response from peer: {reason}")
        self.reason = reason
