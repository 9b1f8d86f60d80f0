"""Status codes of completions, and the retry delays that go with them."""

from __future__ import annotations

from enum import IntEnum

RETRY_DELAYS_MS = (100, 300, 500)
"""What the Command Retry Delay values 1, 2 and 3 stand for (CRDT1 to CRDT3 of Identify Controller)."""


class Status(IntEnum):
    """Status code type and code together, as they stand in a completion above its phase bit."""

    OK = 0x000
    INVALID_OPCODE = 0x001
    INVALID_FIELD = 0x002
    INTERNAL = 0x006
    INVALID_NAMESPACE = 0x00B
    SEQUENCE = 0x00C
    LBA_RANGE = 0x080
    NOT_READY = 0x082
    CONNECT_FORMAT = 0x180
    CONNECT_PARAMETERS = 0x182
    ACCESS_DENIED = 0x286


def retry_delay_index(delay_ms: float) -> int:
    """Return the Command Retry Delay value of the shortest delay that is long enough.

    Args:
        delay_ms: How long the host should wait before it retries.

    Returns:
        1 to 3; 3, the longest delay, where none is long enough.
    """
    for index, available_ms in enumerate(RETRY_DELAYS_MS, 1):
        if available_ms >= delay_ms:
            return index
    return len(RETRY_DELAYS_MS)
