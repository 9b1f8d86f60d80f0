"""A write whose COMMIT was not answered: what to ask the database next, and what is known in the end.

Absence of the key proves nothing while the old transaction may still commit; only once the key is fenced, in
a row that the old transaction would have to hold, is the write known not to have run. Knows neither a
connection nor a clock.

Why a unique row rather than the server's own report on the transaction (``pg_xact_status``): it is the same
for both backends, needs no transaction id to have come back before the cut, and it waits by itself for a
transaction that still holds the row (PostgreSQL's manual, 64.5, "Index Uniqueness Checks").
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import ClassVar

MIN_REMAINING_MS = 20.0  # with less time than that, no further question is useful


class DoubtQuestion(Enum):
    """What to ask the database."""

    LOOK_UP = "look up"
    FENCE = "fence"
    NOTHING = "nothing"


class DoubtResolution(Enum):
    """What is known in the end."""

    SERVED = "served"  # with the first result
    NEVER = "never"
    MAY_HAVE_RUN = "may have run"


@dataclass(slots=True)
class InDoubtWrite:
    """One write in doubt.

    Attributes:
        attempt: The attempt whose COMMIT was not answered.
        deadline_ms: Until when to ask, on the clock that ``next_question`` is called with.
        resolution: What is known so far.
        result: The first result, where the write was served.
        question_count: How many questions were asked, answered or not.
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
        """Return the next question."""
        if self._resolved or self.question_count >= self.MAX_QUESTIONS:
            return DoubtQuestion.NOTHING
        if self.deadline_ms - now_ms < MIN_REMAINING_MS:
            return DoubtQuestion.NOTHING
        if self._fenced or not self.question_count:
            return DoubtQuestion.LOOK_UP
        return DoubtQuestion.FENCE

    def on_key_found(self, attempt: str, state: str, result: bytes) -> None:
        """Note that the key is there: done by whichever attempt was first, or fenced."""
        self.question_count += 1
        if state == "done":
            self._resolve(DoubtResolution.SERVED)
            self.result = result
        elif self._fenced and attempt == self.attempt:
            # Our fence got the row after whatever held it had ended, and it is not done.
            self._resolve(DoubtResolution.NEVER)
        else:  # another attempt's fence, or ours has not been made yet
            self._fenced = False

    def on_key_absent(self) -> None:
        """Note that the key is not there, which proves nothing by itself."""
        self.question_count += 1
        self._fenced = False

    def on_fence_committed(self) -> None:
        """Note that the fence was committed, or found the row present; a further look-up tells which."""
        self.question_count += 1
        self._fenced = True

    def on_question_failed(self) -> None:
        """Note that the question was not answered."""
        self.question_count += 1

    def _resolve(self, resolution: DoubtResolution) -> None:
        self._resolved = True
        self.resolution = resolution
