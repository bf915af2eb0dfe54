"""Self-signed certificates for tests."""

from __future__ import annotations

import datetime
import ipaddress
import pathlib
import tempfile

import attrs
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

DAY = datetime.timedelta(days=1)
NOT_BEFORE = datetime.datetime(2020, 1, 1, tzinfo=datetime.UTC)


@attrs.frozen
class TlsTestFiles:
    """Paths of a self-signed certificate and its key."""

    certificate: str
    key: str


def make_tls_files(test, hosts):
    """Write a certificate for IP addresses into a directory removed after the test."""
    folder = pathlib.Path(test.enterContext(tempfile.TemporaryDirectory()))
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "agaterail test")])
    names = [x509.IPAddress(ipaddress.ip_address(host)) for host in hosts]
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(NOT_BEFORE)
        .not_valid_after(NOT_BEFORE + 36500 * DAY)
        .add_extension(x509.SubjectAlternativeName(names), critical=False)
        .add_extension(x509.BasicConstraints(ca=True, path_length=None), critical=True)
        .sign(key, hashes.SHA256())
    )
    encoding = serialization.Encoding.PEM
    files = TlsTestFiles(str(folder / "certificate.pem"), str(folder / "key.pem"))
    pathlib.Path(files.certificate).write_bytes(certificate.public_bytes(encoding))
    pathlib.Path(files.key).write_bytes(
        key.private_bytes(
            encoding, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
        )
    )
    return files
