"""Compatibility of the platform's configuration file: every key and the value that is read from it."""

from __future__ import annotations

import copy
import re
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import orjson
import pytest

from tests.compatibility.files import DATA
from tests.compatibility.program import settings

STORED = orjson.loads((DATA / "config.json").read_bytes())
NEXT = {"idempotent": "at_most_once", "deduplicated": "idempotent", "zone": "all", "cell": "all"}
NEXT |= {"ready": "draining", "draining": "ready", "on_request": "push"}
UNREAD = set(  # keys whose values have no effect
    """
    limits.cores known.whole settings.tiers.0 settings.layer settings.period settings.weights settings.family
    settings.ceilings.peers settings.ceilings.max_streams settings.family_info.n_shards
    settings.invariants.ask_every settings.telemetry.how
    """.split()
)
OPTIONAL = set(
    """
    console settings.profiles.*.keep_order settings.invariants.order_settle settings.invariants.look_back
    settings.invariants.spare_attempts settings.invariants.repeat_ratio
    """.split()
)


def _paths(value: Any, path: str = "") -> Iterator[str]:
    """Yield the dotted paths of all scalar values."""
    inner = (
        enumerate(value) if isinstance(value, list) else value.items() if isinstance(value, dict) else None
    )
    if inner is None:
        yield path
        return
    for key, child in inner:
        yield from _paths(child, f"{path}.{key}" if path else str(key))


def _at(data: Any, path: str) -> tuple[Any, Any]:
    """Return the container of the value at a path, and its key there."""
    *parents, last = [int(step) if step.isdigit() else step for step in path.split(".")]
    for parent in parents:
        data = data[parent]
    return data, last


def _changed(value: Any) -> Any:
    if isinstance(value, bool):
        return not value
    if isinstance(value, int | float):
        return value + 1 if isinstance(value, int) else value * 1.5
    return NEXT.get(value) or (value.replace("1", "2", 1) if ":" in value else f"{value}0")


def _read(data: Any, tmp_path: Path, **environ: str) -> list[Any]:
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps(data))
    return settings.read_config({"GW_CONFIG": str(path)} | environ)


def test_every_stored_value_is_read(tmp_path: Path) -> None:
    assert _read(STORED, tmp_path) == orjson.loads((DATA / "config_values.json").read_bytes())


@pytest.mark.parametrize("path", _paths(STORED))
def test_a_changed_value_is_read(path: str, tmp_path: Path) -> None:
    data = copy.deepcopy(STORED)
    holder, key = _at(data, path)
    holder[key] = _changed(holder[key])
    assert (_read(data, tmp_path) == _read(STORED, tmp_path)) == (path in UNREAD)


@pytest.mark.parametrize("path", [p for p in _paths(STORED) if not p.rpartition(".")[2].isdigit()])
def test_a_missing_key_is_rejected_unless_it_is_optional(path: str, tmp_path: Path) -> None:
    data, pattern = copy.deepcopy(STORED), re.sub(r"\.\d+\.", ".*.", path)
    holder, key = _at(data, path)
    stored = holder.pop(key)
    if pattern not in OPTIONAL:
        with pytest.raises(settings.ConfigError, match=r"\A.*\Z"):  # a message of one line
            _read(data, tmp_path)
        return
    is_default = stored is False  # optional flags have the default False
    assert (_read(data, tmp_path) == _read(STORED, tmp_path)) == is_default


@pytest.mark.parametrize(
    ("variable", "value"),
    [
        ("GW_NAME", "n9"),
        ("GW_LISTEN", "10.0.0.9:8089"),
        ("GW_DISCOVERY", "10.2.0.9:8509"),
        ("GW_CONSOLE", "127.0.0.9:9099"),
    ],
)
def test_an_environment_variable_overrides_the_file(variable: str, value: str, tmp_path: Path) -> None:
    effective = _read(STORED, tmp_path, **{variable: value})
    host, _, port = value.partition(":")
    assert host in effective
    assert not port or int(port) in effective
    key = variable.removeprefix("GW_").lower()
    stored = _read({**STORED, key: value}, tmp_path)
    assert len(effective) == len(stored)
    assert sum(a != b for a, b in zip(effective, stored, strict=True)) <= 1
