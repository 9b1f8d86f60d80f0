"""The section ``[store]`` of the operator's file."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest

from sabledyke.errors import OperatorError
from sabledyke.store import section


def read(text: str, environ: dict[str, str] | None = None) -> section.StoreSection | None:
    return section.read(tomllib.loads(text), environ or {})


def test_the_section_accepts_either_backend_and_its_bounds(tmp_path: Path) -> None:
    assert read("") is None
    got = read('path = "a"\nbatch = 7\nstall_ms = 100')
    assert got
    assert got.record
    assert got.record.path == "a"
    assert (got.limits.batch, got.limits.stall_ms) == (7, 100)
    secret = tmp_path / "secret"
    secret.write_text("hush\nmore\n")
    secret.chmod(0o600)
    got = read(f'url = "postgresql://u%40x@h:1/d?sslmode=verify-full"\npassword_file = "{secret}"')
    assert got is not None
    assert got.record is not None
    assert (got.record.user, got.record.port, got.record.password) == ("u@x", 1, "hush")
    assert got.record.tls == "verify-full"
    assert "hush" not in repr(got) + str(got)
    got = read('[[box]]\nhost = "a"\nurl = "postgresql://u@h"', {"SABLEDYKE_STORE_PASSWORD": "p"})
    assert got is not None
    assert got.record is None
    assert got.sql_nodes[0].target.password == "p"


@pytest.mark.parametrize(
    ("text", "expected_text"),
    [
        ('path = "a"\nurl = "postgresql://u@h"', "must not set both"),
        ('url = "mysql://u@h"', "must read"),
        ('url = "postgresql://u:hush@h/d"', "holds a password"),
        ('url = "postgresql://h/d"', "must read"),
        ('url = "postgresql://u@h:x"', "cannot be parsed"),
        ('url = "postgresql://u@h?x=1"', "sslmode"),
        ('path = "a"\nbatch = 0', "batch"),
        ('path = "a"\nstall_ms = -1', "stall_ms"),
        ('pth = "a"', "pth"),
        ('[[box]]\nhost = "a"', "neither"),
        ('path = "a"\nfirst_wait_ms = 300\nlongest_wait_ms = 100', "longer"),
        ('[[box]]\nhost = "a"\npath = "x"\n[[box]]\nhost = "a"\npath = "y"', "same host"),
        ('url = "postgresql://u@h"\npassword_file = "/nowhere/at/all"', "No such file"),
    ],
)
def test_an_invalid_section_is_reported_in_a_single_line(text: str, expected_text: str) -> None:
    with pytest.raises(OperatorError, match=expected_text) as raised:
        read(text)
    assert "\n" not in str(raised.value)
    assert "hush" not in str(raised.value)


def test_a_password_file_that_others_may_read_is_rejected(tmp_path: Path) -> None:
    secret = tmp_path / "secret"
    for content, mode, expected_text in (
        ("hush", 0o640, "its owner alone"),
        ("", 0o600, "holds no password"),
    ):
        secret.write_text(content)
        secret.chmod(mode)
        with pytest.raises(OperatorError, match=expected_text):
            section.read_password(str(secret))
