"""The output of ``sabledyke fleet``, compared with an approved snapshot."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from syrupy.assertion import SnapshotAssertion

from sabledyke.__main__ import main as command
from sabledyke.compacted_log.client import CompactedLog
from sabledyke.compacted_log.sqlite_backend import SqliteBackend
from sabledyke.rollout import (
    state_changes,
)
from sabledyke.rollout.commands import append_change
from sabledyke.rollout.records import (
    FLEET_TOPIC,
    Drain,
    Epoch,
    MemberState,
)
from tests.rollout.support import READY, fleet

PLANS = {
    "nobody": "members = []",
    "twice": 'members = ["n0", "n0"]',
    "stranger": 'members = ["n9"]',
    "many": 'members = ["n0"]\n[budget]\nmost = 7',
    "both": 'members = ["n0"]\nboxes = ["b0"]',
    "half": 'boxes = ["b0"]\nto = "2"\nbefore = "1"',
    "labels": 'members = ["n0"]\nsettings = true',
    "third": 'members = ["n0"]\nto = "3"\nbefore = "2"',
    "lonely": 'retire = "s0"',
    "empties": 'retire = "s0"\nboxes = ["b0", "b0"]',
    "good": 'members = ["n0", "n1"]',
    "again": 'members = ["n1"]',
    "boxes": 'boxes = ["b0", "b1"]',
}


COMMANDS = (
    ("status",),
    ("halt", "good"),
    ("resume", "good"),
    ("resume", "good"),
    ("back", "nothing"),
    ("forget", "n0"),
    ("forget", "n2"),
    ("forget", "n2"),
    ("back", "good"),
    ("halt", "boxes"),
    ("status",),
)


def test_what_operators_are_told_is_as_approved(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], snapshot: SnapshotAssertion
) -> None:
    """Runs ``plan`` with invalid and valid plan files, then the other commands on the valid plans."""
    operator_file = tmp_path / "operator.toml"
    operator_file.write_text(f'[board]\npath = "{tmp_path}/board.sqlite3"\n')

    async def prepare() -> None:
        board = CompactedLog(SqliteBackend(f"{tmp_path}/board.sqlite3"))
        await board.backend.open()
        writer = await board.claim_writer(FLEET_TOPIC, "w")
        view = fleet(READY, READY, MemberState.UNRESPONSIVE, sites=1)
        drain = Drain("b9", "gone", 1, 0.0, 3)
        await append_change(
            writer, state_changes.StateChange("", (Epoch("n0.a", 1), *view.members.values(), drain))
        )
        await board.backend.close()

    asyncio.run(prepare())
    printed = list[str]()
    for arguments in [("plan", f"{tmp_path}/{name}.toml") for name in PLANS] + list(COMMANDS):
        if arguments[0] == "plan":
            name = Path(arguments[1]).stem
            Path(arguments[1]).write_text(f'name = "{name}"\n{PLANS[name]}\n')
        status = command(["fleet", *arguments, "--operator", str(operator_file)])
        out, err = capsys.readouterr()
        printed += [
            f"$ fleet {' '.join(arguments)}",
            *(out + err).splitlines(),
            *([f"status {status}"] if status else []),
        ]
    assert "\n".join(printed).replace(f"{tmp_path}/", "") == snapshot
