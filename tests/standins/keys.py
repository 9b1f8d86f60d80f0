"""Certificates for tests, made at run time and never kept: authorities, what they sign and revoke."""

from __future__ import annotations

import ipaddress
from datetime import UTC, datetime, timedelta

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives.serialization import Encoding, NoEncryption, PrivateFormat
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

DAY = timedelta(days=1)


class Authority:
    """Signs certificates; ``now`` may be moved to make them hold at other times."""

    def __init__(self, name: str = "root", days: float = 365) -> None:
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        now = datetime.now(UTC)
        usage = x509.KeyUsage(True, False, False, False, False, True, True, False, False)
        made = (
            x509.CertificateBuilder()
            .subject_name(self._name)
            .issuer_name(self._name)
            .public_key(self._key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - DAY)
            .not_valid_after(now + timedelta(days=days))
            .add_extension(x509.BasicConstraints(True, None), True)
            .add_extension(usage, True)
            .add_extension(x509.SubjectKeyIdentifier.from_public_key(self._key.public_key()), False)
            .sign(self._key, hashes.SHA256())
        )
        self.root = made.public_bytes(Encoding.PEM)
        self._certificate = made

    def issue(self, *names: str, days: float = 90, begin: float = -1) -> tuple[bytes, bytes]:
        """A certificate for these names and its key, both PEM; ``begin`` in days from now."""
        key, now = ec.generate_private_key(ec.SECP256R1()), datetime.now(UTC)
        alternative: list[x509.GeneralName] = []
        for name in names:
            try:
                alternative.append(x509.IPAddress(ipaddress.ip_address(name)))
            except ValueError:
                alternative.append(x509.DNSName(name))
        uses = x509.ExtendedKeyUsage([ExtendedKeyUsageOID.SERVER_AUTH, ExtendedKeyUsageOID.CLIENT_AUTH])
        known = self._certificate.extensions.get_extension_for_class(x509.SubjectKeyIdentifier).value
        made = (
            x509.CertificateBuilder()
            .subject_name(x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, names[0])]))
            .issuer_name(self._name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now + timedelta(days=begin))
            .not_valid_after(now + timedelta(days=days))
            .add_extension(x509.SubjectAlternativeName(alternative), False)
            .add_extension(uses, False)
            .add_extension(x509.BasicConstraints(False, None), True)
            .add_extension(x509.AuthorityKeyIdentifier.from_issuer_subject_key_identifier(known), False)
            .sign(self._key, hashes.SHA256())
        )
        pem = key.private_bytes(Encoding.PEM, PrivateFormat.PKCS8, NoEncryption())
        return made.public_bytes(Encoding.PEM), pem

    def revoke(self, *chains: bytes, days: float = 7) -> bytes:
        """A revocation list with these certificates."""
        now = datetime.now(UTC)
        built = x509.CertificateRevocationListBuilder().issuer_name(self._name)
        built = built.last_update(now - DAY).next_update(now + timedelta(days=days))
        for chain in chains:
            serial = x509.load_pem_x509_certificate(chain).serial_number
            one = x509.RevokedCertificateBuilder().serial_number(serial).revocation_date(now - DAY).build()
            built = built.add_revoked_certificate(one)
        return built.sign(self._key, hashes.SHA256()).public_bytes(Encoding.PEM)
