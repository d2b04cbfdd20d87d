from collections.abc import Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from .. import (
    CONNECTION_ID_BYTES,
    ConnectionIdCodec,
    ConnectionIdKey,
    InvalidConnectionIdKey,
    InvalidOwner,
    Owner,
)

OLD = ConnectionIdKey(1, b"a" * 16)
NEW = ConnectionIdKey(2, b"b" * 16)
BEFORE, BOTH, AFTER = (ConnectionIdCodec(keys) for keys in ([OLD], [NEW, OLD], [NEW]))


@settings(derandomize=True, max_examples=100)
@given(st.integers(0, 2**16 - 1), st.integers(0, 2**32 - 1), st.binary(min_size=8, max_size=8))
def test_encoded_owner_is_decoded(service_number: int, target_number: int, nonce: bytes) -> None:
    connection_id = BOTH.encode(service_number, target_number, nonce)
    assert len(connection_id) == CONNECTION_ID_BYTES
    assert BOTH.decode(connection_id) == Owner(service_number, target_number)


@settings(derandomize=True, max_examples=300)
@given(st.binary(max_size=40))
def test_random_bytes_decode_to_no_owner(connection_id: bytes) -> None:
    assert BOTH.decode(connection_id) is None


@pytest.mark.parametrize(
    ("encoder", "decoder", "is_read"),
    [
        pytest.param(BEFORE, BOTH, True, id="old ID while both keys are in use"),
        pytest.param(BOTH, AFTER, True, id="new ID after the old key is removed"),
        pytest.param(BEFORE, AFTER, False, id="old ID after the old key is removed"),
        pytest.param(BOTH, BEFORE, False, id="new ID before the new key is known"),
    ],
)
def test_key_rotation(
    encoder: ConnectionIdCodec, decoder: ConnectionIdCodec, is_read: bool
) -> None:
    decoded = decoder.decode(encoder.encode(1, 7, bytes(8)))
    assert decoded == (Owner(1, 7) if is_read else None)


def test_first_octet_is_rotation_and_length() -> None:
    assert BOTH.encode(1, 7, bytes(8))[0] == 2 << 5 | 16


def test_nonce_changes_encrypted_bytes() -> None:
    ids = {BOTH.encode(1, 7, nonce.to_bytes(8, "big"))[1:9] for nonce in range(100)}
    assert len(ids) == 100


@pytest.mark.parametrize(
    "make",
    [
        pytest.param(lambda: ConnectionIdKey(7, bytes(16)), id="rotation for unroutable IDs"),
        pytest.param(lambda: ConnectionIdKey(-1, bytes(16)), id="negative rotation"),
        pytest.param(lambda: ConnectionIdKey(0, bytes(15)), id="short secret"),
        pytest.param(lambda: ConnectionIdCodec([]), id="no key"),
        pytest.param(lambda: ConnectionIdCodec([OLD, OLD]), id="rotation twice"),
    ],
)
def test_invalid_key_raises(make: Callable[[], object]) -> None:
    with pytest.raises(InvalidConnectionIdKey):
        make()


@pytest.mark.parametrize(
    ("service_number", "target_number", "nonce"),
    [
        pytest.param(2**16, 1, bytes(8), id="service number too large"),
        pytest.param(1, 2**32, bytes(8), id="target number too large"),
        pytest.param(1, -1, bytes(8), id="negative target number"),
        pytest.param(1, 1, bytes(7), id="short nonce"),
    ],
)
def test_invalid_owner_raises(service_number: int, target_number: int, nonce: bytes) -> None:
    with pytest.raises(InvalidOwner):
        BOTH.encode(service_number, target_number, nonce)


def test_repr_hides_secret() -> None:
    assert "aaaa" not in repr(OLD)
