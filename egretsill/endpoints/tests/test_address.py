"""Tests of the text of addresses and ports."""

from __future__ import annotations

from contextlib import suppress

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from .. import format_ipv4, is_port, is_unicast_ipv4, parse_ipv4, parse_port

ODD_NUMBERS = [
    "",
    " ",
    " 80",
    "80 ",
    "+80",
    "-5",
    "1_0",
    "8.0",
    "0x50",
    "\u0668\u0660",
    "\uff18\uff10",
    "8\ud83d",
    "8\0",
]
HUGE_NUMBER = "9" * 5_000


@given(st.integers(0, 2**32 - 1))
def test_address_round_trip(host: int) -> None:
    assert parse_ipv4(format_ipv4(host)) == host


# Guards against spellings of numbers that int() takes and that no other program means as one.
@pytest.mark.parametrize("number", [*ODD_NUMBERS, "256", "010", HUGE_NUMBER])
def test_odd_part_of_an_address_is_rejected(number: str) -> None:
    with pytest.raises(ValueError, match=r"."):
        parse_ipv4(f"10.{number}.0.1")


@pytest.mark.parametrize("host", ["", "10", "10.1", "10.0.0.0.1", "::1", "localhost", "10.0.0.1/8"])
def test_other_text_is_no_address(host: str) -> None:
    with pytest.raises(ValueError, match=r".*"):
        parse_ipv4(host)


# Guards against ports that a socket or a message can't hold.
@pytest.mark.parametrize("number", [*ODD_NUMBERS, "0", "65536", "70000", "9" * 20, HUGE_NUMBER])
def test_odd_port_is_rejected(number: str) -> None:
    with pytest.raises(ValueError, match=r".*"):
        parse_port(number)


@pytest.mark.parametrize(
    ("text", "port"), [("1", 1), ("443", 443), ("00443", 443), ("65535", 65535)]
)
def test_port_is_parsed(text: str, port: int) -> None:
    assert parse_port(text) == port


@settings(derandomize=True, max_examples=500)
@given(st.text(max_size=20))
def test_any_text_is_parsed_or_rejected(text: str) -> None:
    with suppress(ValueError):
        assert is_port(parse_port(text))
    with suppress(ValueError):
        assert format_ipv4(parse_ipv4(text)) == text


@pytest.mark.parametrize(
    ("host", "is_unicast"),
    [
        ("10.1.0.12", True),
        ("127.0.0.1", True),
        ("198.18.0.1", True),
        ("223.255.255.255", True),
        ("0.0.0.0", False),
        ("224.0.0.1", False),
        ("240.0.0.1", False),
        ("255.255.255.255", False),
    ],
)
def test_address_of_one_vm(host: str, is_unicast: bool) -> None:
    assert is_unicast_ipv4(parse_ipv4(host)) is is_unicast
