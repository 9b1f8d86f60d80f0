"""Files that a plan has a member write: settings in the place of others, and which version to start next.

Beside the file that ``GW_CONFIG`` names stand those that a plan may name, each with its label behind a dot:
``config.json.8``. Told: the file, a label, and how to have it read; knows no board and no plan. What was in
force is put back where the new one is not taken.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

from sabledyke.errors import WantedVersionError


def take_on(path: str, label: str, reload: Callable[[], str]) -> str:
    """Put the file of this label in force; "" where it is, else why not, in one line. Done twice it changes
    nothing.
    """
    if not path or "/" in label:
        return "no file of settings is named" if not path else f"{label} is no label"
    here, new = Path(path), Path(f"{path}.{label}")
    try:
        before = here.read_bytes()
        put(here, new.read_bytes())
        why = reload()
        if why:
            put(here, before)
        return why
    except OSError as fault:
        return f"{fault.filename}: {fault.strerror}"


def put(path: Path, data: bytes) -> None:
    """Whole or not at all, also where the machine dies."""
    os.replace(prepare(path, data), path)


def prepare(path: Path, data: bytes) -> Path:
    """All but the last step: that there is room for it, and a right to write it, is known from here on."""
    work = path.with_name(f"{path.name}.working")
    with open(work, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    return work


def wanted(path: Path, version: str, *, ready: bool = False) -> None:
    """Have the file say which version to start next; ``ready``: see that it could. A WantsFault where not."""
    try:
        (prepare if ready else put)(path, f"{version}\n".encode())
    except OSError as fault:
        raise WantedVersionError(f"{fault.filename}: {fault.strerror}") from None
