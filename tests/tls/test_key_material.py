"""Checks of key files."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from sabledyke.__main__ import main
from sabledyke.tls.key_material import KeyFiles, MaterialError, check_key_files
from tests.tls.support import CHAIN, KEY, NOW, OTHER, ROOT


@pytest.mark.parametrize(
    ("files", "says"),
    [
        (KeyFiles(), "no trusted roots"),
        (KeyFiles(roots=b"nonsense"), "no certificate in PEM"),
        (KeyFiles(CHAIN, b"", ROOT.root), "needs its key"),
        (KeyFiles(CHAIN, KEY, ROOT.root, key_mode=0o644), "its owner alone"),
        (KeyFiles(CHAIN, OTHER.issue("x")[1], ROOT.root), "does not belong"),
        (KeyFiles(CHAIN, KEY, OTHER.root), "no trusted root has signed"),
        (KeyFiles(CHAIN, b"junk", ROOT.root), "the key cannot"),
        (KeyFiles(*ROOT.issue("x", days=-0.5), ROOT.root), "has expired"),
        (KeyFiles(*ROOT.issue("x", begin=1), ROOT.root), "does not hold yet"),
        (KeyFiles(CHAIN + OTHER.issue("y")[0], KEY, ROOT.root), "chain breaks"),
        (KeyFiles(roots=ROOT.root, revocation_lists=b"x"), "revocation lists"),
        (KeyFiles(roots=ROOT.root, revocation_lists=ROOT.revoke(days=-0.5)), "out of date"),
    ],
)
def test_keys_that_do_not_fit_are_rejected_in_one_line(files: KeyFiles, says: str) -> None:
    with pytest.raises(MaterialError, match=says) as raised:
        check_key_files(files, NOW)
    assert "\n" not in str(raised.value)
    assert "PRIVATE" not in str(raised.value)


@contextmanager
def operator_file(tmp_path: Path, chain: bytes, key: bytes, mode: int = 0o600) -> Iterator[str]:
    for name, data in (("chain", chain), ("key", key), ("roots", ROOT.root)):
        (tmp_path / name).write_bytes(data)
        (tmp_path / name).chmod(mode)
    file = tmp_path / "operator.toml"
    lines = [f'{name} = "{tmp_path / name}"' for name in ("chain", "key", "roots")]
    file.write_text("[tls]\n" + "\n".join(lines) + "\n")
    yield str(file)


def test_the_command_reports_what_keys_are_good_for(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    with operator_file(tmp_path, CHAIN, KEY) as file:
        assert main(["tls", "check", file]) == 0
        assert "for box-0" in capsys.readouterr().out
    with operator_file(tmp_path, *ROOT.issue("x", days=5)) as file:
        assert main(["tls", "check", file]) == 1
    with operator_file(tmp_path, CHAIN, KEY, 0o640) as file:
        assert main(["tls", "check", file]) == 2
        assert "its owner alone" in capsys.readouterr().err
    assert main(["tls", "check", str(tmp_path / "none")]) == 2
