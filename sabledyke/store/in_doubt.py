"""A write whose COMMIT's answer did not come: what to ask next, and what may be said of it in the end.

Told: what the database answered about the key. Decides: the next question, and the verdict. Absence proves
nothing while the old transaction may still commit; only once the key is fenced, in a row that the old
transaction would have to hold, is the write known not to have run. Never knows a connection or a clock.

Why a unique row rather than the server's word on the transaction (``pg_xact_status``): it is the same for
both backends, needs no transaction id to have come back before the cut, and it waits by itself for a
transaction that still holds the row (PostgreSQL's manual, 64.5, "Index Uniqueness Checks").
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

MIN_REMAINING_MS = 20.0  # ms left below which no further question is worth asking


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
    """One write in doubt, until ``deadline`` (ms, on the clock that ``next`` is called with)."""

    attempt: str
    deadline_ms: float
    resolution: DoubtResolution = DoubtResolution.MAY_HAVE_RUN
    result: bytes = b""
    _fenced: bool = False
    _decided: bool = False
    questions_asked: int = 0

    MAX_QUESTIONS = 6  # questions that fail before it is left in doubt

    def next_question(self, now: float) -> DoubtQuestion:
        """The next question."""
        if self._decided or self.questions_asked >= self.MAX_QUESTIONS or self.deadline_ms - now < MIN_REMAINING_MS:
            return DoubtQuestion.NOTHING
        return DoubtQuestion.LOOK_UP if self._fenced or not self.questions_asked else DoubtQuestion.FENCE

    def on_key_found(self, attempt: str, state: str, result: bytes) -> None:
        """The key is there: done by whoever was first, or fenced."""
        self.questions_asked += 1
        if state == "done":
            self._decided, self.resolution, self.result = True, DoubtResolution.SERVED, result
        elif self._fenced and attempt == self.attempt:
            # Our fence took the row after whatever held it had ended, and it is not done.
            self._decided, self.resolution = True, DoubtResolution.NEVER
        else:  # another attempt's fence, or ours has not been made yet
            self._fenced = False

    def on_key_absent(self) -> None:
        """The key is not there: which proves nothing by itself."""
        self.questions_asked += 1
        self._fenced = False

    def on_fence_committed(self) -> None:
        """The fence was committed, or found the row taken: a further look tells."""
        self.questions_asked += 1
        self._fenced = True

    def on_question_failed(self) -> None:
        """The question was not answered."""
        self.questions_asked += 1
