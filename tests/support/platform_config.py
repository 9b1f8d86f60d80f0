"""The platform's configuration file for tests that run the complete program."""

from __future__ import annotations

import copy
from collections.abc import Iterator
from pathlib import Path
from typing import Any, TypeAlias

import orjson

from tests.test_wire import SETTINGS_TEXT

ROOT = Path(__file__).parent.parent.parent
KeyPath: TypeAlias = tuple[str | int, ...]
NO_NODES = {"seq": 41, "whole": True, "hosts": []}


def platform_settings() -> dict[str, Any]:
    """Return the settings of the wire tests in the structure of the platform's JSON file."""
    settings: dict[str, Any] = {}
    for line in SETTINGS_TEXT.splitlines():
        path, value = line.split("=")
        *parents, last = path.split(".")
        table = settings
        for name in parents:
            table = table.setdefault(name, {})
        table[last] = value
    for name in ("profiles", "grades"):
        settings[name] = [settings[name]["0"]]
    settings["zones"] = ["x", "y"]
    settings["profiles"][0]["keep_order"] = True
    settings["family_info"]["changes_data"] = [True]
    settings["ceilings"]["try_limit"] = 2
    return settings


def write_config(folder: Path, **changes: Any) -> dict[str, str]:
    """Write a configuration with these keys changed; return the environment variables that point to it."""
    config = {
        "name": "n3",
        "listen": "127.0.0.1:8080",
        "discovery": "127.0.0.1:8500",
        "seed": "8c1f",
        "limits": {"cores": 1, "memory_mb": 64, "sockets": 1024},
        "known": NO_NODES,
        "settings": platform_settings(),
    }
    path = folder / "config.json"
    path.write_bytes(orjson.dumps(config | changes))
    return {"GW_CONFIG": str(path), "GW_LISTEN": "127.0.0.1:9090"}


def example_config() -> dict[str, Any]:
    """Return the example of a complete configuration file."""
    config: dict[str, Any] = orjson.loads((ROOT / "deploy" / "config.example.json").read_bytes())
    return config


def key_paths(value: object, path: KeyPath = ()) -> Iterator[KeyPath]:
    """Yield the path of every key in nested JSON, of tables as well as of the values inside them."""
    items: Iterator[tuple[str | int, object]] = iter(())
    if isinstance(value, dict):
        items = iter(value.items())
    elif isinstance(value, list):
        items = enumerate(value)
    for key, inner in items:
        if isinstance(key, str):
            yield (*path, key)
        yield from key_paths(inner, (*path, key))


def without(config: dict[str, Any], path: KeyPath) -> dict[str, Any]:
    """Return a copy of a configuration that lacks the key at a path."""
    changed = copy.deepcopy(config)
    holder: Any = changed
    for step in path[:-1]:
        holder = holder[step]
    del holder[path[-1]]
    return changed
