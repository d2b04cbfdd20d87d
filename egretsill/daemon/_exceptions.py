"""Errors that keep a daemon from starting."""

from __future__ import annotations

from pathlib import Path

from ..configuration import Address
from ..endpoints import error_name
from ..supervision import leaves


class AddressUnavailable(Exception):
    """A local endpoint could not be bound.

    Attributes:
        address: the endpoint.
        purpose: what the endpoint is used for.
        reason: name of the error code of the operating system.
    """

    def __init__(self, purpose: str, address: Address, reason: str) -> None:
        super().__init__(f"{purpose} {address}: {reason}")
        self.purpose = purpose
        self.address = address
        self.reason = reason

    @classmethod
    def caused_by(cls, error: OSError, purpose: str, address: Address) -> AddressUnavailable:
        """Return the exception for an error of the operating system."""
        return cls(purpose, address, error_name(error))


def is_address_unavailable(error: Exception) -> bool:
    """Return whether an exception, or each one of a group, is `AddressUnavailable`."""
    return all(isinstance(each, AddressUnavailable) for each in leaves(error))


class TlsUnusable(Exception):
    """A certificate or private key could not be read.

    Attributes:
        certificate: the certificate file.
        reason: why it could not be read.
    """

    def __init__(self, certificate: Path, reason: str) -> None:
        super().__init__(f"certificate {certificate}: {reason}")
        self.certificate = certificate
        self.reason = reason


class AgentSettingsIncomplete(Exception):
    """An agent's settings lack its target's number or its certificate.

    Attributes:
        name: name of the process.
    """

    def __init__(self, name: str) -> None:
        super().__init__(f"{name}: an agent needs the number of its target and a certificate")
        self.name = name
