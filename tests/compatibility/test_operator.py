"""Compatibility of the operator's file and of plan files: every section, key and value."""

from __future__ import annotations

import re
from pathlib import Path

import orjson
import pytest

from tests.compatibility.files import DATA
from tests.compatibility.program import settings

FILES = ["operator_sqlite", "operator_etcd", "plan_release", "plan_drain", "plan_retire"]
LINES = [
    (name, number)
    for name in FILES
    for number, line in enumerate((DATA / f"{name}.toml").read_text().splitlines())
    if line
]
VALUES = orjson.loads((DATA / "operator_values.json").read_bytes())


@pytest.fixture
def folder(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    """Return a folder with the password file of the operator's file; set the other passwords' variables."""
    (tmp_path / "password").write_text("keeper's secret\n")
    (tmp_path / "password").chmod(0o600)
    monkeypatch.setenv("SABLEDYKE_STORE_PASSWORD", "secret of the environment")
    monkeypatch.setenv("BOX_PASSWORD", "boxer's secret")
    return tmp_path


def _read(name: str, lines: list[str], folder: Path) -> list[object]:
    text = "\n".join(lines).replace("FOLDER", str(folder))
    if name.startswith("plan"):
        return settings.read_plan(text)
    return settings.read_operator(text, str(DATA / "config.json"))


def _lines(name: str) -> list[str]:
    return (DATA / f"{name}.toml").read_text().splitlines()


@pytest.mark.parametrize("name", FILES)
def test_every_stored_value_is_read(name: str, folder: Path) -> None:
    assert _read(name, _lines(name), folder) == VALUES[name]


@pytest.mark.parametrize(("name", "number"), LINES)
def test_a_misspelt_name_is_rejected_with_a_message_of_one_line(name: str, number: int, folder: Path) -> None:
    lines = _lines(name)
    lines[number] = re.sub(r"\w+(?=\]| =)", r"\g<0>_x", lines[number], count=1)
    with pytest.raises(settings.OperatorError, match=r"\A.*_x.*\Z"):
        _read(name, lines, folder)


@pytest.mark.parametrize(("name", "number"), [(n, i) for n, i in LINES if not _lines(n)[i].startswith("[")])
def test_each_key_has_an_effect(name: str, number: int, folder: Path) -> None:
    lines = _lines(name)
    del lines[number]
    result: object = None
    rejection: Exception | None = None
    try:
        result = _read(name, lines, folder)
    except settings.OperatorError as error:
        rejection = error
    if rejection is not None:
        assert "\n" not in str(rejection)
    else:
        assert result != VALUES[name]


def test_the_stored_files_contain_every_section_and_key() -> None:
    found = {"file": set[str](), "plan": set[str]()}
    for name in FILES:
        kind, path = ("plan" if name.startswith("plan") else "file"), ""
        for line in _lines(name):
            if line.startswith("["):
                path = line.strip("[]") + "."
                found[kind].add(path.strip("."))
            elif line:
                found[kind].add(path + line.partition(" =")[0])
    assert found["file"] == settings.operator_keys()
    assert found["plan"] == settings.plan_keys()
