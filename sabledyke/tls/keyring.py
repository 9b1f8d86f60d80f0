"""Generations of key, chain and trusted roots, and which is in force.

Told: files as they are looked at, and the time in Unix milliseconds. Decides: whether they are a new
generation, which roots are trusted meanwhile, and which warnings are due. A bad generation is told of once
and changes nothing. Never opens a file or a socket.
"""

from __future__ import annotations

from dataclasses import dataclass

from sabledyke.tls.key_material import KeyFiles, KeyMaterial, MaterialError, check_key_files

WARNING_DAYS = (1, 7, 30)  # before an end; each is said once for each generation
DAY_MS = 86_400_000.0


@dataclass(slots=True, frozen=True)
class Generation:
    """What is in force: its number counts up from 1; ``roots`` holds those of the former one while they
    overlap."""

    number: int
    material: KeyMaterial
    roots: bytes


@dataclass(slots=True, frozen=True)
class KeyringUpdate:
    """What a look at the files led to."""

    changed: bool = False
    messages: tuple[str, ...] = ()


class Keyring:
    """The one in force, the one before it, and the last that was refused."""

    def __init__(self, overlap: float) -> None:
        self._overlap = overlap  # ms for which a former generation's roots stay trusted
        self._now: Generation | None = None
        self._former: tuple[bytes, float] | None = None  # roots, and until when
        self._refused: KeyFiles | None = None
        self._warned: int | None = None

    @property
    def generation(self) -> Generation:
        """What is in force; there is one once ``offer`` has taken one."""
        assert self._now is not None
        return self._now

    def offer(self, now: float, files: KeyFiles) -> KeyringUpdate:
        """Look at files: taken whole, or not at all. The first must hold, else a MaterialError."""
        if self._now is not None and files == self._now.material.files:
            return self._pass(now)
        if files == self._refused:  # said already
            return self._pass(now)
        try:
            material = check_key_files(files, now)
        except MaterialError as fault:
            if self._now is None:
                raise
            self._refused = files
            return KeyringUpdate(messages=(f"new keys are not used: {fault}; the old ones stay in force",))
        self._refused = None
        number = 1
        if self._now is not None:
            number = self._now.number + 1
            self._former = self._now.material.files.roots, now + self._overlap
        self._now = Generation(number, material, self._roots(now, material))
        self._warned = None
        lines = (f"keys of generation {number} are in force",) if number > 1 else ()
        return KeyringUpdate(changed=True, messages=lines + self.warnings(now))

    def _pass(self, now: float) -> KeyringUpdate:
        """Time passes: the former roots' overlap may end, and warnings may come due."""
        assert self._now is not None
        roots = self._roots(now, self._now.material)
        if roots != self._now.roots:
            self._now = Generation(self._now.number, self._now.material, roots)
            line = "roots of the former generation are no longer trusted"
            return KeyringUpdate(changed=True, messages=(line, *self.warnings(now)))
        return KeyringUpdate(messages=self.warnings(now))

    def _roots(self, now: float, material: KeyMaterial) -> bytes:
        if self._former is not None and now >= self._former[1]:
            self._former = None
        former = self._former[0] if self._former is not None else b""
        roots = material.files.roots
        return roots if former in (b"", roots) else roots + b"\n" + former

    def warnings(self, now: float) -> tuple[str, ...]:
        """What ends within 30, 7 and 1 days: once for each."""
        if self._now is None:
            return ()
        end, what = self._now.material.first_expiration
        days = (end - now) / DAY_MS
        due = next((d for d in WARNING_DAYS if days <= d), None)
        if due is None or self._warned is not None and self._warned <= due:
            return ()
        self._warned = due
        return (f"{what} ends in {max(0.0, days):.1f} days",)
