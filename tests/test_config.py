"""Loading of the configuration from the platform's file and the environment, at the start and at a reload."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from sabledyke import config, wire
from tests.support.platform_config import platform_settings, write_config
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
    for changes in ({"console": "127.0.0.1:7200"}, {}):
        reloaded = config.load(write_config(tmp_path, **changes), loaded)
        assert reloaded.console == ("127.0.0.1", 7100)  # unchanged by a reload


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
