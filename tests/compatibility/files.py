"""SQLite files as SQL text, the format of the fixtures and of comparisons with written files."""

from __future__ import annotations

import sqlite3
from contextlib import closing
from pathlib import Path

DATA = Path(__file__).parent / "data"


def load(name: str, path: Path) -> str:
    """Create a SQLite file from a fixture; return its path as a string."""
    with closing(sqlite3.connect(path)) as database:
        database.executescript((DATA / name).read_text())
    return str(path)


def dump(path: str) -> str:
    """Return schema and rows of a SQLite file as SQL, in a fixed order."""
    with closing(sqlite3.connect(path)) as database:
        schema = database.execute(
            "SELECT name, type, sql FROM sqlite_master WHERE sql IS NOT NULL ORDER BY type DESC, name"
        ).fetchall()
        lines = [f"{sql};" for _, _, sql in schema]
        for name in (name for name, kind, _ in schema if kind == "table"):
            rows = database.execute(f"SELECT * FROM {name} ORDER BY 1, 2").fetchall()
            lines += [f"INSERT INTO {name} VALUES ({', '.join(map(_literal, row))});" for row in rows]
    return "\n".join(lines) + "\n"


def _literal(value: object) -> str:
    if isinstance(value, bytes):
        return f"CAST({_literal(value.decode())} AS BLOB)"
    if isinstance(value, str):
        return "'" + value.replace("'", "''") + "'"
    return repr(value)
