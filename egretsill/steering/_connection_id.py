"""Connection IDs that encode their owner, readable with a shared key.

The first octet follows the QUIC-LB Internet-Draft: three bits of key rotation, then the number of
bytes that follow. These are one AES-128 block: service number (2 bytes), target number (4), zero
check bytes (2), by which random IDs are rejected, and a nonce (8).
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from cryptography.hazmat.primitives.ciphers import Cipher, CipherContext
from cryptography.hazmat.primitives.ciphers.algorithms import AES
from cryptography.hazmat.primitives.ciphers.modes import ECB

from ._exceptions import InvalidConnectionIdKey, InvalidOwner

BLOCK_BYTES = 16
CONNECTION_ID_BYTES = 1 + BLOCK_BYTES
NONCE_BYTES = 8
OWNER_BYTES = 8
SECRET_BYTES = 16

_ROTATION_SHIFT_BITS = 5
_UNROUTABLE_ROTATION = 0b111
_OWNER_LAYOUT = struct.Struct("!HIH")
_SERVICE_NUMBER_BYTES = 2
_CHECK_OFFSET = 6
_SCRATCH_BYTES = 2 * BLOCK_BYTES - 1


@dataclass(frozen=True, slots=True)
class ConnectionIdKey:
    """The secret that balancers and agents share for one key rotation.

    Attributes:
        rotation: 0 to 6; the QUIC-LB draft reserves 7 for IDs without an owner.
        secret: 16 bytes.

    Raises:
        InvalidConnectionIdKey: if the rotation or the secret's length is out of range.
    """

    rotation: int
    secret: bytes = field(repr=False)

    def __post_init__(self) -> None:
        if not 0 <= self.rotation < _UNROUTABLE_ROTATION:
            raise InvalidConnectionIdKey(self.rotation, "rotation out of range")
        if len(self.secret) != SECRET_BYTES:
            raise InvalidConnectionIdKey(self.rotation, "secret of the wrong length")

    @property
    def first_octet(self) -> int:
        """Return the first octet of every connection ID made with this key."""
        return self.rotation << _ROTATION_SHIFT_BITS | BLOCK_BYTES


@dataclass(frozen=True, slots=True)
class Owner:
    """The target that a flow belongs to, and its service."""

    service_number: int
    target_number: int


class ConnectionIdCodec:
    """Encodes connection IDs with the active key and decodes them with any accepted key.

    Args:
        keys: the active key for new connection IDs, followed by other accepted keys.

    Raises:
        InvalidConnectionIdKey: if there is no key or a rotation appears twice.
    """

    def __init__(self, keys: Sequence[ConnectionIdKey]) -> None:
        if not keys:
            raise InvalidConnectionIdKey(0, "no key given")
        self._scratch = bytearray(_SCRATCH_BYTES)
        self._decrypt: dict[int, Callable[[bytes, bytearray], int]] = {}
        for key in keys:
            if key.first_octet in self._decrypt:
                raise InvalidConnectionIdKey(key.rotation, "rotation given twice")
            self._decrypt[key.first_octet] = _cipher(key).decryptor().update_into
        self._active_octet = bytes((keys[0].first_octet,))
        self._encryptor: CipherContext = _cipher(keys[0]).encryptor()

    def encode(self, service_number: int, target_number: int, nonce: bytes) -> bytes:
        """Return a connection ID for the owner, encrypted with the active key.

        Raises:
            InvalidOwner: if a number or the nonce does not fit.
        """
        if len(nonce) != NONCE_BYTES:
            raise InvalidOwner(service_number, target_number, len(nonce))
        block = owner_bytes(service_number, target_number) + nonce
        return self._active_octet + self._encryptor.update(block)

    def decode(self, connection_id: bytes) -> Owner | None:
        """Return the owner encoded in a connection ID, or None if there is none."""
        prefix = self.decode_owner_bytes(connection_id)
        if prefix is None:
            return None
        service_number, target_number, check = _OWNER_LAYOUT.unpack(prefix)
        return Owner(service_number, target_number) if check == 0 else None

    def decode_owner_bytes(self, connection_id: bytes) -> bytes | None:
        """Return the first 8 bytes of the decrypted block, to look up in a table of `owner_bytes`.

        The check bytes are not verified here: no key of such a table has wrong check bytes.
        Returns None if no key matches the ID.
        """
        if len(connection_id) != CONNECTION_ID_BYTES:
            return None
        decrypt = self._decrypt.get(connection_id[0])
        if decrypt is None:
            return None
        scratch = self._scratch
        decrypt(connection_id[1:], scratch)
        return bytes(scratch[:OWNER_BYTES])


def owner_bytes(service_number: int, target_number: int) -> bytes:
    """Return the 8 bytes that encode an owner in a connection ID.

    Raises:
        InvalidOwner: if a number does not fit.
    """
    try:
        return _OWNER_LAYOUT.pack(service_number, target_number, 0)
    except struct.error as error:
        raise InvalidOwner(service_number, target_number, NONCE_BYTES) from error


def has_valid_check_bytes(prefix: bytes) -> bool:
    """Return whether the check bytes in a decrypted block's first 8 bytes are zero."""
    return not any(prefix[_CHECK_OFFSET:])


def service_number_of(prefix: bytes) -> int:
    """Return the service number in a decrypted block's first 8 bytes."""
    return int.from_bytes(prefix[:_SERVICE_NUMBER_BYTES], "big")


def _cipher(key: ConnectionIdKey) -> Cipher[ECB]:
    return Cipher(AES(key.secret), ECB())
