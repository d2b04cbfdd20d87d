"""Short-lived self-signed certificates for tests and the quickstart."""

from __future__ import annotations

import datetime
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

VALID_DAYS = 2
CERTIFICATE_FILE = "certificate.pem"
PRIVATE_KEY_FILE = "private-key.pem"


@dataclass(frozen=True, slots=True)
class CertificateFiles:
    """PEM files of a certificate and its private key.

    The certificate is self-signed, so callers can use it as the trusted authority too.
    """

    certificate: Path
    private_key: Path


def write_certificate(directory: Path, authorities: Sequence[str]) -> CertificateFiles:
    """Create a certificate for the given host names and write it to `directory`."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, authorities[0])])
    now = datetime.datetime.now(datetime.UTC)
    names = x509.SubjectAlternativeName([x509.DNSName(each) for each in authorities])
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=VALID_DAYS))
        .not_valid_after(now + datetime.timedelta(days=VALID_DAYS))
        .add_extension(names, critical=False)
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
        .sign(key, hashes.SHA256())
    )
    files = CertificateFiles(directory / CERTIFICATE_FILE, directory / PRIVATE_KEY_FILE)
    files.certificate.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    files.private_key.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return files
