"""Fencing: rejects writes of a leader task after a later holder has written. Performs no I/O.

A lease alone cannot stop a holder that is paused between its last check of the clock and the effect of its
write. Only the written resource can, by the token that accompanies the write. ``Fence`` protects a resource
in memory; ``token_check_steps`` begin a database transaction, which aborts if the token is older than one
that the database has seen.
"""

from __future__ import annotations

from sabledyke.store.types import Step

MAX_TASKS = 1024

CREATE_TABLE_SQL = (
    "CREATE TABLE IF NOT EXISTS fences (duty TEXT PRIMARY KEY, token BIGINT NOT NULL,"
    " fence BIGINT NOT NULL CHECK (fence = 0))"
)
# A row that violates its CHECK aborts the whole transaction, like the check on the record's incarnations.
CHECK_TOKEN_SQL = (
    "INSERT INTO fences (duty, token, fence) VALUES ($1::text, $2::bigint, 0) ON CONFLICT (duty) DO UPDATE"
    " SET fence = CASE WHEN fences.token <= excluded.token THEN 0 ELSE 1 END, token = excluded.token"
)


class Fence:
    """Check of tokens against the highest one seen for each leader task.

    Attributes:
        rejected: Number of rejected tokens.
    """

    def __init__(self, max_tasks: int = MAX_TASKS) -> None:
        """Create a fence for at most ``max_tasks`` tasks; the least recently used one is evicted."""
        self._max_tasks = max_tasks
        self._highest_tokens: dict[str, int] = {}
        self.rejected = 0

    def __len__(self) -> int:
        """Return the number of leader tasks whose token is remembered."""
        return len(self._highest_tokens)

    def accepts(self, task_name: str, token: int) -> bool:
        """Return whether a write with this token may take effect, and record the token."""
        highest = self._highest_tokens.pop(task_name, 0)
        self._highest_tokens[task_name] = max(highest, token)
        if len(self._highest_tokens) > self._max_tasks:
            oldest_task = next(iter(self._highest_tokens))
            del self._highest_tokens[oldest_task]
        if token < highest:
            self.rejected += 1
            return False
        return True


def token_check_steps(task_name: str, token: int) -> list[Step]:
    """Return the steps that begin a transaction on behalf of a leader task.

    The transaction fails with a DatabaseError of kind FENCED if a later holder has written.
    """
    return [Step(CHECK_TOKEN_SQL, [(task_name, token)])]
