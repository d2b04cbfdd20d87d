"""Errors for invalid connection ID keys and owners."""

from __future__ import annotations


class InvalidConnectionIdKey(ValueError):
    """A connection ID key is invalid.

    Attributes:
        rotation: the key's rotation number.
        reason: short description of the error.
    """

    def __init__(self, rotation: int, reason: str) -> None:
        super().__init__(f"connection ID key of rotation {rotation}: {reason}")
        self.rotation = rotation
        self.reason = reason


class InvalidOwner(ValueError):
    """An owner or a nonce does not fit into a connection ID.

    Attributes:
        service_number: service of the owner.
        target_number: target of the owner.
        nonce_bytes: length of the nonce in bytes.
    """

    def __init__(self, service_number: int, target_number: int, nonce_bytes: int) -> None:
        super().__init__(
            f"no connection ID for service {service_number}, target {target_number}"
            f" and a nonce of {nonce_bytes} bytes"
        )
        self.service_number = service_number
        self.target_number = target_number
        self.nonce_bytes = nonce_bytes
