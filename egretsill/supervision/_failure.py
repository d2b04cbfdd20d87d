"""Descriptions of unexpected exceptions for log lines."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from types import TracebackType

MAXIMUM_DETAIL_CHARACTERS = 200
UNPRINTABLE = "no printable text"

_OWN_PACKAGE = __name__.partition(".")[0]


@dataclass(frozen=True, slots=True)
class FailureDescription:
    """What is known about an unexpected exception.

    Attributes:
        error: name of the exception's type.
        detail: text of the exception in ASCII, at most `MAXIMUM_DETAIL_CHARACTERS` long.
        location: module and line of the innermost frame in egretsill's own code, else of the
            innermost frame; empty for an exception that was never raised.
    """

    error: str
    detail: str
    location: str


def describe_failure(error: BaseException) -> FailureDescription:
    """Describe an exception; works for any exception, including one whose text can't be made."""
    return FailureDescription(type(error).__name__, _safe_text(error), _locate(error))


def leaves(error: BaseException) -> Iterator[BaseException]:
    """Yield the exceptions of a group and of its subgroups, or the exception itself."""
    if isinstance(error, BaseExceptionGroup):
        for each in error.exceptions:
            yield from leaves(each)
    else:
        yield error


def _safe_text(error: BaseException) -> str:
    try:
        text = str(error)[:MAXIMUM_DETAIL_CHARACTERS]
    except Exception:  # The text of an exception may be made by code that fails too.
        return UNPRINTABLE
    encoded = text.encode("ascii", "backslashreplace")[:MAXIMUM_DETAIL_CHARACTERS]
    return encoded.decode("ascii")


def _locate(error: BaseException) -> str:
    innermost = own = ""
    traceback: TracebackType | None = error.__traceback__
    while traceback is not None:
        module = str(traceback.tb_frame.f_globals.get("__name__", ""))
        innermost = f"{module}:{traceback.tb_lineno}"
        if module.startswith(_OWN_PACKAGE):
            own = innermost
        traceback = traceback.tb_next
    return own or innermost
