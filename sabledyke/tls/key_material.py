"""Validation of key files: private key, certificate chain, trusted roots and revocation lists.

Checks that the files are consistent and valid at a given time before any of them is used. The contents of the
files, the mode of the key file and the time are passed in; no file is opened here. Error texts contain no
secrets.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import NamedTuple

from cryptography import x509
from cryptography.exceptions import InvalidSignature, UnsupportedAlgorithm
from cryptography.hazmat.primitives.serialization import Encoding, PublicFormat, load_pem_private_key

from sabledyke.errors import SabledykeError

MAX_FILE_BYTES = 1024 * 1024

_GROUP_AND_OTHERS_MASK = 0o077
_CRL_END_LINE = b"-----END X509 CRL-----"


class MaterialError(SabledykeError):
    """The key files cannot be used; the text states the reason in one line."""

    code = "tls-material"
    remedy = "replace the file named in the message, then run tls check"


@dataclass(slots=True, frozen=True)
class KeyFiles:
    """Contents of the key files, in PEM; the chain and the key are valid only together.

    Attributes:
        chain: The scheduler's certificate and its intermediates.
        key: The private key of that certificate.
        roots: The trusted roots.
        revocation_lists: Any number of certificate revocation lists.
        key_mode: Permission bits of the key file.
    """

    chain: bytes = b""
    key: bytes = b""
    roots: bytes = b""
    revocation_lists: bytes = b""
    key_mode: int = 0o600


class Expiration(NamedTuple):
    """Expiration of one of the scheduler's certificates or roots.

    Attributes:
        time_ms: Expiration time in Unix milliseconds.
        subject: Description of the certificate or root.
    """

    time_ms: float
    subject: str


@dataclass(slots=True, frozen=True)
class KeyMaterial:
    """Key files that passed all checks.

    Attributes:
        files: The contents of the files.
        expirations: Expirations of the certificate chain and the unexpired roots.
        names: Alternative names of the scheduler's certificate.
    """

    files: KeyFiles
    expirations: tuple[Expiration, ...]
    names: tuple[str, ...]

    @property
    def first_expiration(self) -> Expiration:
        """The earliest expiration."""
        return min(self.expirations)


def check_key_files(files: KeyFiles, now_ms: float) -> KeyMaterial:
    """Check that key files are consistent and valid.

    Args:
        files: The contents of the files.
        now_ms: The time at which they must be valid, in Unix milliseconds.

    Raises:
        MaterialError: The files cannot be used; the text states the first failed check.
    """
    now = datetime.fromtimestamp(now_ms / 1000, UTC)
    _check_key_file(files)
    roots = _load_certificates(files.roots, "the roots") if files.roots else []
    chain = _load_certificates(files.chain, "the chain") if files.chain else []
    valid_roots = _valid_roots(roots, now)
    expirations = [
        Expiration(_unix_ms(root.not_valid_after_utc), f"root {_name(root)}") for root in valid_roots
    ]
    for certificate in chain:
        _check_validity(certificate, now)
        subject = f"certificate {_name(certificate)}"
        expirations.append(Expiration(_unix_ms(certificate.not_valid_after_utc), subject))
    if chain:
        _check_chain(chain, files.key, roots)
    if files.revocation_lists:
        _check_revocation_lists(files.revocation_lists, now)
    return KeyMaterial(files, tuple(expirations), _alternative_names(chain[0]) if chain else ())


def _check_key_file(files: KeyFiles) -> None:
    if bool(files.chain) != bool(files.key):
        raise MaterialError("chain and key must be set together")
    if files.key and files.key_mode & _GROUP_AND_OTHERS_MASK:
        mode = f"but its mode is {files.key_mode & 0o777:o}"
        raise MaterialError(f"the key file must be readable by its owner alone (chmod 600), {mode}")


def _valid_roots(roots: list[x509.Certificate], now: datetime) -> list[x509.Certificate]:
    if not roots:
        raise MaterialError("roots contains no trusted roots")
    valid = [root for root in roots if root.not_valid_after_utc > now]
    if not valid:
        raise MaterialError("every trusted root has expired")
    return valid


def _check_validity(certificate: x509.Certificate, now: datetime) -> None:
    if now >= certificate.not_valid_after_utc:
        raise MaterialError(f"certificate {_name(certificate)} has expired")
    if now < certificate.not_valid_before_utc:
        raise MaterialError(f"certificate {_name(certificate)} is not valid yet")


def _check_chain(chain: list[x509.Certificate], key: bytes, roots: list[x509.Certificate]) -> None:
    _check_key_belongs_to(chain[0], key)
    for certificate, issuer in zip(chain, chain[1:], strict=False):
        _check_signed(
            certificate,
            [issuer],
            f"the chain is broken: {_name(certificate)} is not signed by the next certificate",
        )
    _check_signed(chain[-1], roots, f"no trusted root has signed {_name(chain[-1])}")


def _load_certificates(data: bytes, source: str) -> list[x509.Certificate]:
    if len(data) > MAX_FILE_BYTES:
        raise MaterialError(f"{source}: the file is larger than {MAX_FILE_BYTES} bytes")
    try:
        return x509.load_pem_x509_certificates(data)
    except (ValueError, UnsupportedAlgorithm):
        raise MaterialError(f"{source}: the file must contain valid certificates in PEM") from None


def _check_key_belongs_to(certificate: x509.Certificate, key: bytes) -> None:
    try:
        private = load_pem_private_key(key, None)
    except (ValueError, TypeError, UnsupportedAlgorithm):  # their texts may contain parts of the key
        raise MaterialError("the key cannot be read: it must be in PEM without a password") from None
    encoding = Encoding.DER
    key_format = PublicFormat.SubjectPublicKeyInfo
    expected = certificate.public_key().public_bytes(encoding, key_format)
    if private.public_key().public_bytes(encoding, key_format) != expected:
        raise MaterialError(f"the key does not belong to certificate {_name(certificate)}")


def _check_signed(certificate: x509.Certificate, issuers: Iterable[x509.Certificate], error: str) -> None:
    for issuer in issuers:
        if certificate == issuer:
            return
        try:
            certificate.verify_directly_issued_by(issuer)
            return
        except (ValueError, TypeError, InvalidSignature):
            continue
    raise MaterialError(error)


def _check_revocation_lists(data: bytes, now: datetime) -> None:
    lists = [text + _CRL_END_LINE + b"\n" for text in data.split(_CRL_END_LINE)[:-1]]
    if not lists:
        raise MaterialError("the revocation lists: the file contains no list in PEM")
    for text in lists:
        try:
            crl = x509.load_pem_x509_crl(text)
        except ValueError:
            raise MaterialError("the revocation lists: a list cannot be parsed") from None
        if crl.next_update_utc is not None and crl.next_update_utc <= now:
            raise MaterialError(f"the revocation list of {crl.issuer.rfc4514_string()} has expired")


def _alternative_names(certificate: x509.Certificate) -> tuple[str, ...]:
    try:
        names = certificate.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
    except x509.ExtensionNotFound:
        return ()
    return tuple(str(name.value) for name in names)


def _name(certificate: x509.Certificate) -> str:
    return certificate.subject.rfc4514_string() or f"{certificate.serial_number:x}"


def _unix_ms(time: datetime) -> float:
    return time.timestamp() * 1000
