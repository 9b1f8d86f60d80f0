"""Files that a plan has a member write: its settings, and the version to start next.

Beside the settings file that ``GW_CONFIG`` names stand those that a plan may name, each with its label after
a dot: ``config.json.8``.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

from sabledyke.errors import WantedVersionError

RETIRED_VERSION = "gone"
"""What the version file says of a member that has retired, and is not to be started again."""


def switch_settings(path: str, label: str, reload: Callable[[], str]) -> str:
    """Put the settings of a label in force, and the former ones back where they are not accepted.

    Switching twice to one label changes nothing.

    Args:
        path: The settings file, "" for none.
        label: Suffix of the file to put in its place.
        reload: Has the settings file read; returns "", or why it was not accepted.

    Returns:
        "" where the settings are in force, else the reason in one line.
    """
    if not path:
        return "no file of settings is named"
    if "/" in label:
        return f"{label} is no label"
    settings_file = Path(path)
    try:
        former = settings_file.read_bytes()
        write_atomically(settings_file, Path(f"{path}.{label}").read_bytes())
        reason = reload()
        if reason:
            write_atomically(settings_file, former)
        return reason
    except OSError as fault:
        return f"{fault.filename}: {fault.strerror}"


class VersionFile:
    """The file that says which version to start next, for whoever starts this member."""

    def __init__(self, path: str) -> None:
        """Use the file at this path; "" for none, in which case nothing is announced."""
        self._path = Path(path) if path else None

    def read(self) -> str | None:
        """Return what the file says, "" before it is first written; None where there is no such file."""
        if self._path is None:
            return None
        return self._path.read_text().strip() if self._path.exists() else ""

    def announce(self, version: str) -> None:
        """Have the file say which version is to be started next; "" leaves it as it is.

        Raises:
            WantedVersionError: It cannot be written.
        """
        self._write(version, write_atomically)

    def check_writable(self, version: str) -> None:
        """Check that ``announce`` could write the file.

        Raises:
            WantedVersionError: It could not.
        """
        self._write(version, _prepare)

    def _write(self, version: str, write: Callable[[Path, bytes], object]) -> None:
        if self._path is None or not version:
            return
        try:
            write(self._path, f"{version}\n".encode())
        except OSError as fault:
            raise WantedVersionError(f"{fault.filename}: {fault.strerror}") from None


def write_atomically(path: Path, data: bytes) -> None:
    """Replace a file as a whole or not at all, also where the machine fails."""
    os.replace(_prepare(path, data), path)


def _prepare(path: Path, data: bytes) -> Path:
    """Do all but the last step: from here on it is known that there is space, and permission to write."""
    work = path.with_name(f"{path.name}.working")
    with open(work, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    return work
