"""The platform's configuration file for tests that run the complete program."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import orjson

from tests.test_wire import SETTINGS_TEXT

ROOT = Path(__file__).parent.parent.parent
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
        "limits": {"sockets": 1024},
        "known": NO_NODES,
        "settings": platform_settings(),
    }
    path = folder / "config.json"
    path.write_bytes(orjson.dumps(config | changes))
    return {"GW_CONFIG": str(path), "GW_LISTEN": "127.0.0.1:9090"}
