"""Tests of the operator's section ``[board]``, and of files that cannot be used."""

from __future__ import annotations

import sqlite3
from contextlib import closing
from pathlib import Path
from typing import Any

import pytest

from sabledyke.compacted_log import section
from sabledyke.compacted_log.sqlite_backend import SqliteBackend
from sabledyke.errors import LogSchemaError, OperatorError
from tests.compacted_log.support import Setup, run_on


def test_a_newer_schema_or_a_file_that_is_no_database_is_a_schema_error(tmp_path: Path) -> None:
    async def scenario(setup: Setup) -> None:
        with closing(sqlite3.connect(setup.path)) as database, database:
            database.execute("UPDATE board_about SET schema = 99")
        with pytest.raises(LogSchemaError, match="schema 99"):
            await SqliteBackend(setup.path).open()
        corrupt_file = tmp_path / "spoilt"
        corrupt_file.write_bytes(b"no database" * 100)
        with pytest.raises(LogSchemaError, match="spoilt"):
            await SqliteBackend(str(corrupt_file)).open()

    run_on("table", scenario)


@pytest.mark.parametrize(
    ("of", "expected_error"),
    [
        ({"topics": ["prices", "stock-2"], "clean_s": 1}, ""),
        ({"topics": ["fleet"]}, "'fleet' is reserved for the fleet"),
        ({"topics": ["a/b"]}, "letters, digits"),
        ({"topics": ["a", "a"]}, "lists a topic twice"),
        ({"clean_s": 0}, "board.clean_s must be a number >= 0.1, not 0"),
        ({"etcd": ["127.0.0.1:1"]}, "either path"),
    ],
)
def test_a_section_is_read_completely_or_not_at_all(of: dict[str, Any], expected_error: str) -> None:
    table = {"path": "b", **of}
    if expected_error:
        with pytest.raises(OperatorError, match=expected_error):
            section.read(table)
        return
    settings = section.read(table)
    assert settings is not None
    assert settings.topics == ("prices", "stock-2")
    assert settings.compaction_interval_s == 1.0
