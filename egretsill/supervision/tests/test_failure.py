"""Descriptions of exceptions: bounded, printable, and with the place in our own code."""

from __future__ import annotations

import json
from collections.abc import Callable

import pytest

from .. import describe_failure
from .._failure import MAXIMUM_DETAIL_CHARACTERS, UNPRINTABLE


class UnprintableError(Exception):
    def __str__(self) -> str:
        raise ValueError("no text")


def catch(work: Callable[[], object]) -> Exception:
    try:
        work()
    except Exception as error:
        return error
    raise AssertionError("the work didn't fail")


@pytest.mark.parametrize(
    ("error", "detail"),
    [
        pytest.param(ValueError("bad"), "bad", id="plain"),
        pytest.param(ValueError(), "", id="empty"),
        pytest.param(ValueError("half \ud83d"), r"half \ud83d", id="surrogate"),
        pytest.param(ValueError("зона"), r"\u0437\u043e\u043d\u0430", id="not ASCII"),
        pytest.param(UnprintableError(), UNPRINTABLE, id="unprintable"),
    ],
)
def test_detail_can_be_encoded(error: Exception, detail: str) -> None:
    described = describe_failure(error)
    assert (described.error, described.detail) == (type(error).__name__, detail)
    json.dumps(described.detail).encode()


@pytest.mark.parametrize("text", ["x" * 1_000_000, "\ud83d" * 1_000_000], ids=["plain", "escaped"])
def test_detail_is_bounded(text: str) -> None:
    assert len(describe_failure(ValueError(text)).detail) == MAXIMUM_DETAIL_CHARACTERS


def test_location_is_the_innermost_frame_of_own_code() -> None:
    error = catch(lambda: json.loads("{"))
    line = error.__traceback__
    assert line is not None
    location = describe_failure(error).location
    assert location.startswith(f"{__name__}:")
    assert int(location.rpartition(":")[2]) > line.tb_lineno, "the lambda, not the caller"


def test_location_of_an_exception_that_was_never_raised_is_empty() -> None:
    assert describe_failure(ValueError()).location == ""
