"""What a scheduler is told: the platform's environment and JSON, and an operator's file."""

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

PREFIX = "GW_"
CLIENTS = 3  # clients hold one part in so many of the descriptors for requests


@dataclass(slots=True, frozen=True)
class Config:
    """Everything ``serve`` needs."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int
    memory: int  # bytes
    known: EndpointListing | None
    settings: Settings
    console: tuple[str, int] | None = None  # where operators call, if anywhere
    file: Mapping[str, object] = field(default_factory=dict)  # name and addresses, as the file has them ...
    words: Mapping[str, str] = field(default_factory=dict)  # ... and as they are in force


def load(environ: Mapping[str, str], before: Config | None = None) -> Config:
    """The configuration the environment points to; its variables win over the file.

    Read again with ``before`` in force, what changed in the file since then wins: the environment cannot
    change under a running program, and would hide a new address for good.
    """
    path = environ.get(PREFIX + "CONFIG")
    if not path:
        raise ConfigError(f"{PREFIX}CONFIG is not set: it names the JSON file with the settings")
    try:
        data = orjson.loads(Path(path).read_bytes())
    except OSError as fault:
        raise ConfigError(f"{path}: {fault.strerror}") from None
    except orjson.JSONDecodeError as fault:
        raise ConfigError(f"{path}: no JSON: {fault}") from None
    if not isinstance(data, dict):
        raise ConfigError(f"{path}: not an object")
    try:
        return _config(data, environ, before)
    except (SettingsError, ListError, ConfigError, ValueError, OverflowError) as fault:
        raise ConfigError(f"{path}: {fault}") from None


def _config(data: dict[str, Any], environ: Mapping[str, str], before: Config | None) -> Config:
    def said(name: str) -> str:
        text = data.get(name)
        if before is None:
            text = environ.get(PREFIX + name.upper()) or text
        elif text == before.file[name]:
            text = before.words[name]
        if not isinstance(text, str) or not text:
            raise ConfigError(f"{name} is missing: set {PREFIX}{name.upper()} or say it in the file")
        return text

    if not isinstance(data.get("settings"), dict):
        raise ConfigError("settings are missing from the file")
    try:
        seed = int(str(data.get("seed", "0")), 16)
    except ValueError:
        raise ConfigError(f"seed must be hex digits, not {data['seed']!r}") from None
    settings = build(dict(flatten(data["settings"])))
    limits, known = data.get("limits") or {}, data.get("known")
    sockets = limits.get("sockets", 1024) if isinstance(limits, dict) else None
    if not isinstance(sockets, int) or sockets < 64:
        raise ConfigError(f"limits.sockets must be a whole number from 64 up, not {sockets!r}")
    # Guards against a module that counts on more open requests than the descriptors allow.
    settings = replace(settings, max_open_requests=min(settings.max_open_requests, sockets / CLIENTS))
    words = {name: said(name) for name in ("name", "listen", "discovery")}
    # The console's listener stays where it was opened: a reload that moved it would leave operators nowhere.
    console = before.console if before else _console(environ.get(PREFIX + "CONSOLE") or data.get("console"))
    memory = limits.get("memory_mb", 64)
    if not isinstance(memory, int | float) or not 1 <= memory < 1 << 20:
        raise ConfigError(f"limits.memory_mb must be a number from 1 up, not {memory!r}")
    return Config(
        name=words["name"],
        listen=parse_address(words["listen"]),
        discovery=parse_address(words["discovery"]),
        seed=seed,
        sockets=sockets,
        memory=int(memory * 1024 * 1024),
        known=None if known is None else read_listing(known, settings, cached=True),
        settings=settings,
        console=console,
        file={name: data.get(name) for name in words},
        words=words,
    )


def _console(said: object) -> tuple[str, int] | None:
    """The console's address, if one is said; a ConfigError where it is not one."""
    if said is None:
        return None
    if not isinstance(said, str) or not said:
        raise ConfigError(f"console must be an address as host:port, not {said!r}")
    return parse_address(said)
