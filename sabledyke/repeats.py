"""Where and when a request may run again, given that an earlier send of it may have run.

The one wording of that rule below the decision module: the core checks the module's sends against it, and the
store of record the sends of former lives and of other schedulers. No I/O, no clock.
"""

from __future__ import annotations

from sabledyke.interface import Group, Repeat, RequestClass


def may_repeat(
    kind: RequestClass, sent_at: float, sent_to: tuple[int, int], now: float, here: tuple[int, int]
) -> bool:
    """Whether a request of this class, perhaps run at ``sent_to`` (shard, zone), may be sent ``here`` now.

    Times in milliseconds on one clock. Guards against an effect that no box would recognise as a repeat.
    """
    if kind.repeat is Repeat.IDEMPOTENT:
        return True
    if kind.repeat is Repeat.AT_MOST_ONCE or now >= sent_at + kind.repeat_window:
        return False
    if kind.group is Group.CELL:
        return here[0] == sent_to[0]
    return kind.group is Group.ALL or here[1] == sent_to[1]
