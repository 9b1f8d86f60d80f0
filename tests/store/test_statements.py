"""The SQL in both dialects."""

from __future__ import annotations

from sabledyke.store import statements


def test_statements_read_alike_for_both_backends() -> None:
    assert statements.to_sqlite(statements.SELECT_POSITION).endswith("WHERE instance = ?1")
    for name, sql in vars(statements).items():
        if name.isupper() and isinstance(sql, str):
            assert "::" not in statements.to_sqlite(sql), name
