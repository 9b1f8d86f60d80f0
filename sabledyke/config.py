"""The configuration of a scheduler on the platform: environment variables and the JSON file they name."""

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
from sabledyke.settings_keys import (
    NULLABLE_FILE_KEYS,
    REQUIRED_FILE_KEYS,
    RETAINED_FILE_KEYS,
    RETAINED_KEYS,
)

ENVIRONMENT_PREFIX = "GW_"
IDENTITY_KEYS = ("name", "listen", "discovery")
"""Keys of the file that environment variables override; their values are strings."""

MIN_SOCKETS = 64
MAX_MEMORY_MB = 1 << 20
BYTES_PER_MB = 1024 * 1024
OPEN_REQUEST_SOCKET_DIVISOR = 3
"""Open requests are limited to the number of file descriptors divided by this."""


@dataclass(slots=True, frozen=True)
class Config:
    """The configuration that ``serve`` runs with.

    Attributes:
        name: The name of this scheduler.
        listen: Host and port that clients connect to.
        discovery: Host and port of discovery, which serves the endpoint list.
        seed: Seed of all random choices.
        sockets: Limit of open file descriptors.
        memory_bytes: Limit of memory use, in bytes.
        known: Endpoint list to start with; None without one.
        settings: The platform's settings.
        console: Host and port of the operators' console; None without one.
        identity_in_file: Values of ``IDENTITY_KEYS`` in the file.
        identity_in_force: Values of ``IDENTITY_KEYS`` in force.
        retained_keys: Keys of the file that a reload must find again, although a first file may lack them.
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
    retained_keys: frozenset[str] = frozenset()


def load(environ: Mapping[str, str], current: Config | None = None) -> Config:
    """Load the configuration that the environment names; environment variables override the file.

    Args:
        environ: The environment variables.
        current: The configuration in force, in a reload. A value that has changed in the file since then
            overrides the environment, which cannot change in a running process and would otherwise hide a new
            address permanently.

    Raises:
        ConfigError: The configuration cannot be used; one line that names the file and the key.
    """
    path = environ.get(f"{ENVIRONMENT_PREFIX}CONFIG")
    if not path:
        raise ConfigError(f"{ENVIRONMENT_PREFIX}CONFIG is not set: it names the JSON file with the settings")
    data = _read_object(path)
    try:
        return _config(data, environ, current)
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


def _config(data: dict[str, Any], environ: Mapping[str, str], current: Config | None) -> Config:
    _require_file_keys(data)
    seed = _seed(data)
    values = dict(flatten(data["settings"]))
    settings = build(values)
    retained_keys = _retained_keys(data, values)
    if current is not None:
        _require_retained(current.retained_keys - retained_keys)
    limits = data["limits"]
    sockets = _sockets(limits)
    # Limits open requests to what the file descriptors allow, whatever the settings ask for.
    open_requests = min(settings.max_open_requests, sockets / OPEN_REQUEST_SOCKET_DIVISOR)
    settings = replace(settings, max_open_requests=open_requests)
    identity = {key: _identity(key, data, environ, current) for key in IDENTITY_KEYS}
    # A reload keeps the console's address: operators would lose access if its listener moved.
    console = current.console if current else _console(data, environ)
    memory_bytes = _memory_bytes(limits)
    known = data["known"]
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
        retained_keys=retained_keys,
    )


def _require_file_keys(data: dict[str, Any]) -> None:
    """Raise a ConfigError if a key is missing that every configuration file has."""
    if not isinstance(data.get("settings"), dict):
        raise ConfigError("settings are missing from the file")
    for path in REQUIRED_FILE_KEYS:
        value: object = data
        for key in path.split("."):
            value = value.get(key) if isinstance(value, dict) else None
        if value is None:
            raise ConfigError(f"{path} is missing from the file")
    for key in NULLABLE_FILE_KEYS:
        if key not in data:
            raise ConfigError(f"{key} is missing from the file")


def _retained_keys(data: dict[str, Any], settings_values: Mapping[str, str]) -> frozenset[str]:
    """Return the keys in the file that a reload must find again."""
    of_file = {key for key in RETAINED_FILE_KEYS if data.get(key) is not None}
    of_settings = {f"settings.{key}" for key in RETAINED_KEYS if key in settings_values}
    return frozenset(of_file | of_settings)


def _require_retained(missing: frozenset[str]) -> None:
    """Raise a ConfigError if a new file lacks keys that the file in force has."""
    if missing:
        raise ConfigError(f"{min(missing)} is missing from the file, but the file in force has it")


def _seed(data: dict[str, Any]) -> int:
    try:
        return int(str(data["seed"]), 16)
    except ValueError:
        raise ConfigError(f"seed must be hex digits, not {data['seed']!r}") from None


def _sockets(limits: dict[str, Any]) -> int:
    sockets = limits["sockets"]
    if not isinstance(sockets, int) or sockets < MIN_SOCKETS:
        raise ConfigError(f"limits.sockets must be a whole number from {MIN_SOCKETS} up, not {sockets!r}")
    return sockets


def _memory_bytes(limits: dict[str, Any]) -> int:
    memory_mb = limits["memory_mb"]
    if not isinstance(memory_mb, int | float) or not 1 <= memory_mb < MAX_MEMORY_MB:
        raise ConfigError(f"limits.memory_mb must be a number from 1 up, not {memory_mb!r}")
    return int(memory_mb * BYTES_PER_MB)


def _identity(key: str, data: dict[str, Any], environ: Mapping[str, str], current: Config | None) -> str:
    """Return the value in force of one of the ``IDENTITY_KEYS``."""
    variable = ENVIRONMENT_PREFIX + key.upper()
    text = data.get(key)
    if current is None:
        text = environ.get(variable) or text
    elif text == current.identity_in_file[key]:
        text = current.identity_in_force[key]
    if not isinstance(text, str) or not text:
        raise ConfigError(f"{key} is missing: set {variable} or say it in the file")
    return text


def _console(data: dict[str, Any], environ: Mapping[str, str]) -> tuple[str, int] | None:
    """Return the console's address, or None if none is configured."""
    address = environ.get(f"{ENVIRONMENT_PREFIX}CONSOLE") or data.get("console")
    if address is None:
        return None
    if not isinstance(address, str) or not address:
        raise ConfigError(f"console must be an address as host:port, not {address!r}")
    return parse_address(address)
