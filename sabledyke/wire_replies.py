"""Encodes the simulator's wire format: actions into the records of a reply."""

from __future__ import annotations

import struct
from enum import IntEnum

from sabledyke.policy.actions import (
    Action,
    CancelAttempt,
    CloseIdle,
    Fail,
    FetchList,
    Log,
    Probe,
    Reject,
    SendToPeer,
    SetTimer,
    StartAttempt,
    WatchList,
)


class ReplyCode(IntEnum):
    """Codes of the records in a reply."""

    START_ATTEMPT = 16
    PROBE = 17
    FAIL = 18
    BUG = 19
    SEND_TO_PEER = 20
    LOG = 21
    INSTANCE = 22
    SET_TIMER = 23
    REJECT = 24
    WATCH_LIST = 25
    FETCH_LIST = 26
    CLOSE_IDLE = 27
    CANCEL_ATTEMPT = 28


ALL_PEERS = 0xFFFF
MAX_TEXT_BYTES = 65535

_LAYOUTS: dict[type[Action], tuple[ReplyCode, struct.Struct]] = {
    StartAttempt: (ReplyCode.START_ATTEMPT, struct.Struct(">BI6sd")),
    Reject: (ReplyCode.REJECT, struct.Struct(">BId")),
    Fail: (ReplyCode.FAIL, struct.Struct(">BI")),
    CancelAttempt: (ReplyCode.CANCEL_ATTEMPT, struct.Struct(">BIH")),
    SetTimer: (ReplyCode.SET_TIMER, struct.Struct(">BId")),
    Probe: (ReplyCode.PROBE, struct.Struct(">B6s")),
    WatchList: (ReplyCode.WATCH_LIST, struct.Struct(">BB")),
    FetchList: (ReplyCode.FETCH_LIST, struct.Struct(">B")),
    CloseIdle: (ReplyCode.CLOSE_IDLE, struct.Struct(">B6s")),
}
"""Layouts of the records that consist of a code and the action's fields in order."""

_INSTANCE = struct.Struct(">BI")
_PEER_DATA = struct.Struct(">BHH")  # code, peer, length of the data in bytes
_TEXT = struct.Struct(">BH")  # code, length of the text in bytes
_REPLY_LENGTH = struct.Struct(">I")


def encode(action: Action) -> bytes:
    """Return the record of an action."""
    match action:
        case SendToPeer(peer, data):
            number = ALL_PEERS if peer is None else peer
            return _PEER_DATA.pack(ReplyCode.SEND_TO_PEER, number, len(data)) + data
        case Log(text):
            return _text(ReplyCode.LOG, text)
    code, layout = _LAYOUTS[type(action)]
    return layout.pack(code, *(getattr(action, name) for name in action.__match_args__))


def encode_instance(number: int) -> bytes:
    """Return the record that names the instance whose actions follow."""
    return _INSTANCE.pack(ReplyCode.INSTANCE, number)


def encode_bug(text: str) -> bytes:
    """Return the record that reports a bug, which ends the simulated day."""
    return _text(ReplyCode.BUG, text)


def encode_reply(records: bytes) -> bytes:
    """Return the reply to a frame: its length, which counts itself, and its records."""
    return _REPLY_LENGTH.pack(_REPLY_LENGTH.size + len(records)) + records


def _text(code: ReplyCode, text: str) -> bytes:
    data = text.encode()[:MAX_TEXT_BYTES]
    return _TEXT.pack(code, len(data)) + data
