"""The translation of SQL statements into SQLite's dialect."""

from __future__ import annotations

from sabledyke.store import statements


def test_all_statements_translate_into_sqlite_without_type_casts() -> None:
    assert statements.to_sqlite(statements.SELECT_POSITION).endswith("WHERE instance = ?1")
    for name, sql in vars(statements).items():
        if name.isupper() and isinstance(sql, str):
            assert "::" not in statements.to_sqlite(sql), name
