"""What can be wrong with the keys and values that steering is given."""

from __future__ import annotations


class InvalidConnectionIdKey(ValueError):
    """A connection ID key that can't be used.

    Attributes:
        rotation: the key's rotation number.
        reason: what is wrong, in a few words.
    """

    def __init__(self, rotation: int, reason: str) -> None:
        super().__init__(f"connection ID key of rotation {rotation}: {reason}")
        self.rotation = rotation
        self.reason = reason


class InvalidOwner(ValueError):
    """Numbers or a nonce that a connection ID can't carry.

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
