import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from .. import MalformedPacket, MalformedReason, PacketHeader, parse_packet
from .builders import initial_packet, short_packet

ID = bytes(range(17))
VERSION_2 = 0x6B3343CF


def long_packet(first_octet: int, version: int = 1, size: int = 1200) -> bytes:
    return bytes([first_octet]) + initial_packet(ID[:8], version, size)[1:]


@pytest.mark.parametrize(
    ("datagram", "connection_id", "may_open", "is_long"),
    [
        pytest.param(short_packet(ID), ID, False, False, id="short header"),
        pytest.param(initial_packet(ID[:8]), ID[:8], True, True, id="version 1 Initial"),
        pytest.param(long_packet(0xD0, VERSION_2), ID[:8], True, True, id="version 2 Initial"),
        pytest.param(long_packet(0xE0, size=60), ID[:8], False, True, id="Handshake"),
        pytest.param(long_packet(0xD0), ID[:8], False, True, id="version 1 0-RTT"),
        pytest.param(initial_packet(b""), b"", True, True, id="empty connection ID"),
    ],
)
def test_valid_header_is_parsed(
    datagram: bytes, connection_id: bytes, may_open: bool, is_long: bool
) -> None:
    assert parse_packet(datagram) == PacketHeader(connection_id, may_open, is_long)


@pytest.mark.parametrize(
    ("datagram", "reason"),
    [
        pytest.param(b"", MalformedReason.TRUNCATED, id="empty"),
        pytest.param(b"\x40" + ID, MalformedReason.TRUNCATED, id="short header alone"),
        pytest.param(b"\xc0\0\0\0\1", MalformedReason.TRUNCATED, id="version alone"),
        pytest.param(
            b"\xc0\0\0\0\1\x08" + ID[:7], MalformedReason.TRUNCATED, id="connection ID cut"
        ),
        pytest.param(
            initial_packet(ID, 0xFACEB00C), MalformedReason.UNSUPPORTED_VERSION, id="version"
        ),
        pytest.param(initial_packet(ID, 0), MalformedReason.UNSUPPORTED_VERSION, id="negotiation"),
        pytest.param(
            initial_packet(bytes(21)), MalformedReason.CONNECTION_ID_TOO_LONG, id="ID of 21 bytes"
        ),
        pytest.param(
            initial_packet(ID, size=1199), MalformedReason.INITIAL_TOO_SMALL, id="small Initial"
        ),
    ],
)
def test_malformed_packet_is_rejected(datagram: bytes, reason: MalformedReason) -> None:
    assert parse_packet(datagram) == MalformedPacket(reason)


@settings(derandomize=True, max_examples=500)
@given(st.binary(max_size=1300), st.sampled_from([b"", b"\xc0\0\0\0\1", b"\xd3\x6b\x33\x43\xcf"]))
def test_any_bytes_give_a_header_or_a_reason(tail: bytes, head: bytes) -> None:
    header = parse_packet(head + tail)
    if isinstance(header, PacketHeader):
        assert header.connection_id in head + tail
        assert len(header.connection_id) <= 20
    else:
        assert header.reason in MalformedReason
