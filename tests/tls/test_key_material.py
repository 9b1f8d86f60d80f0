"""Tests of the validation of key files, and of ``sabledyke tls check``."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from sabledyke.__main__ import main
from sabledyke.tls.key_material import KeyFiles, MaterialError, check_key_files
from tests.tls.support import CHAIN, KEY, NOW_MS, OTHER_ROOT, ROOT


@pytest.mark.parametrize(
    ("files", "message"),
    [
        (KeyFiles(), "no trusted roots"),
        (KeyFiles(roots=b"nonsense"), "must contain valid certificates in PEM"),
        (KeyFiles(CHAIN, b"", ROOT.root), "chain and key must be set together"),
        (KeyFiles(CHAIN, KEY, ROOT.root, key_mode=0o644), "its owner alone"),
        (KeyFiles(CHAIN, OTHER_ROOT.issue("x")[1], ROOT.root), "does not belong"),
        (KeyFiles(CHAIN, KEY, OTHER_ROOT.root), "no trusted root has signed"),
        (KeyFiles(CHAIN, b"junk", ROOT.root), "the key cannot"),
        (KeyFiles(*ROOT.issue("x", days=-0.5), ROOT.root), "has expired"),
        (KeyFiles(*ROOT.issue("x", begin=1), ROOT.root), "is not valid yet"),
        (KeyFiles(CHAIN + OTHER_ROOT.issue("y")[0], KEY, ROOT.root), "chain is broken"),
        (KeyFiles(roots=ROOT.root, revocation_lists=b"x"), "revocation lists"),
        (
            KeyFiles(roots=ROOT.root, revocation_lists=ROOT.revoke(days=-0.5)),
            "revocation list of .* has expired",
        ),
    ],
)
def test_invalid_key_files_are_rejected_with_a_one_line_error_without_the_key(
    files: KeyFiles, message: str
) -> None:
    with pytest.raises(MaterialError, match=message) as raised:
        check_key_files(files, NOW_MS)
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


def test_tls_check_reports_names_expirations_and_errors_of_the_keys(
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
