"""Files that a member writes under a plan: its settings, and the version to start next.

The settings that a plan may name are files beside the settings file that ``GW_CONFIG`` names, with their
label after a dot: ``config.json.8``.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

from sabledyke.errors import WantedVersionError

RETIRED_VERSION = "gone"
"""Content of the version file of a retired member, which must not be started again."""


def switch_settings(path: str, label: str, reload: Callable[[], str]) -> str:
    """Switch to the settings of a label; restore the former ones if they are not accepted.

    A second switch to the same label changes nothing.

    Args:
        path: The settings file, "" for none.
        label: Suffix of the file that replaces it.
        reload: Reloads the settings file; returns "", or the reason why it was not accepted.

    Returns:
        "" if the settings are in force, else the reason in one line.
    """
    if not path:
        return "no settings file is configured"
    if "/" in label:
        return f"label {label} must not contain a slash"
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
    """File that names the version to start next, for the supervisor of this member."""

    def __init__(self, path: str) -> None:
        """Use the file at this path; "" for no file, in which case no version is announced."""
        self._path = Path(path) if path else None

    def read(self) -> str | None:
        """Return the content of the file, "" before it is first written; None if no file is configured."""
        if self._path is None:
            return None
        return self._path.read_text().strip() if self._path.exists() else ""

    def announce(self, version: str) -> None:
        """Write the version to start next to the file; "" leaves the file as it is.

        Raises:
            WantedVersionError: The file cannot be written.
        """
        self._write(version, write_atomically)

    def check_writable(self, version: str) -> None:
        """Check that ``announce`` could write the file.

        Raises:
            WantedVersionError: The file cannot be written.
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
    """Replace a file atomically, even if the machine fails."""
    os.replace(_prepare(path, data), path)


def _prepare(path: Path, data: bytes) -> Path:
    """Write the data to a temporary file beside the target, which verifies space and write permission."""
    work = path.with_name(f"{path.name}.working")
    with open(work, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    return work
