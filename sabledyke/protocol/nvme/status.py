"""Status codes of completions, and the retry delays of rejected commands."""

from __future__ import annotations

from enum import IntEnum

RETRY_DELAYS_MS = (100, 300, 500)
"""Delays for the Command Retry Delay values 1, 2 and 3 (CRDT1 to CRDT3 of Identify Controller)."""


class Status(IntEnum):
    """Status code type and status code as one number, as in a completion above its phase bit."""

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
    """Return the Command Retry Delay value of the shortest sufficient delay.

    Args:
        delay_ms: Time that the host should wait before a retry, in milliseconds.

    Returns:
        A value from 1 to 3; 3, the longest delay, if none is sufficient.
    """
    for index, available_ms in enumerate(RETRY_DELAYS_MS, 1):
        if available_ms >= delay_ms:
            return index
    return len(RETRY_DELAYS_MS)
