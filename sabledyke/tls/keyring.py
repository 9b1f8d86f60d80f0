"""Rotation of the private key, the certificate chain and the trusted roots.

Decides whether files form a new generation, which roots are trusted during a rotation, and which expiration
warnings are due. Files that cannot be used are reported once and change nothing. The files and the time, in
Unix milliseconds, are passed in; no file or socket is opened here.
"""

from __future__ import annotations

from dataclasses import dataclass

from sabledyke.tls.key_material import KeyFiles, KeyMaterial, MaterialError, check_key_files

WARNING_DAYS = (1, 7, 30)
"""Numbers of days before an expiration at which a warning is due, once per generation."""
DAY_MS = 86_400_000.0


@dataclass(slots=True, frozen=True)
class Generation:
    """A set of keys that is in use.

    Attributes:
        number: Sequence number, from 1.
        material: The checked key files.
        roots: The trusted roots in PEM, including the previous generation's during the overlap.
    """

    number: int
    material: KeyMaterial
    roots: bytes


@dataclass(slots=True, frozen=True)
class KeyringUpdate:
    """Result of offering files to the keyring.

    Attributes:
        changed: True if the generation or the set of trusted roots has changed.
        messages: Texts to be logged.
    """

    changed: bool = False
    messages: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class _PreviousRoots:
    """Roots of the previous generation, which stay trusted for a limited time."""

    roots: bytes
    trusted_until_ms: float


class Keyring:
    """Holds the current generation of keys, the previous roots and the files that were rejected last."""

    def __init__(self, overlap_ms: float) -> None:
        """Create a keyring.

        Args:
            overlap_ms: Time for which the previous generation's roots stay trusted.
        """
        self._overlap_ms = overlap_ms
        self._current: Generation | None = None
        self._previous: _PreviousRoots | None = None
        self._rejected: KeyFiles | None = None
        self._warned_days: int | None = None

    @property
    def generation(self) -> Generation:
        """The current generation; it exists once ``offer`` has accepted files."""
        assert self._current is not None
        return self._current

    def offer(self, now_ms: float, files: KeyFiles) -> KeyringUpdate:
        """Check files, and use all of them as the new generation or none.

        Raises:
            MaterialError: The files cannot be used, and there is no earlier generation.
        """
        current = self._current
        if current is not None and files in (current.material.files, self._rejected):
            return self._on_time_passed(now_ms, current)
        try:
            material = check_key_files(files, now_ms)
        except MaterialError as error:
            if current is None:
                raise
            self._rejected = files
            return KeyringUpdate(messages=(f"new keys were rejected: {error}; the current keys stay in use",))
        return self._accept(now_ms, material)

    def warnings(self, now_ms: float) -> tuple[str, ...]:
        """Return the warning for an expiration within 30, 7 or 1 days, once for each limit."""
        if self._current is None:
            return ()
        first = self._current.material.first_expiration
        days = (first.time_ms - now_ms) / DAY_MS
        due_days = next((limit for limit in WARNING_DAYS if days <= limit), None)
        if due_days is None:
            return ()
        if self._warned_days is not None and self._warned_days <= due_days:
            return ()
        self._warned_days = due_days
        return (f"{first.subject} expires in {max(0.0, days):.1f} days",)

    def _accept(self, now_ms: float, material: KeyMaterial) -> KeyringUpdate:
        self._rejected = None
        number = 1
        if self._current is not None:
            number = self._current.number + 1
            previous_roots = self._current.material.files.roots
            self._previous = _PreviousRoots(previous_roots, now_ms + self._overlap_ms)
        self._current = Generation(number, material, self._trusted_roots(now_ms, material))
        self._warned_days = None
        messages = (f"using keys of generation {number}",) if number > 1 else ()
        return KeyringUpdate(changed=True, messages=messages + self.warnings(now_ms))

    def _on_time_passed(self, now_ms: float, current: Generation) -> KeyringUpdate:
        """Drop the previous roots once their overlap has ended, and return the warnings that are due."""
        roots = self._trusted_roots(now_ms, current.material)
        if roots == current.roots:
            return KeyringUpdate(messages=self.warnings(now_ms))
        self._current = Generation(current.number, current.material, roots)
        message = "roots of the previous generation are no longer trusted"
        return KeyringUpdate(changed=True, messages=(message, *self.warnings(now_ms)))

    def _trusted_roots(self, now_ms: float, material: KeyMaterial) -> bytes:
        if self._previous is not None and now_ms >= self._previous.trusted_until_ms:
            self._previous = None
        previous_roots = self._previous.roots if self._previous is not None else b""
        roots = material.files.roots
        if previous_roots in (b"", roots):
            return roots
        return roots + b"\n" + previous_roots
