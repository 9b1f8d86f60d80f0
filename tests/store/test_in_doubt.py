"""The queries about a write whose COMMIT was not answered."""

from __future__ import annotations

from sabledyke.store.in_doubt import DoubtQuestion, DoubtResolution, InDoubtWrite


def test_a_write_in_doubt_is_looked_up_until_its_outcome_is_known() -> None:
    write = InDoubtWrite("a1", 1000)
    assert write.next_question(0) is DoubtQuestion.LOOK_UP
    write.on_key_absent()
    assert write.next_question(0) is DoubtQuestion.FENCE  # absence proves nothing
    write.on_fence_committed()
    assert write.next_question(0) is DoubtQuestion.LOOK_UP
    write.on_key_found("a1", "fenced", b"")
    assert write.next_question(0) is DoubtQuestion.NOTHING
    assert write.resolution is DoubtResolution.NEVER
    for state, attempt in (("done", "a0"), ("done", "a1")):
        write = InDoubtWrite("a1", 1000)
        write.on_key_found(attempt, state, b"r")
        assert write.resolution is DoubtResolution.SERVED
        assert write.result == b"r"
    write = InDoubtWrite("a1", 1000)
    write.on_key_found("a0", "fenced", b"")  # another attempt's fence does not decide this attempt's outcome
    assert write.next_question(0) is DoubtQuestion.FENCE
    assert write.resolution is DoubtResolution.MAY_HAVE_RUN
    for _ in range(InDoubtWrite.MAX_QUESTIONS):
        write.on_question_failed()
    assert write.next_question(0) is DoubtQuestion.NOTHING
    assert InDoubtWrite("a", 10).next_question(0) is DoubtQuestion.NOTHING
