"""Check of an agent's certificate and private key before the daemon starts."""

from __future__ import annotations

from ..flows import server_configuration
from ..settings import TlsSettings
from ._exceptions import TlsUnusable


def check_tls(tls: TlsSettings) -> None:
    """Check that the certificate chain and the private key can be read.

    Raises:
        TlsUnusable: if either can't be read.
    """
    try:
        server_configuration(tls.certificate, tls.key)
    except (OSError, ValueError, TypeError) as error:
        reason = getattr(error, "strerror", None) or type(error).__name__
        raise TlsUnusable(tls.certificate, reason) from error
