"""Loading of the configuration from the platform's file and the environment, at the start and at a reload."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import orjson
import pytest

from sabledyke import config, wire
from tests.support.platform_config import (
    KeyPath,
    example_config,
    key_paths,
    platform_settings,
    without,
    write_config,
)
from tests.test_wire import SETTINGS_TEXT


def test_the_json_and_the_wire_build_the_same_settings(tmp_path: Path) -> None:
    loaded = config.load(write_config(tmp_path))
    max_open_requests = 1024 / 3  # a third of the default number of sockets
    assert loaded.settings == replace(wire.read_settings(SETTINGS_TEXT), max_open_requests=max_open_requests)
    assert loaded.listen == ("127.0.0.1", 9090)  # the environment takes precedence
    assert loaded.discovery == ("127.0.0.1", 8500)
    assert loaded.seed == 0x8C1F
    assert loaded.known is not None
    assert loaded.known.update.version == 41


def test_the_console_address_is_from_the_environment_or_else_the_file(tmp_path: Path) -> None:
    assert config.load(write_config(tmp_path)).console is None
    environ = write_config(tmp_path, console="127.0.0.1:7000")
    assert config.load(environ).console == ("127.0.0.1", 7000)
    loaded = config.load(environ | {"GW_CONSOLE": "127.0.0.1:7100"})
    assert loaded.console == ("127.0.0.1", 7100)
    reloaded = config.load(write_config(tmp_path, console="127.0.0.1:7200"), loaded)
    assert reloaded.console == ("127.0.0.1", 7100)  # unchanged by a reload
    with pytest.raises(config.ConfigError, match="console is missing from the file"):
        config.load(write_config(tmp_path), loaded)  # the file in force has a console


def test_at_a_reload_what_changed_in_the_file_takes_precedence(tmp_path: Path) -> None:
    environ = write_config(tmp_path) | {"GW_DISCOVERY": "127.0.0.1:8600"}
    loaded = config.load(environ)
    # The environment's address is in force until the file changes, and then the file's new address.
    for port_in_file, port in ((8500, 8600), (8700, 8700), (8700, 8700)):
        write_config(tmp_path, discovery=f"127.0.0.1:{port_in_file}")
        loaded = config.load(environ, loaded)
        assert loaded.discovery[1] == port
        assert loaded.listen[1] == 9090


def truncate(folder: Path, size: int) -> None:
    """Truncate the configuration file to a size, or remove so many bytes if the size is negative."""
    path = folder / "config.json"
    path.write_bytes(path.read_bytes()[:size])


def write_class_change(folder: Path, **changes: Any) -> None:
    """Write a configuration with changes to its first request class."""
    settings = platform_settings()
    settings["profiles"][0] |= changes
    write_config(folder, settings=settings)


def write_limit_change(folder: Path, **changes: Any) -> None:
    """Write a configuration with changes to its limits."""
    settings = platform_settings()
    settings["ceilings"] |= changes
    write_config(folder, settings=settings)


def write_without_limits(folder: Path) -> None:
    """Write a configuration without limits."""
    settings = platform_settings()
    del settings["ceilings"]
    write_config(folder, settings=settings)


@pytest.mark.parametrize(
    "break_file",
    [
        lambda folder: truncate(folder, 0),
        lambda folder: truncate(folder, -40),
        write_without_limits,
        lambda folder: write_class_change(folder, hard_limit=0),
        lambda folder: write_class_change(folder, hard_limit=-5),
        lambda folder: write_class_change(folder, hard_limit="soon"),
        lambda folder: write_limit_change(folder, try_limit=0),
        lambda folder: write_limit_change(folder, try_limit="x"),
    ],
)
def test_a_broken_file_is_rejected_completely_at_a_reload(
    tmp_path: Path, break_file: Callable[[Path], None]
) -> None:
    environ = write_config(tmp_path)
    loaded = config.load(environ)
    break_file(tmp_path)
    with pytest.raises(config.ConfigError) as raised:
        config.load(environ, loaded)
    assert "\n" not in str(raised.value)
    assert str(raised.value).startswith(str(tmp_path))


EXAMPLE = example_config()
PROVIDED_BY_ENVIRONMENT = {"name", "listen", "discovery"}
OPTIONAL_KEYS = {
    ("profiles", 0, "keep_order"): True,
    ("profiles", 0, "aim_stretch"): 1.5,
    ("invariants", "order_settle"): 300.0,
    ("invariants", "look_back"): 10_000.0,
    ("invariants", "spare_attempts"): 10.0,
    ("invariants", "repeat_ratio"): 0.1,
    ("prices", "fleet"): 0.1,
}  # WIRE, "Settings": may be absent
ABSENT_FROM_SOME_DEPLOYMENTS = {"console", "settings.goal", "settings.prices", "settings.ceilings.cpu_us"}


def load_example(folder: Path, data: dict[str, Any], current: config.Config | None = None) -> config.Config:
    path = folder / "config.json"
    path.write_bytes(orjson.dumps(data))
    environ = {"GW_NAME": "n0", "GW_LISTEN": "127.0.0.1:9090", "GW_DISCOVERY": "127.0.0.1:8500"}
    return config.load({**environ, "GW_CONFIG": str(path)}, current)


# Review case 2: a file that lacked `group` of a keyed class was applied, and writes ran in a second cell.
@pytest.mark.parametrize("path", list(key_paths(EXAMPLE)), ids=lambda path: ".".join(map(str, path)))
def test_a_file_that_lacks_a_key_is_rejected_at_the_start_and_at_a_reload(
    tmp_path: Path, path: KeyPath
) -> None:
    name = ".".join(map(str, path))
    current = load_example(tmp_path, EXAMPLE)
    with pytest.raises(config.ConfigError, match=r"\A.*missing.*\Z|\A.*lacks.*\Z"):
        load_example(tmp_path, without(EXAMPLE, path), current)
    if name in PROVIDED_BY_ENVIRONMENT or name.startswith(tuple(ABSENT_FROM_SOME_DEPLOYMENTS)):
        load_example(tmp_path, without(EXAMPLE, path))
        return
    with pytest.raises(config.ConfigError, match=r"\A.*missing.*\Z|\A.*lacks.*\Z"):
        load_example(tmp_path, without(EXAMPLE, path))


@pytest.mark.parametrize("path", list(OPTIONAL_KEYS), ids=lambda path: ".".join(map(str, path)))
def test_a_key_that_the_platform_declares_optional_may_be_absent(tmp_path: Path, path: KeyPath) -> None:
    data = example_config()
    holder: Any = data["settings"]
    for step in path[:-1]:
        holder = holder[step]
    holder[path[-1]] = OPTIONAL_KEYS[path]
    current = load_example(tmp_path, data)
    assert load_example(tmp_path, EXAMPLE, current).listen == ("127.0.0.1", 9090)


def test_a_cached_list_must_state_zone_and_kind_of_each_node(tmp_path: Path) -> None:
    node = {"host": "s-1", "dial": "127.0.0.1:9", "site": "room-a", "class": "large", "block": 0}
    node |= {"health": "ready", "share": 1.0, "born_ms": 0}
    data = example_config()
    data["known"]["hosts"] = [node]
    load_example(tmp_path, data)
    for key in node:
        data["known"]["hosts"] = [{name: value for name, value in node.items() if name != key}]
        with pytest.raises(config.ConfigError, match=key):
            load_example(tmp_path, data)
