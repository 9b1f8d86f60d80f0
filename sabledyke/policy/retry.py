"""Where and when a request may run again, given that an earlier send of it may have run.

The one wording of that rule below the decision module: the core checks the module's sends against it, and the
store of record the sends of former lives and of other schedulers. No I/O, no clock.
"""

from __future__ import annotations

from sabledyke.policy.settings import DeduplicationScope, RepeatSafety, RequestClass

# Milliseconds for which a scheduler may be held up between reading its clock and writing (STANDING, 'More
# than these days'): what is decided inside a window must be written inside it.
HELD_UP = 150.0


def window_over(kind: RequestClass, sent_at: float, now: float) -> bool:
    """Whether a request of this class, first sent then, may run nowhere any more."""
    if kind.repeat_safety is RepeatSafety.IDEMPOTENT:
        return False
    return (
        kind.repeat_safety is RepeatSafety.AT_MOST_ONCE
        or now + HELD_UP >= sent_at + kind.deduplication_window_ms
    )


def may_repeat(
    kind: RequestClass, sent_at: float, sent_to: tuple[int, int], now: float, here: tuple[int, int]
) -> bool:
    """Whether a request of this class, perhaps run at ``sent_to`` (shard, zone), may be sent ``here`` now.

    Times in milliseconds on one clock. Guards against an effect that no box would recognise as a repeat.
    """
    if kind.repeat_safety is RepeatSafety.IDEMPOTENT:
        return True
    if window_over(kind, sent_at, now):
        return False
    if kind.deduplication_scope is DeduplicationScope.CELL:
        return here[0] == sent_to[0]
    return kind.deduplication_scope is DeduplicationScope.ALL or here[1] == sent_to[1]
