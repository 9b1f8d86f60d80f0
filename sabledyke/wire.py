"""Frames and settings text to and from the interface; no policy lives here."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass

from sabledyke.errors import SabledykeError
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
from sabledyke.policy.events import (
    AnswerStarted,
    AttemptCompleted,
    ClientDisconnected,
    Event,
    Outcome,
    PeerMessage,
    ProbeResult,
    Request,
    TimerFired,
)
from sabledyke.policy.nodes import EndpointList, ListKind, NodeEntry, NodeState
from sabledyke.policy.settings import Settings
from sabledyke.settings import SettingsError, build


class WireError(SabledykeError):
    """The input is not a frame of this wire; the text says what is wrong."""

    code, remedy = "wire", "nothing in service: it is the simulator's"


@dataclass(slots=True, frozen=True)
class Started:
    """An instance starts with these settings and this seed."""

    settings: str
    seed: int


@dataclass(slots=True, frozen=True)
class Stopped:
    """The instance was killed."""


HEADER = struct.Struct(">IdI")
_ENTRY = struct.Struct(">BdBH6sfB")
_START = struct.Struct(">QI")
_ROSTER = struct.Struct(">HI")
_FLEET = struct.Struct(">HQB")
_REQUEST = struct.Struct(">IHHQdQfffB")
_U32 = struct.Struct(">I")
_REPLY = struct.Struct(">IH6sHBHHdB")
_PROBED = struct.Struct(">6sHdB")
_HEAD = struct.Struct(">I6sHd")
_MAIL = struct.Struct(">IH")
_SEND = struct.Struct(">BI6sd")
_STATES = {0: NodeState.READY, 1: NodeState.GONE, 2: NodeState.DRAINING}
_KINDS = (ListKind.DELTA, ListKind.FULL, ListKind.CACHED, ListKind.FAILED)
_MAX_FRAME = 1 << 30
Item = tuple[int, Event | Started | Stopped]


class Decoder:
    """Turns batches into (instance, event) pairs; keeps the numbered lists between batches."""

    def __init__(self) -> None:
        self._rosters: dict[int, tuple[NodeEntry, ...]] = {}

    def batch(self, frame: bytes) -> tuple[float, list[Item]]:
        """Decode one whole frame, header included."""
        if len(frame) < HEADER.size:
            raise WireError(f"frame of {len(frame)} bytes is shorter than its header")
        length, now, count = HEADER.unpack_from(frame)
        if length != len(frame):
            raise WireError(f"frame says {length} bytes and has {len(frame)}")
        try:
            items = list(self._records(frame, count))
        except struct.error as fault:
            raise WireError(f"record runs past the end of its frame: {fault}") from None
        return now, items

    def _records(self, data: bytes, count: int) -> Iterator[Item]:
        at, who = HEADER.size, -1
        for _ in range(count):
            if at >= len(data):
                raise WireError("fewer records than the header counts")
            code = data[at]
            at += 1
            if code == 17:
                (who,) = _U32.unpack_from(data, at)
                at += 4
                continue
            if code == 20:
                number, n = _ROSTER.unpack_from(data, at)
                at += _ROSTER.size
                end = at + n * _ENTRY.size
                if end > len(data):
                    raise WireError(f"list of {n} entries runs past the end of its frame")
                self._rosters[number] = tuple(_entry(e) for e in _ENTRY.iter_unpack(data[at:end]))
                at = end
                continue
            if who < 0:
                raise WireError(f"event {code} before any instance was named")
            event, at = self._event(code, data, at)
            yield who, event
        if at != len(data):
            raise WireError(f"{len(data) - at} bytes left over after the last record")

    def _event(self, code: int, data: bytes, at: int) -> tuple[Event | Started | Stopped, int]:
        if code == 18:
            request_id, band, plan, key, left, volume, units, shard, hosts, marks = _REQUEST.unpack_from(
                data, at
            )
            return Request(
                request_id,
                band,
                plan,
                key,
                left,
                volume,
                units,
                int(shard),
                hosts,
                bool(marks & 2),
                bool(marks & 4),
            ), at + _REQUEST.size
        if code == 25:
            request_id, used, node, how, over, others, number, lag, n = _REPLY.unpack_from(data, at)
            load, at = _floats(data, at + _REPLY.size, n)
            return AttemptCompleted(
                request_id, node, number, _outcome(how), bool(over), lag, used, others, load
            ), at
        if code == 24:
            return TimerFired(*_U32.unpack_from(data, at)), at + 4
        if code == 19:
            return ClientDisconnected(*_U32.unpack_from(data, at)), at + 4
        if code == 22:
            number, version, mode = _FLEET.unpack_from(data, at)
            if mode >= len(_KINDS):
                raise WireError(f"unknown kind of list {mode}")
            kind = _KINDS[mode]
            if kind is not ListKind.FAILED and number not in self._rosters:
                raise WireError(f"list {number} was never defined")
            entries = () if kind is ListKind.FAILED else self._rosters[number]
            return EndpointList(kind, version, entries), at + _FLEET.size
        if code == 27:
            node, how, lag, n = _PROBED.unpack_from(data, at)
            load, at = _floats(data, at + _PROBED.size, n)
            return ProbeResult(node, _outcome(how), lag, load), at
        if code == 21:
            return AnswerStarted(*_HEAD.unpack_from(data, at)), at + _HEAD.size
        if code == 23:
            return Stopped(), at
        if code == 26:
            seed, n = _START.unpack_from(data, at)
            blob, at = _take(data, at + _START.size, n)
            return Started(blob.decode("utf-8", "replace"), seed), at
        if code == 16:
            sender, n = _MAIL.unpack_from(data, at)
            blob, at = _take(data, at + _MAIL.size, n)
            return PeerMessage(sender, blob), at
        raise WireError(f"unknown event code {code}")


def _take(data: bytes, at: int, n: int) -> tuple[bytes, int]:
    if at + n > len(data):
        raise WireError(f"field of {n} bytes runs past the end of its frame")
    return data[at : at + n], at + n


def _floats(data: bytes, at: int, n: int) -> tuple[tuple[float, ...], int]:
    return struct.unpack_from(f">{n}f", data, at), at + 4 * n


def _outcome(how: int) -> Outcome:
    try:
        return Outcome(how)
    except ValueError:
        raise WireError(f"unknown outcome {how}") from None


def _entry(fields: tuple[int, float, int, int, bytes, float, int]) -> NodeEntry:
    zone, started, kind, shard, node, weight, state = fields
    if state not in _STATES:
        raise WireError(f"unknown state of a node {state}")
    return NodeEntry(node, shard, zone, kind, started, weight, _STATES[state])


def encode(action: Action) -> bytes:
    """One action as a record."""
    match action:
        case StartAttempt(request_id, node, timeout):
            return _SEND.pack(16, request_id, node, timeout)
        case SetTimer(token, delay):
            return struct.pack(">BId", 23, token, delay)
        case Reject(request_id, after):
            return struct.pack(">BId", 24, request_id, after)
        case Fail(request_id):
            return struct.pack(">BI", 18, request_id)
        case CancelAttempt(request_id, attempt):
            return struct.pack(">BIH", 28, request_id, attempt)
        case Probe(node):
            return struct.pack(">B6s", 17, node)
        case WatchList(on):
            return struct.pack(">BB", 25, on)
        case FetchList():
            return b"\x1a"
        case CloseIdle(node):
            return struct.pack(">B6s", 27, node)
        case SendToPeer(peer, blob):
            return struct.pack(">BHH", 20, 0xFFFF if peer is None else peer, len(blob)) + blob
        case Log(text):
            return _text(21, text)


def encode_instance(number: int) -> bytes:
    """The record that says whose actions follow."""
    return struct.pack(">BI", 22, number)


def encode_bug(text: str) -> bytes:
    """The record that ends the day with a text."""
    return _text(19, text)


def _text(code: int, text: str) -> bytes:
    blob = text.encode()[:65535]
    return struct.pack(">BH", code, len(blob)) + blob


def reply(records: bytes) -> bytes:
    """A whole reply frame."""
    return _U32.pack(len(records) + 4) + records


def read_settings(text: str) -> Settings:
    """The settings text as an object; a WireError names what is missing or unreadable."""
    try:
        return build(dict(line.split("=", 1) for line in text.splitlines() if "=" in line))
    except SettingsError as fault:
        raise WireError(str(fault)) from None
