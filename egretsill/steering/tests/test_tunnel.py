import msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ...wire import MalformedMessage
from .. import (
    AgentProbe,
    AgentProbeAnswer,
    CallerPacket,
    OwnerNotice,
    ReplyPacket,
    TunnelMessage,
    make_tunnel_codec,
)
from .._tunnel import CallerPacketEncoder, ReplyFields, decode_reply

CODEC = make_tunnel_codec()
CALLER = CallerPacket("192.0.2.1", 5000, "10.0.0.1", 443, 1, 0, None, 0, b"payload")


@pytest.mark.parametrize(
    "message",
    [
        pytest.param(CALLER, id="caller packet"),
        pytest.param(
            CallerPacket("::1", 5000, "::2", 443, 1, 2, "10.0.0.9", 4000, b""), id="passed on"
        ),
        pytest.param(ReplyPacket("192.0.2.1", 5000, "10.0.0.1", 443, b"reply"), id="reply"),
        pytest.param(AgentProbe(7), id="probe"),
        pytest.param(AgentProbeAnswer(7, 11, draining=True), id="probe answer"),
        pytest.param(OwnerNotice(7, 1, "10.0.0.1", 4000), id="owner notice"),
    ],
)
def test_messages_round_trip(message: TunnelMessage) -> None:
    assert CODEC.decode(CODEC.encode(message)) == message


@pytest.mark.parametrize(
    ("caller", "service_address", "service_number", "payload"),
    [
        pytest.param(("192.0.2.1", 5000), ("10.0.0.1", 443), 1, b"payload", id="IPv4"),
        pytest.param(("::1", 65535), ("::2", 1), 65535, bytes(2048), id="IPv6, largest values"),
        pytest.param(("192.0.2.1", 1), ("10.0.0.1", 443), 1, b"", id="empty"),
    ],
)
def test_encoder_matches_codec(
    caller: tuple[str, int], service_address: tuple[str, int], service_number: int, payload: bytes
) -> None:
    packet = CallerPacket(*caller, *service_address, service_number, 0, None, 0, payload)
    encoded = CallerPacketEncoder().encode(caller, service_address, service_number, payload)
    assert encoded == CODEC.encode(packet)


@pytest.mark.parametrize(
    "fields",
    [
        pytest.param([2, "192.0.2.1", 0, "10.0.0.1", 443, b""], id="port 0"),
        pytest.param([2, "192.0.2.1", 65536, "10.0.0.1", 443, b""], id="port too large"),
        pytest.param([2, "x" * 46, 1, "10.0.0.1", 443, b""], id="host too long"),
        pytest.param([2, "", 1, "10.0.0.1", 443, b""], id="no host"),
        pytest.param([2, "192.0.2.1", 1, "10.0.0.1", 443, "text"], id="payload is text"),
        pytest.param([2, "192.0.2.1", 1, "10.0.0.1", 443], id="field missing"),
        pytest.param([1, "::1", 1, "::2", 1, 1, -1, None, 0, b""], id="negative hops"),
        pytest.param([1, "::1", 1, "::2", 1, 1, 1, "::3", 0, b""], id="return port 0"),
        pytest.param([5, 0, 1, "10.0.0.1", 4000], id="notice of target 0"),
        pytest.param([5, 2**32, 1, "10.0.0.1", 4000], id="target number too large"),
        pytest.param([9, 1], id="unknown tag"),
        pytest.param([], id="empty"),
    ],
)
def test_malformed_message_is_rejected(fields: list[object]) -> None:
    with pytest.raises(MalformedMessage):
        CODEC.decode(msgpack.packb(fields))


WIRE_VALUES = st.one_of(
    st.sampled_from([0, 1, 2, 443, 65535, 65536, -1, True, None, 2.0, "", "10.0.0.1", "x" * 46]),
    st.binary(max_size=3),
)


@settings(derandomize=True, max_examples=1000)
@given(st.data())
def test_decode_reply_matches_codec(data: st.DataObject) -> None:
    fields: list[object] = [2, "192.0.2.1", 5000, "10.0.0.1", 443, b"reply"]
    for index in data.draw(st.sets(st.integers(0, 5), max_size=2)):
        fields[index] = data.draw(WIRE_VALUES)
    encoded = msgpack.packb(fields[: data.draw(st.sampled_from([6, 6, 6, 5]))])
    try:
        message = CODEC.decode(encoded)
    except MalformedMessage:
        message = None
    expected = None
    if isinstance(message, ReplyPacket):
        caller = (message.caller_host, message.caller_port)
        service_address = (message.service_host, message.service_port)
        expected = ReplyFields(caller, service_address, message.payload)
    assert decode_reply(encoded) == expected


@settings(derandomize=True, max_examples=300)
@given(st.binary(max_size=200))
def test_random_bytes_are_rejected(data: bytes) -> None:
    with pytest.raises(MalformedMessage):
        CODEC.decode(data)


@settings(derandomize=True, max_examples=200)
@given(st.data())
def test_truncated_message_is_rejected(data: st.DataObject) -> None:
    encoded = CODEC.encode(CALLER)
    with pytest.raises(MalformedMessage):
        CODEC.decode(encoded[: data.draw(st.integers(0, len(encoded) - 1))])
