"""Authorities, certificates and revocation lists for tests, created at run time and never stored."""

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
    """A certificate authority with a self-signed root."""

    def __init__(self, name: str = "root", days: float = 365) -> None:
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        now = datetime.now(UTC)
        usage = x509.KeyUsage(
            digital_signature=True,
            content_commitment=False,
            key_encipherment=False,
            data_encipherment=False,
            key_agreement=False,
            key_cert_sign=True,
            crl_sign=True,
            encipher_only=False,
            decipher_only=False,
        )
        certificate = (
            x509.CertificateBuilder()
            .subject_name(self._name)
            .issuer_name(self._name)
            .public_key(self._key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - DAY)
            .not_valid_after(now + timedelta(days=days))
            .add_extension(x509.BasicConstraints(ca=True, path_length=None), critical=True)
            .add_extension(usage, critical=True)
            .add_extension(x509.SubjectKeyIdentifier.from_public_key(self._key.public_key()), critical=False)
            .sign(self._key, hashes.SHA256())
        )
        self.root = certificate.public_bytes(Encoding.PEM)
        self._certificate = certificate

    def issue(self, *names: str, days: float = 90, begin: float = -1) -> tuple[bytes, bytes]:
        """Return a PEM certificate for these names and its PEM key; validity is in days relative to now."""
        key = ec.generate_private_key(ec.SECP256R1())
        now = datetime.now(UTC)
        alternative: list[x509.GeneralName] = []
        for name in names:
            try:
                alternative.append(x509.IPAddress(ipaddress.ip_address(name)))
            except ValueError:
                alternative.append(x509.DNSName(name))
        purposes = x509.ExtendedKeyUsage([ExtendedKeyUsageOID.SERVER_AUTH, ExtendedKeyUsageOID.CLIENT_AUTH])
        identifier = self._certificate.extensions.get_extension_for_class(x509.SubjectKeyIdentifier).value
        certificate = (
            x509.CertificateBuilder()
            .subject_name(x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, names[0])]))
            .issuer_name(self._name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now + timedelta(days=begin))
            .not_valid_after(now + timedelta(days=days))
            .add_extension(x509.SubjectAlternativeName(alternative), critical=False)
            .add_extension(purposes, critical=False)
            .add_extension(x509.BasicConstraints(ca=False, path_length=None), critical=True)
            .add_extension(
                x509.AuthorityKeyIdentifier.from_issuer_subject_key_identifier(identifier), critical=False
            )
            .sign(self._key, hashes.SHA256())
        )
        pem = key.private_bytes(Encoding.PEM, PrivateFormat.PKCS8, NoEncryption())
        return certificate.public_bytes(Encoding.PEM), pem

    def revoke(self, *chains: bytes, days: float = 7) -> bytes:
        """Return a PEM revocation list that contains these certificates."""
        now = datetime.now(UTC)
        builder = x509.CertificateRevocationListBuilder().issuer_name(self._name)
        builder = builder.last_update(now - DAY).next_update(now + timedelta(days=days))
        for chain in chains:
            serial = x509.load_pem_x509_certificate(chain).serial_number
            revoked = (
                x509.RevokedCertificateBuilder().serial_number(serial).revocation_date(now - DAY).build()
            )
            builder = builder.add_revoked_certificate(revoked)
        return builder.sign(self._key, hashes.SHA256()).public_bytes(Encoding.PEM)
