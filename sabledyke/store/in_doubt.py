"""Resolution of a write whose COMMIT was not answered: the next query to run, and the outcome found.

The absence of the key proves nothing while the old transaction may still commit. The write is known not to
have run only after its key was fenced, in the row that the old transaction would have had to insert. This
module uses neither a connection nor a clock.

A unique row is used instead of the server's own report on the transaction (``pg_xact_status``) because it
works on both backends, does not need a transaction id before the connection breaks, and waits for a
transaction that still holds the row (PostgreSQL's manual, 64.5, "Index Uniqueness Checks").
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import ClassVar

MIN_REMAINING_MS = 20.0  # shortest time left in which another query is useful


class DoubtQuestion(Enum):
    """The next query of the database."""

    LOOK_UP = "look up"
    FENCE = "fence"
    NOTHING = "nothing"


class DoubtResolution(Enum):
    """The outcome of a write in doubt, as far as it is known."""

    SERVED = "served"
    NEVER = "never"
    MAY_HAVE_RUN = "may have run"


@dataclass(slots=True)
class InDoubtWrite:
    """A write in doubt.

    Attributes:
        attempt: Id of the attempt whose COMMIT was not answered.
        deadline_ms: Time at which the queries end, on the clock used for ``next_question``.
        resolution: The outcome known so far.
        result: The result of the attempt that ran first, if the write was served.
        question_count: Number of queries run, whether answered or not.
    """

    MAX_QUESTIONS: ClassVar[int] = 6

    attempt: str
    deadline_ms: float
    resolution: DoubtResolution = DoubtResolution.MAY_HAVE_RUN
    result: bytes = b""
    question_count: int = 0
    _fenced: bool = False
    _resolved: bool = False

    def next_question(self, now_ms: float) -> DoubtQuestion:
        """Return the next query, or NOTHING if the outcome is known or no time or query is left."""
        if self._resolved or self.question_count >= self.MAX_QUESTIONS:
            return DoubtQuestion.NOTHING
        if self.deadline_ms - now_ms < MIN_REMAINING_MS:
            return DoubtQuestion.NOTHING
        if self._fenced or not self.question_count:
            return DoubtQuestion.LOOK_UP
        return DoubtQuestion.FENCE

    def on_key_found(self, attempt: str, state: str, result: bytes) -> None:
        """Handle a look-up that found the key, as written by the attempt that ran first or as fenced."""
        self.question_count += 1
        if state == "done":
            self._resolve(DoubtResolution.SERVED)
            self.result = result
        elif self._fenced and attempt == self.attempt:
            # The fence waited for any transaction that held the row, and the row is still not done.
            self._resolve(DoubtResolution.NEVER)
        else:  # the row holds another attempt's fence, so this attempt must set its own
            self._fenced = False

    def on_key_absent(self) -> None:
        """Handle a look-up that found no key, which alone does not prove that the write never ran."""
        self.question_count += 1
        self._fenced = False

    def on_fence_committed(self) -> None:
        """Handle a committed fence; it may have found the row done, so a look-up must follow."""
        self.question_count += 1
        self._fenced = True

    def on_question_failed(self) -> None:
        """Count a query that was not answered."""
        self.question_count += 1

    def _resolve(self, resolution: DoubtResolution) -> None:
        self._resolved = True
        self.resolution = resolution
