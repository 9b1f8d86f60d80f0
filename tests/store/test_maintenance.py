"""The operators' commands audit and reconcile, and all of them on a file."""

from __future__ import annotations

import json
import sqlite3
from pathlib import Path

import pytest

from sabledyke.__main__ import main
from sabledyke.store import maintenance
from tests.store.filled_record import change_record, check_filled_record
from tests.store.record_deployment import (
    BACKENDS,
    RecordDeployment,
)


@pytest.mark.parametrize("backend", BACKENDS)
@pytest.mark.parametrize(
    ("sql", "expected_text"),
    [
        ("SELECT 1", "the chain holds"),
        ("UPDATE journal SET units = 2 WHERE seq = 7", "entry 7 was changed"),
        ("UPDATE journal SET outcome = 'failed' WHERE seq = 30", "entry 30 was changed"),
        ("DELETE FROM journal WHERE seq = 7", "entry 7 is missing"),
        ("DELETE FROM journal WHERE seq IN (8, 9)", "entries 8 to 9 are missing"),
        ("DELETE FROM journal WHERE seq > 28", "entries 29 to 30 are missing at the end"),
        ("UPDATE lives SET seq = 29", "entries 30 to 30 were appended by no batch"),
        ("DELETE FROM lives", "never started here"),
    ],
)
def test_an_audit_names_what_was_tampered_with(
    tmp_path: Path, backend: str, sql: str, expected_text: str
) -> None:
    async def check(deployment: RecordDeployment, reported: list[str]) -> None:
        assert await maintenance.audit(deployment.target(), reported.append)
        reported.clear()
        change_record(deployment, sql)
        assert await maintenance.audit(deployment.target(), reported.append) is (sql == "SELECT 1")

    assert expected_text in "\n".join(check_filled_record(tmp_path, backend, check))


@pytest.mark.parametrize("backend", BACKENDS)
def test_reconcile_reports_what_disagrees(tmp_path: Path, backend: str) -> None:
    async def check(deployment: RecordDeployment, reported: list[str]) -> None:
        # Served in the journal: not in doubt.
        change_record(deployment, "UPDATE writes SET state = 'unknown' WHERE name LIKE '%k0-1'")
        assert await maintenance.reconcile(deployment.target(), reported.append)
        change_record(deployment, "UPDATE writes SET state = 'never' WHERE name LIKE '%k0-2'")
        change_record(deployment, "INSERT INTO writes VALUES ('1/9/lost', 1, 0, 0, 'served', 'n0', 1)")
        change_record(deployment, "INSERT INTO writes VALUES ('1/9/open', 1, 0, 0, 'sent', 'n0', 1)")
        reported.clear()
        assert not await maintenance.reconcile(deployment.target(), reported.append)

    reported = check_filled_record(tmp_path, backend, check)
    assert reported[:6] == [
        "served on record, and not in the journal: 1",
        "  1/9/lost",
        "served in the journal, and never sent on record: 1",
        "  1/1/k0-2",
        "in doubt: may have run, and nobody was told that it did: 1",
        "  1/9/open",
    ]


def test_the_commands_on_a_file(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    operators = tmp_path / "operator.toml"

    async def check(deployment: RecordDeployment, _: list[str]) -> None:
        operators.write_text(deployment.text)

    check_filled_record(tmp_path, "sqlite", check)
    capsys.readouterr()

    def run(*words: str) -> tuple[int, str, str]:
        status = main(["store", *words, "--operator", str(operators)])
        out = capsys.readouterr()
        return status, out.out, out.err

    status, out, _ = run("check")
    assert status == 0
    assert "journal: 30 rows" in out
    assert "instance n0: life 2" in out
    assert run("migrate")[:2] == (0, "schema 2\n")
    assert run("audit")[0] == run("reconcile")[0] == 0
    exported = tmp_path / "journal.jsonl"
    assert run("export", str(exported))[:2] == (0, "30 entries\n")
    rows = [json.loads(line) for line in exported.read_text().splitlines()]
    assert [r["seq"] for r in rows] == list(range(1, 31))
    assert rows[0]["outcome"] == "served"
    assert run("export", str(exported))[0] == 2  # never over another file
    assert run("export", str(tmp_path / "new"), "--since", str(rows[-1]["at"] + 1))[1] == "0 entries\n"
    assert run("export", str(tmp_path / "x"), "--since", "monday")[0] == 2
    assert run("backup", str(tmp_path / "b"))[0] == 0
    with sqlite3.connect(tmp_path / "record.sqlite3") as db:
        db.execute("DELETE FROM journal WHERE seq = 1")
    assert run("audit")[0] == 1
    operators.write_text("[store]\n")
    status, _, err = run("check")
    assert status == 2
    assert err.count("\n") == 1
    assert "names no record" in err
    operators.write_text(f'[store]\npath = "{tmp_path}/none.sqlite3"\n')
    assert run("check")[0] == 2
    assert not (tmp_path / "none.sqlite3").exists()
