"""Fencing: what a duty writes is refused once a later holder has written. Pure, but for the steps of SQL.

A lease alone cannot stop a holder that pauses between its last look at the clock and the effect of what it
does: only who takes the effect can, by the token that comes with it. ``Fence`` is for a resource in memory;
``steps`` begin a transaction in a database, which gives itself up where the token is older than one it has
seen.
"""

from __future__ import annotations

from sabledyke.store.types import Step

MOST = 1024  # duties that one fence knows; the one used longest ago goes first

TABLE = (
    "CREATE TABLE IF NOT EXISTS fences (duty TEXT PRIMARY KEY, token BIGINT NOT NULL,"
    " fence BIGINT NOT NULL CHECK (fence = 0))"
)
# As with the lives of the record: a row that breaks its CHECK makes the database give up the whole
# transaction.
PASS = (
    "INSERT INTO fences (duty, token, fence) VALUES ($1::text, $2::bigint, 0) ON CONFLICT (duty) DO UPDATE"
    " SET fence = CASE WHEN fences.token <= excluded.token THEN 0 ELSE 1 END, token = excluded.token"
)


class Fence:
    """The highest token seen for each duty."""

    def __init__(self, most: int = MOST) -> None:
        self._most = most
        self._seen: dict[str, int] = {}
        self.refused = 0

    def admits(self, duty: str, token: int) -> bool:
        """May what comes with this token take effect? Remembers it where it may."""
        seen = self._seen.pop(duty, 0)
        self._seen[duty] = max(seen, token)
        if len(self._seen) > self._most:
            del self._seen[next(iter(self._seen))]
        self.refused += token < seen
        return token >= seen


def steps(duty: str, token: int) -> list[Step]:
    """How a transaction on behalf of a duty begins.

    A StoreFault of kind FENCED where a later holder wrote.
    """
    return [Step(PASS, [(duty, token)])]
