"""What is asked about a write whose COMMIT was not answered."""

from __future__ import annotations

from sabledyke.store.in_doubt import DoubtQuestion, DoubtResolution, InDoubtWrite


def test_a_write_in_doubt_is_looked_up_until_it_is_known() -> None:
    doubt = InDoubtWrite("a1", 1000)
    assert doubt.next_question(0) is DoubtQuestion.LOOK_UP
    doubt.on_key_absent()
    assert doubt.next_question(0) is DoubtQuestion.FENCE  # absence proves nothing
    doubt.on_fence_committed()
    assert doubt.next_question(0) is DoubtQuestion.LOOK_UP
    doubt.on_key_found("a1", "fenced", b"")
    assert doubt.next_question(0) is DoubtQuestion.NOTHING
    assert doubt.resolution is DoubtResolution.NEVER
    for state, attempt in (("done", "a0"), ("done", "a1")):
        doubt = InDoubtWrite("a1", 1000)
        doubt.on_key_found(attempt, state, b"r")
        assert doubt.resolution is DoubtResolution.SERVED
        assert doubt.result == b"r"
    doubt = InDoubtWrite("a1", 1000)
    doubt.on_key_found("a0", "fenced", b"")  # an earlier attempt's fence says nothing of this one
    assert doubt.next_question(0) is DoubtQuestion.FENCE
    assert doubt.resolution is DoubtResolution.MAY_HAVE_RUN
    for _ in range(InDoubtWrite.MAX_QUESTIONS):
        doubt.on_question_failed()
    assert doubt.next_question(0) is DoubtQuestion.NOTHING
    assert InDoubtWrite("a", 10).next_question(0) is DoubtQuestion.NOTHING
