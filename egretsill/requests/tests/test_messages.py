from __future__ import annotations

from collections.abc import Callable

import msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ...wire import MalformedMessage
from .._message_link import RELAY_CODEC
from .._messages import (
    RELAY_TYPES,
    Accepted,
    Failed,
    GateMark,
    Open,
    Pong,
    Refusal,
    RelayMessage,
    RequestId,
    Resume,
    ResumeAnswer,
)

IDENTIFIER = RequestId(1, 2, 3)
MARK = GateMark(7, 1.5)


@pytest.mark.parametrize(
    "message",
    [
        pytest.param(Pong(MARK), id="mark"),
        pytest.param(Accepted(IDENTIFIER), id="identifier"),
        pytest.param(
            Open(IDENTIFIER, 1, MARK, "s", "c", "GET", "/", ((b"a", b"b"),), None, True),
            id="headers",
        ),
        pytest.param(Resume(IDENTIFIER, 2, MARK, True, 10), id="resume"),
    ],
)
def test_nested_values_survive_round_trip(message: RelayMessage) -> None:
    decoded = RELAY_CODEC.decode(RELAY_CODEC.encode(message))
    assert decoded == message
    assert type(decoded) is type(message)


@pytest.mark.parametrize(
    "array",
    [
        pytest.param([2, [1]], id="short mark"),
        pytest.param([2, [1, "now"]], id="mark without a time"),
        pytest.param([4, [1, 2]], id="short identifier"),
        pytest.param([4, [1, 2, "3"]], id="text in identifier"),
        pytest.param([6, "because", 1.0], id="unknown refusal"),
        pytest.param([9, 200, [[b"a"]]], id="header without value"),
        pytest.param([9, 200, [[b"a", "b"]]], id="text in header"),
        pytest.param([9, 200, [[b"a", b"b"]] * 300], id="too many headers"),
        pytest.param([12, "because"], id="unknown failure"),
        pytest.param([16, "perhaps", 0], id="unknown state"),
    ],
)
def test_invalid_nested_values_are_malformed(array: list[object]) -> None:
    with pytest.raises(MalformedMessage):
        RELAY_CODEC.decode(msgpack.packb(array))


@pytest.mark.parametrize(
    "make",
    [
        pytest.param(lambda: Refusal("because", 1.0), id="refusal"),
        pytest.param(lambda: Failed("because"), id="failure"),
        pytest.param(lambda: ResumeAnswer("perhaps", 0), id="state"),
    ],
)
def test_unknown_enum_values_cannot_be_sent(make: Callable[[], RelayMessage]) -> None:
    with pytest.raises(ValueError):
        make()


def test_tags_stay_within_the_relay_range() -> None:
    assert all(1 <= tag <= 29 for tag in RELAY_TYPES)


@settings(derandomize=True, max_examples=300)
@given(
    st.integers(1, 16),
    st.lists(
        st.recursive(
            st.none()
            | st.booleans()
            | st.integers(-5, 2**40)
            | st.binary(max_size=8)
            | st.text(max_size=8),
            lambda inner: st.lists(inner, max_size=3),
            max_leaves=6,
        ),
        max_size=10,
    ),
)
def test_random_arrays_never_crash(tag: int, fields: list[object]) -> None:
    try:
        message = RELAY_CODEC.decode(msgpack.packb([tag, *fields]))
    except MalformedMessage:
        return
    assert RELAY_CODEC.decode(RELAY_CODEC.encode(message)) == message
