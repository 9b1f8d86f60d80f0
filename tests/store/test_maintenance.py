"""The operators' commands: audit and reconcile on both backends, and all commands on a SQLite file."""

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
        ("SELECT 1", "the chain is intact"),
        ("UPDATE journal SET units = 2 WHERE seq = 7", "entry 7 was changed"),
        ("UPDATE journal SET outcome = 'failed' WHERE seq = 30", "entry 30 was changed"),
        ("DELETE FROM journal WHERE seq = 7", "entry 7 is missing"),
        ("DELETE FROM journal WHERE seq IN (8, 9)", "entries 8 to 9 are missing"),
        ("DELETE FROM journal WHERE seq > 28", "entries 29 to 30 are missing at the end"),
        ("UPDATE lives SET seq = 29", "entries 30 to 30 were appended by no batch"),
        ("DELETE FROM lives", "has never started on this record"),
    ],
)
def test_an_audit_names_changed_missing_and_added_entries(
    tmp_path: Path, backend: str, sql: str, expected_text: str
) -> None:
    async def check(deployment: RecordDeployment, reported: list[str]) -> None:
        assert await maintenance.audit(deployment.target(), reported.append)
        reported.clear()
        change_record(deployment, sql)
        assert await maintenance.audit(deployment.target(), reported.append) is (sql == "SELECT 1")

    assert expected_text in "\n".join(check_filled_record(tmp_path, backend, check))


@pytest.mark.parametrize("backend", BACKENDS)
def test_reconcile_reports_disagreements_between_journal_and_record(tmp_path: Path, backend: str) -> None:
    async def check(deployment: RecordDeployment, reported: list[str]) -> None:
        # A write with unknown outcome is not in doubt if the journal has it as served.
        change_record(deployment, "UPDATE writes SET state = 'unknown' WHERE name LIKE '%k0-1'")
        assert await maintenance.reconcile(deployment.target(), reported.append)
        change_record(deployment, "UPDATE writes SET state = 'never' WHERE name LIKE '%k0-2'")
        change_record(deployment, "INSERT INTO writes VALUES ('1/9/lost', 1, 0, 0, 'served', 'n0', 1)")
        change_record(deployment, "INSERT INTO writes VALUES ('1/9/open', 1, 0, 0, 'sent', 'n0', 1)")
        reported.clear()
        assert not await maintenance.reconcile(deployment.target(), reported.append)

    reported = check_filled_record(tmp_path, backend, check)
    assert reported[:6] == [
        "recorded as served, but not in the journal: 1",
        "  1/9/lost",
        "served in the journal, but recorded as never sent: 1",
        "  1/1/k0-2",
        "in doubt: may have run, but was not answered as served: 1",
        "  1/9/open",
    ]


def test_all_commands_on_a_sqlite_file(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    operator_file = tmp_path / "operator.toml"

    async def check(deployment: RecordDeployment, _: list[str]) -> None:
        operator_file.write_text(deployment.text)

    check_filled_record(tmp_path, "sqlite", check)
    capsys.readouterr()

    def run(*arguments: str) -> tuple[int, str, str]:
        status = main(["store", *arguments, "--operator", str(operator_file)])
        out = capsys.readouterr()
        return status, out.out, out.err

    status, out, _ = run("check")
    assert status == 0
    assert "journal: 30 rows" in out
    assert "instance n0: incarnation 2" in out
    assert run("migrate")[:2] == (0, "schema 2\n")
    assert run("audit")[0] == run("reconcile")[0] == 0
    exported = tmp_path / "journal.jsonl"
    assert run("export", str(exported))[:2] == (0, "30 entries\n")
    rows = [json.loads(line) for line in exported.read_text().splitlines()]
    assert [r["seq"] for r in rows] == list(range(1, 31))
    assert rows[0]["outcome"] == "served"
    assert run("export", str(exported))[0] == 2  # an export never overwrites a file
    assert run("export", str(tmp_path / "new"), "--since", str(rows[-1]["at"] + 1))[1] == "0 entries\n"
    assert run("export", str(tmp_path / "x"), "--since", "monday")[0] == 2
    assert run("backup", str(tmp_path / "b"))[0] == 0
    with sqlite3.connect(tmp_path / "record.sqlite3") as db:
        db.execute("DELETE FROM journal WHERE seq = 1")
    assert run("audit")[0] == 1
    operator_file.write_text("[store]\n")
    status, _, err = run("check")
    assert status == 2
    assert err.count("\n") == 1
    assert "names no record" in err
    operator_file.write_text(f'[store]\npath = "{tmp_path}/none.sqlite3"\n')
    assert run("check")[0] == 2
    assert not (tmp_path / "none.sqlite3").exists()
