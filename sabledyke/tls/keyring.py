"""Generations of key, chain and trusted roots, and which of them is in force.

Decides whether files are a new generation, which roots are trusted during a rotation, and which warnings are
due. A generation that cannot be used is reported once and changes nothing. Files and the time, in Unix
milliseconds, are passed in; no file or socket is opened here.
"""

from __future__ import annotations

from dataclasses import dataclass

from sabledyke.tls.key_material import KeyFiles, KeyMaterial, MaterialError, check_key_files

WARNING_DAYS = (1, 7, 30)
"""Days before an expiration at which a warning is due, once for each generation."""
DAY_MS = 86_400_000.0


@dataclass(slots=True, frozen=True)
class Generation:
    """What is in force.

    Attributes:
        number: Counts up from 1.
        material: The checked files.
        roots: The trusted roots, with those of the former generation while they overlap.
    """

    number: int
    material: KeyMaterial
    roots: bytes


@dataclass(slots=True, frozen=True)
class KeyringUpdate:
    """What offering files led to.

    Attributes:
        changed: Whether another generation, or other roots, are in force.
        messages: What is to be logged.
    """

    changed: bool = False
    messages: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class _FormerRoots:
    """Roots of the former generation, and until when they are trusted."""

    roots: bytes
    trusted_until_ms: float


class Keyring:
    """The generation in force, the roots of the one before it, and the files that were rejected last."""

    def __init__(self, overlap_ms: float) -> None:
        """Create a keyring.

        Args:
            overlap_ms: For how long a former generation's roots stay trusted.
        """
        self._overlap_ms = overlap_ms
        self._current: Generation | None = None
        self._former: _FormerRoots | None = None
        self._rejected: KeyFiles | None = None
        self._warned_days: int | None = None

    @property
    def generation(self) -> Generation:
        """The generation in force; there is one once ``offer`` has accepted one."""
        assert self._current is not None
        return self._current

    def offer(self, now_ms: float, files: KeyFiles) -> KeyringUpdate:
        """Accept files as a new generation completely, or not at all.

        Raises:
            MaterialError: The first files of all cannot be used.
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
            return KeyringUpdate(messages=(f"new keys are not used: {error}; the old ones stay in force",))
        return self._accept(now_ms, material)

    def warnings(self, now_ms: float) -> tuple[str, ...]:
        """Return the warning of an expiration within 30, 7 or 1 days, once for each."""
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
        return (f"{first.subject} ends in {max(0.0, days):.1f} days",)

    def _accept(self, now_ms: float, material: KeyMaterial) -> KeyringUpdate:
        self._rejected = None
        number = 1
        if self._current is not None:
            number = self._current.number + 1
            former_roots = self._current.material.files.roots
            self._former = _FormerRoots(former_roots, now_ms + self._overlap_ms)
        self._current = Generation(number, material, self._trusted_roots(now_ms, material))
        self._warned_days = None
        messages = (f"keys of generation {number} are in force",) if number > 1 else ()
        return KeyringUpdate(changed=True, messages=messages + self.warnings(now_ms))

    def _on_time_passed(self, now_ms: float, current: Generation) -> KeyringUpdate:
        """End the former roots' overlap, and return the warnings that are due."""
        roots = self._trusted_roots(now_ms, current.material)
        if roots == current.roots:
            return KeyringUpdate(messages=self.warnings(now_ms))
        self._current = Generation(current.number, current.material, roots)
        message = "roots of the former generation are no longer trusted"
        return KeyringUpdate(changed=True, messages=(message, *self.warnings(now_ms)))

    def _trusted_roots(self, now_ms: float, material: KeyMaterial) -> bytes:
        if self._former is not None and now_ms >= self._former.trusted_until_ms:
            self._former = None
        former_roots = self._former.roots if self._former is not None else b""
        roots = material.files.roots
        if former_roots in (b"", roots):
            return roots
        return roots + b"\n" + former_roots
