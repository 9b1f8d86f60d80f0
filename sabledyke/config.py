"""What a scheduler is configured with on the platform: its environment, and the JSON file named there."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import orjson

from sabledyke.errors import ConfigError as ConfigError
from sabledyke.policy.settings import Settings
from sabledyke.protocol.discovery import EndpointListing, ListError, parse_address, read_listing
from sabledyke.settings import SettingsError, build, flatten

ENVIRONMENT_PREFIX = "GW_"
IDENTITY_KEYS = ("name", "listen", "discovery")
"""Keys that are texts in the file, and that variables of the environment win over."""

DEFAULT_SOCKETS = 1024
MIN_SOCKETS = 64
DEFAULT_MEMORY_MB = 64
MAX_MEMORY_MB = 1 << 20
BYTES_PER_MB = 1024 * 1024
OPEN_REQUEST_SOCKET_DIVISOR = 3
"""Clients with open requests hold at most one in so many of the descriptors."""


@dataclass(slots=True, frozen=True)
class Config:
    """Everything that ``serve`` needs.

    Attributes:
        name: The name of this scheduler.
        listen: Where clients connect.
        discovery: Where the endpoint list is requested.
        seed: Seed of all random choices.
        sockets: How many descriptors may be open.
        memory_bytes: How much memory may be used.
        known: An endpoint list to begin with.
        settings: The platform's settings.
        console: Where operators call, if anywhere.
        identity_in_file: The ``IDENTITY_KEYS`` as the file has them.
        identity_in_force: The same as they are in force.
    """

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int
    memory_bytes: int
    known: EndpointListing | None
    settings: Settings
    console: tuple[str, int] | None = None
    identity_in_file: Mapping[str, object] = field(default_factory=dict)
    identity_in_force: Mapping[str, str] = field(default_factory=dict)


def load(environ: Mapping[str, str], before: Config | None = None) -> Config:
    """Load the configuration that the environment points to; its variables win over the file.

    Args:
        environ: The environment.
        before: The configuration in force, where it is read again. What changed in the file since then wins:
            the environment cannot change under a running program, and would hide a new address for good.

    Raises:
        ConfigError: It cannot be used; one line that names the file and the key.
    """
    path = environ.get(f"{ENVIRONMENT_PREFIX}CONFIG")
    if not path:
        raise ConfigError(f"{ENVIRONMENT_PREFIX}CONFIG is not set: it names the JSON file with the settings")
    data = _read_object(path)
    try:
        return _config(data, environ, before)
    except (SettingsError, ListError, ConfigError, ValueError, OverflowError) as error:
        raise ConfigError(f"{path}: {error}") from None


def _read_object(path: str) -> dict[str, Any]:
    try:
        data = orjson.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"{path}: no JSON: {error}") from None
    if not isinstance(data, dict):
        raise ConfigError(f"{path}: not an object")
    return data


def _config(data: dict[str, Any], environ: Mapping[str, str], before: Config | None) -> Config:
    if not isinstance(data.get("settings"), dict):
        raise ConfigError("settings are missing from the file")
    seed = _seed(data)
    settings = build(dict(flatten(data["settings"])))
    limits = data.get("limits") or {}
    sockets = _sockets(limits)
    # Guards against settings that count on more open requests than the descriptors allow.
    open_requests = min(settings.max_open_requests, sockets / OPEN_REQUEST_SOCKET_DIVISOR)
    settings = replace(settings, max_open_requests=open_requests)
    identity = {key: _identity(key, data, environ, before) for key in IDENTITY_KEYS}
    # The console's listener stays where it was opened: a reload that moved it would leave operators nowhere.
    console = before.console if before else _console(data, environ)
    memory_bytes = _memory_bytes(limits)
    known = data.get("known")
    return Config(
        name=identity["name"],
        listen=parse_address(identity["listen"]),
        discovery=parse_address(identity["discovery"]),
        seed=seed,
        sockets=sockets,
        memory_bytes=memory_bytes,
        known=None if known is None else read_listing(known, settings, cached=True),
        settings=settings,
        console=console,
        identity_in_file={key: data.get(key) for key in IDENTITY_KEYS},
        identity_in_force=identity,
    )


def _seed(data: dict[str, Any]) -> int:
    try:
        return int(str(data.get("seed", "0")), 16)
    except ValueError:
        raise ConfigError(f"seed must be hex digits, not {data['seed']!r}") from None


def _sockets(limits: object) -> int:
    sockets = limits.get("sockets", DEFAULT_SOCKETS) if isinstance(limits, dict) else None
    if not isinstance(sockets, int) or sockets < MIN_SOCKETS:
        raise ConfigError(f"limits.sockets must be a whole number from {MIN_SOCKETS} up, not {sockets!r}")
    return sockets


def _memory_bytes(limits: dict[str, Any]) -> int:
    memory_mb = limits.get("memory_mb", DEFAULT_MEMORY_MB)
    if not isinstance(memory_mb, int | float) or not 1 <= memory_mb < MAX_MEMORY_MB:
        raise ConfigError(f"limits.memory_mb must be a number from 1 up, not {memory_mb!r}")
    return int(memory_mb * BYTES_PER_MB)


def _identity(key: str, data: dict[str, Any], environ: Mapping[str, str], before: Config | None) -> str:
    """Return what holds for one of the ``IDENTITY_KEYS``."""
    variable = ENVIRONMENT_PREFIX + key.upper()
    text = data.get(key)
    if before is None:
        text = environ.get(variable) or text
    elif text == before.identity_in_file[key]:
        text = before.identity_in_force[key]
    if not isinstance(text, str) or not text:
        raise ConfigError(f"{key} is missing: set {variable} or say it in the file")
    return text


def _console(data: dict[str, Any], environ: Mapping[str, str]) -> tuple[str, int] | None:
    """Return the console's address, where there is to be one."""
    address = environ.get(f"{ENVIRONMENT_PREFIX}CONSOLE") or data.get("console")
    if address is None:
        return None
    if not isinstance(address, str) or not address:
        raise ConfigError(f"console must be an address as host:port, not {address!r}")
    return parse_address(address)
