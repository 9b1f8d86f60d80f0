"""Configuration, the operator's file, the log and the command line."""

from __future__ import annotations

import importlib
import os
import pkgutil
import socket
import subprocess
import sys
import tomllib
import urllib.request
from dataclasses import replace
from pathlib import Path
from typing import Any

import orjson
import pytest

import sabledyke
from sabledyke import config, errors, operator_config, wire
from sabledyke.__main__ import main
from sabledyke.log import Limiter
from sabledyke.protocol.discovery import ListError
from tests.helpers import FREE, READ, SETTINGS, WRITE
from tests.test_wire import CONF

ROOT = Path(__file__).parent.parent
EXAMPLE = (ROOT / "deploy" / "operator.example.toml").read_text()
SITE = replace(
    SETTINGS,
    classes=(replace(READ, name="lettura"), replace(WRITE, name="scontrino")),
    plans=(replace(FREE, name="base"), replace(FREE, name="cassa-prima")),
)


def nested() -> dict[str, Any]:
    """The wire tests' settings as the platform's JSON has them."""
    out: dict[str, Any] = {}
    for line in CONF.splitlines():
        path, value = line.split("=")
        *parents, last = path.split(".")
        at = out
        for name in parents:
            at = at.setdefault(name, {})
        at[last] = value
    for name in ("profiles", "grades"):
        out[name] = [out[name]["0"]]
    out["zones"], out["profiles"][0]["keep_order"] = ["x", "y"], True
    out["family_info"]["changes_data"] = [True]
    out["ceilings"]["try_limit"] = 2
    return out


def test_a_plain_start_loads_nothing_that_processes_share() -> None:
    """On the platform schedulers share nothing, and a start must be quick."""
    code = "import sys, sabledyke.__main__, sabledyke.application.server; print(*sys.modules)"
    said = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True, cwd=ROOT)
    mine = [name for name in said.stdout.split() if name.startswith("sabledyke.")]
    off = (
        "compacted_log rollout placement quota_sharing lease testbed store tls cli "
        "operator_config structured_log toml_tables"
    ).split()
    present = {module.name for module in pkgutil.iter_modules(sabledyke.__path__)}
    assert present.issuperset(off), "a renamed package would make this check empty"
    assert "sabledyke.shutdown.graceful_shutdown" in mine
    assert not [name for name in mine if name.split(".")[1] in off] and "msgspec" not in said.stdout.split()


def test_the_distribution_holds_every_package() -> None:
    listed = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["setuptools"]["packages"]
    present = [
        ".".join(path.parent.relative_to(ROOT).parts) for path in (ROOT / "sabledyke").rglob("__init__.py")
    ]
    assert sorted(listed) == sorted(present)


def test_every_error_type_has_a_code_of_its_own_and_a_place_on_the_on_call_page() -> None:
    for module in pkgutil.walk_packages(sabledyke.__path__, "sabledyke."):
        if module.name != "sabledyke.__main__":
            importlib.import_module(module.name)
    kinds = list(errors.error_types())
    codes = [kind.code for kind in kinds]
    assert len(set(codes)) == len(codes) > 20
    page = (ROOT / "docs" / "ONCALL.md").read_text()
    for kind in kinds[1:]:
        assert f"| `{kind.code}` | {kind.remedy} |" in page, kind
        made = Exception.__new__(kind)
        made.args = ("what happened",)
        assert made.line == f"what happened ({kind.code}: {kind.remedy})" and "\n" not in made.line
        assert made.fields == {"code": kind.code, "what": "what happened", "remedy": kind.remedy}


def setup(tmp_path: Path, **changes: Any) -> dict[str, str]:
    known = {"seq": 41, "whole": True, "hosts": []}
    data = {
        "name": "n3",
        "listen": "127.0.0.1:8080",
        "discovery": "127.0.0.1:8500",
        "seed": "8c1f",
        "limits": {"sockets": 1024},
        "known": known,
        "settings": nested(),
    } | changes
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps(data))
    return {"GW_CONFIG": str(path), "GW_LISTEN": "127.0.0.1:9090"}


def test_the_json_and_the_wire_build_the_same_settings(tmp_path: Path) -> None:
    got = config.load(setup(tmp_path))
    assert got.settings == replace(
        wire.read_settings(CONF), max_open_requests=1024 / 3
    )  # what clients may hold
    assert (got.listen, got.discovery) == (("127.0.0.1", 9090), ("127.0.0.1", 8500))  # the environment wins
    assert got.seed == 0x8C1F and got.known is not None and got.known.update.version == 41


def test_the_console_is_where_the_environment_or_the_file_says(tmp_path: Path) -> None:
    assert config.load(setup(tmp_path)).console is None
    assert config.load(setup(tmp_path, console="127.0.0.1:7000")).console == ("127.0.0.1", 7000)
    got = config.load(setup(tmp_path, console="127.0.0.1:7000") | {"GW_CONSOLE": "127.0.0.1:7100"})
    assert got.console == ("127.0.0.1", 7100)
    setup(tmp_path, console="127.0.0.1:7200")
    assert config.load(setup(tmp_path), got).console == ("127.0.0.1", 7100)  # a reload does not move it


def test_read_again_what_changed_in_the_file_wins(tmp_path: Path) -> None:
    environ = setup(tmp_path) | {"GW_DISCOVERY": "127.0.0.1:8600"}
    got = config.load(environ)
    for port in (8600, 8700, 8700):  # unchanged the environment's, then the file's new one, also for good
        setup(tmp_path, discovery=f"127.0.0.1:{8500 if port == 8600 else port}")
        got = config.load(environ, got)
        assert (got.discovery[1], got.listen[1]) == (port, 9090)


@pytest.mark.parametrize(
    ("changes", "says"),
    [
        ({"listen": 5, "discovery": None}, "discovery"),
        ({"settings": {}}, "setting me"),
        ({"seed": "x"}, "seed"),
        ({"limits": {"sockets": 3}}, "limits.sockets"),
        ({"known": []}, "list"),
        ({"settings": None}, "settings"),
        ({"settings": nested() | {"siblings": 0}}, "hosts"),
        ({"discovery": "nowhere"}, "nowhere"),
        ({"console": 8}, "console"),
        ({"console": "no-port"}, "no-port"),
    ],
)
def test_a_bad_configuration_is_one_plain_line(tmp_path: Path, changes: dict[str, Any], says: str) -> None:
    done = subprocess.run(
        [sys.executable, "-O", "-m", "sabledyke"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        env={**os.environ, **setup(tmp_path, **changes)},
    )
    assert done.returncode == 2 and done.stderr.count("\n") == 1 and not done.stdout
    assert done.stderr.startswith("sabledyke: ") and says in done.stderr


def test_the_commands(tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: Any) -> None:
    assert main(["version"]) == 0 and capsys.readouterr().out.startswith("sabledyke 0")
    monkeypatch.delenv("GW_CONFIG", raising=False)
    assert main(["check-config"]) == 2 and "GW_CONFIG" in capsys.readouterr().err
    for name, value in setup(tmp_path).items():
        monkeypatch.setenv(name, value)
    assert main(["check-config"]) == 0 and "n3: listens at 127.0.0.1:9090" in capsys.readouterr().out
    with pytest.raises(SystemExit):
        main(["serve", "--nonsense"])


def test_the_example_file_is_valid() -> None:
    got = operator_config.read(EXAMPLE, SITE)
    assert got.store
    assert got.nvme.listen == ("127.0.0.1", 4420)
    assert got.nvme.nodes[0].node == b"s-00000001"
    volume = got.nvme.volumes[0]
    assert volume.plan_index == 1
    assert volume.write_class == 1
    assert volume.stripe_shards == (0, 3)


@pytest.mark.parametrize(
    ("old", "new", "says"),
    [
        ('"cassa-prima"', '"gold"', "grade"),
        ("namespace = 1", "namespace = 0", "namespace"),
        ("[0, 3]", "[]", "stripe"),
        ("unit_bytes", "unit_byte", "unit_byte"),
        ("5000", "-1", "read_deadline_ms"),
        ('listen = "127.0.0.1:4420"', 'listen = "x"', "address"),
        ("blocks = 2097152", 'blocks = "9"', "blocks"),
        ("[store]", "[stores]", "stores"),
        ('nqn = "nqn.2026-12.example:magazzino-lodi"', "", "nqn"),
    ],
)
def test_a_bad_operators_file_says_where(old: str, new: str, says: str) -> None:
    assert EXAMPLE.count(old)
    with pytest.raises((operator_config.OperatorError, ListError), match=says):
        operator_config.read(EXAMPLE.replace(old, new, 1), SITE)


def test_the_log_keeps_back_what_comes_too_often() -> None:
    clock = [0.0]
    limiter = Limiter(lambda: clock[0], burst=2, window=10)
    said = [limiter.lines("a", str(i)) for i in range(5)] + [limiter.lines("b", "x")]
    assert said == [["0"], ["1"], [], [], [], ["x"]]
    clock[0] = 10.0
    assert limiter.lines("a", "5") == ["3 more like the last left out", "5"]


def test_the_program_starts_serves_and_ends_on_sigterm(tmp_path: Path) -> None:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        port = free.getsockname()[1]
    environment = {**os.environ, **setup(tmp_path), "GW_LISTEN": f"127.0.0.1:{port}"}
    program = subprocess.Popen(
        [sys.executable, "-O", "-m", "sabledyke"],
        cwd=ROOT,
        env=environment,
        text=True,
        stderr=subprocess.PIPE,
    )
    assert program.stderr is not None
    assert f"n3 serves at 127.0.0.1:{port}" in program.stderr.readline()
    with urllib.request.urlopen(f"http://127.0.0.1:{port}/_health", timeout=10) as answer:
        assert answer.status == 200
    program.terminate()
    _, said = program.communicate(timeout=20)
    assert program.returncode == 0 and said.endswith("invariants broken: none\n")


def _cut(tmp_path: Path, text: bytes) -> None:
    (tmp_path / "config.json").write_bytes(text)


def _profile(**changes: Any) -> dict[str, Any]:
    settings = nested()
    settings["profiles"][0] |= changes
    return settings


@pytest.mark.parametrize(
    "spoil",
    [
        lambda p: _cut(p, b""),
        lambda p: _cut(p, (p / "config.json").read_bytes()[:-40]),
        lambda p: setup(p, settings={k: v for k, v in nested().items() if k != "ceilings"}),
        lambda p: setup(p, settings=_profile(hard_limit=0)),
        lambda p: setup(p, settings=_profile(hard_limit=-5)),
        lambda p: setup(p, settings=_profile(hard_limit="soon")),
        lambda p: setup(p, settings=nested() | {"ceilings": nested()["ceilings"] | {"try_limit": 0}}),
        lambda p: setup(p, settings=nested() | {"ceilings": nested()["ceilings"] | {"try_limit": "x"}}),
    ],
)
def test_a_file_read_again_is_turned_down_whole(tmp_path: Path, spoil: Any) -> None:
    environ = setup(tmp_path)
    before = config.load(environ)
    spoil(tmp_path)
    with pytest.raises(config.ConfigError) as fault:
        config.load(environ, before)
    assert "\n" not in str(fault.value) and str(fault.value).startswith(str(tmp_path))
