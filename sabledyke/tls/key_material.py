"""Keys, chains and trusted roots as files hold them, checked whole before any of it is used.

Told: the bytes of the files, the mode of the key's file, and the time. Decides: whether they fit together
and hold now. On ``cryptography``; no file is opened here. What a fault says names no secret.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import UTC, datetime

from cryptography import x509
from cryptography.exceptions import InvalidSignature, UnsupportedAlgorithm
from cryptography.hazmat.primitives.serialization import Encoding, PublicFormat, load_pem_private_key

from sabledyke.errors import Fault

MAX_FILE_BYTES = 1024 * 1024  # bytes of one file


class MaterialError(Fault):
    """The files cannot be used; the text is the one line that says why."""

    code, remedy = "tls-material", "replace the file that the line names, then tls check"


@dataclass(slots=True, frozen=True)
class KeyFiles:
    """What the files hold: PEM; a certificate without a key, or the other way, is an error."""

    chain: bytes = b""
    key: bytes = b""
    roots: bytes = b""
    revocation_lists: bytes = b""  # revocation lists, none or several
    key_mode: int = 0o600  # of the key's file


@dataclass(slots=True, frozen=True)
class KeyMaterial:
    """Files that passed; ``ends`` is the first moment, in Unix ms, at which something of ours is over, and
    of what."""

    files: KeyFiles
    expirations: tuple[tuple[float, str], ...]
    names: tuple[str, ...]

    @property
    def first_expiration(self) -> tuple[float, str]:
        """The earliest of ``ends``."""
        return min(self.expirations)


def check_key_files(files: KeyFiles, now: float) -> KeyMaterial:
    """All of it, at a time in Unix milliseconds; a MaterialError names the first thing that does not hold."""
    when = datetime.fromtimestamp(now / 1000, UTC)
    if bool(files.chain) != bool(files.key):
        raise MaterialError("a certificate needs its key, and a key its certificate")
    if files.key and files.key_mode & 0o077:
        told = f"its mode is {files.key_mode & 0o777:o}"
        raise MaterialError(f"the key's file must be read by its owner alone (chmod 600), {told}")
    roots = _certificates(files.roots, "the roots") if files.roots else []
    chain = _certificates(files.chain, "the chain") if files.chain else []
    if not roots:
        raise MaterialError("there are no trusted roots")
    held = [r for r in roots if r.not_valid_after_utc > when]
    if not held:
        raise MaterialError("every trusted root has expired")
    ends = [(_ms(r.not_valid_after_utc), f"root {_name(r)}") for r in held]
    for certificate in chain:
        if not certificate.not_valid_before_utc <= when < certificate.not_valid_after_utc:
            word = "has expired" if when >= certificate.not_valid_after_utc else "does not hold yet"
            raise MaterialError(f"certificate {_name(certificate)} {word}")
        ends.append((_ms(certificate.not_valid_after_utc), f"certificate {_name(certificate)}"))
    if chain:
        _pair(chain[0], files.key)
        for lower, upper in zip(chain, chain[1:], strict=False):
            _signed(lower, [upper], f"the chain breaks after {_name(lower)}")
        _signed(chain[-1], roots, f"no trusted root has signed {_name(chain[-1])}")
    if files.revocation_lists:
        _lists(files.revocation_lists, when)
    return KeyMaterial(files, tuple(ends), _names(chain[0]) if chain else ())


def _certificates(data: bytes, what: str) -> list[x509.Certificate]:
    if len(data) > MAX_FILE_BYTES:
        raise MaterialError(f"{what}: more than {MAX_FILE_BYTES} bytes")
    try:
        return x509.load_pem_x509_certificates(data)
    except (ValueError, UnsupportedAlgorithm):
        raise MaterialError(f"{what}: no certificate in PEM can be read") from None


def _pair(certificate: x509.Certificate, key: bytes) -> None:
    try:
        private = load_pem_private_key(key, None)
    except (ValueError, TypeError, UnsupportedAlgorithm):  # without what it says, which may quote the key
        raise MaterialError("the key cannot be read: PEM without a password is wanted") from None
    form = Encoding.DER, PublicFormat.SubjectPublicKeyInfo
    if private.public_key().public_bytes(*form) != certificate.public_key().public_bytes(*form):
        raise MaterialError(f"the key does not belong to certificate {_name(certificate)}")


def _signed(lower: x509.Certificate, uppers: Iterable[x509.Certificate], otherwise: str) -> None:
    for upper in uppers:
        if lower == upper:
            return
        try:
            lower.verify_directly_issued_by(upper)
            return
        except (ValueError, TypeError, InvalidSignature):
            continue
    raise MaterialError(otherwise)


def _lists(data: bytes, when: datetime) -> None:
    parts = [p + b"-----END X509 CRL-----\n" for p in data.split(b"-----END X509 CRL-----")[:-1]]
    if not parts:
        raise MaterialError("the revocation lists: none in PEM can be read")
    for part in parts:
        try:
            crl = x509.load_pem_x509_crl(part)
        except ValueError:
            raise MaterialError("the revocation lists: one cannot be read") from None
        if crl.next_update_utc is not None and crl.next_update_utc <= when:
            raise MaterialError(f"the revocation list of {crl.issuer.rfc4514_string()} is out of date")


def _names(certificate: x509.Certificate) -> tuple[str, ...]:
    try:
        names = certificate.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
    except x509.ExtensionNotFound:
        return ()
    return tuple(str(n.value) for n in names)


def _name(certificate: x509.Certificate) -> str:
    return certificate.subject.rfc4514_string() or f"{certificate.serial_number:x}"


def _ms(when: datetime) -> float:
    return when.timestamp() * 1000
