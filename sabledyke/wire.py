"""Decodes the simulator's wire format: frames into events, and the text of settings.

A frame is a header followed by records; a record is a code followed by its fields. An ``INSTANCE`` record
names the instance that the records after it concern; a ``NODE_LIST`` record defines a numbered list of nodes,
to which ``ENDPOINT_LIST`` records refer. ``wire_replies`` encodes the replies. No policy is decided here.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import IntEnum
from math import isfinite

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
from sabledyke.wire_reader import RecordReader
from sabledyke.wire_reader import WireError as WireError

MAX_FRAME_BYTES = 1 << 30
HEADER = struct.Struct(">IdI")  # length of the frame in bytes, time in ms, number of records


class RecordCode(IntEnum):
    """Codes of the records in a frame."""

    PEER_MESSAGE = 16
    INSTANCE = 17
    REQUEST = 18
    CLIENT_DISCONNECTED = 19
    NODE_LIST = 20
    ANSWER_STARTED = 21
    ENDPOINT_LIST = 22
    STOPPED = 23
    TIMER_FIRED = 24
    ATTEMPT_COMPLETED = 25
    STARTED = 26
    PROBE_RESULT = 27


REPEATED_FLAG = 2
WRITE_FLAG = 4

NODE_STATES = {0: NodeState.READY, 1: NodeState.GONE, 2: NodeState.DRAINING}
LIST_KINDS = (ListKind.DELTA, ListKind.FULL, ListKind.CACHED, ListKind.FAILED)

_U32 = struct.Struct(">I")
_NODE_LIST = struct.Struct(">HI")  # number of the list, number of nodes
_NODE = struct.Struct(">BdBH6sfB")  # zone, start time in ms, kind, shard, node id, weight, state
_STARTED = struct.Struct(">QI")  # seed, length of the settings in bytes
_ENDPOINT_LIST = struct.Struct(">HQB")  # number of the node list, version, kind
_REQUEST = struct.Struct(">IHHQdQfffB")
_ATTEMPT_COMPLETED = struct.Struct(">IH6sHBHHdB")
_PROBE_RESULT = struct.Struct(">6sHdB")
_ANSWER_STARTED = struct.Struct(">I6sHd")
_PEER_MESSAGE = struct.Struct(">IH")  # sender, length of the message in bytes


@dataclass(slots=True, frozen=True)
class Started:
    """An instance starts with these settings and this seed."""

    settings: str
    seed: int


@dataclass(slots=True, frozen=True)
class Stopped:
    """The instance was killed."""


InstanceEvent = Event | Started | Stopped


class Decoder:
    """Decodes frames into events of instances, and keeps the numbered lists of nodes between frames."""

    def __init__(self) -> None:
        self._node_lists: dict[int, tuple[NodeEntry, ...]] = {}

    def decode(self, frame: bytes) -> tuple[float, list[tuple[int, InstanceEvent]]]:
        """Decode one complete frame, header included.

        Returns:
            The time in milliseconds, and the events, each with the number of its instance.

        Raises:
            WireError: The frame violates the wire format.
        """
        if len(frame) < HEADER.size:
            raise WireError(f"frame of {len(frame)} bytes is shorter than its header")
        length, now_ms, record_count = HEADER.unpack_from(frame)
        if length != len(frame):
            raise WireError(f"header states a frame of {length} bytes, but the frame has {len(frame)}")
        try:
            events = list(self._events(RecordReader(frame, HEADER.size), record_count))
        except struct.error as error:
            raise WireError(f"record runs past the end of its frame: {error}") from None
        return now_ms, events

    def _events(self, reader: RecordReader, record_count: int) -> Iterator[tuple[int, InstanceEvent]]:
        instance: int | None = None
        for _ in range(record_count):
            code = reader.code()
            if code == RecordCode.INSTANCE:
                (instance,) = reader.unpack(_U32)
            elif code == RecordCode.NODE_LIST:
                self._read_node_list(reader)
            elif instance is None:
                raise WireError(f"event {code} before any instance was named")
            elif code == RecordCode.ENDPOINT_LIST:
                yield instance, self._endpoint_list(reader)
            elif code in _EVENT_READERS:
                yield instance, _EVENT_READERS[code](reader)
            else:
                raise WireError(f"unknown event code {code}")
        if reader.remaining:
            raise WireError(f"{reader.remaining} bytes left over after the last record")

    def _read_node_list(self, reader: RecordReader) -> None:
        number, node_count = reader.unpack(_NODE_LIST)
        size = node_count * _NODE.size
        if size > reader.remaining:
            raise WireError(f"node list of {node_count} entries runs past the end of its frame")
        entries = _NODE.iter_unpack(reader.read_bytes(size))
        self._node_lists[number] = tuple(_node_entry(*fields) for fields in entries)

    def _endpoint_list(self, reader: RecordReader) -> EndpointList:
        number, version, kind_code = reader.unpack(_ENDPOINT_LIST)
        if kind_code >= len(LIST_KINDS):
            raise WireError(f"unknown list kind {kind_code}")
        kind = LIST_KINDS[kind_code]
        if kind is ListKind.FAILED:
            return EndpointList(kind, version, ())
        if number not in self._node_lists:
            raise WireError(f"node list {number} is not defined")
        return EndpointList(kind, version, self._node_lists[number])


def read_settings(text: str) -> Settings:
    """Return the settings that a text of ``KEY=VALUE`` lines contains.

    Raises:
        WireError: A setting is missing or invalid; the text names it.
    """
    try:
        return build(dict(line.split("=", 1) for line in text.splitlines() if "=" in line))
    except SettingsError as error:
        raise WireError(str(error)) from None


def _request(reader: RecordReader) -> Request:
    (
        request_id,
        class_index,
        plan_index,
        data_key,
        remaining_ms,
        volume,
        units,
        shard,
        scheduler_count,
        flags,
    ) = reader.unpack(_REQUEST)
    if not isfinite(shard):
        raise WireError(f"shard {shard} of request {request_id} is not a finite number")
    return Request(
        request_id,
        class_index,
        plan_index,
        data_key,
        remaining_ms,
        volume,
        units,
        int(shard),
        scheduler_count,
        repeated=bool(flags & REPEATED_FLAG),
        write=bool(flags & WRITE_FLAG),
    )


def _attempt_completed(reader: RecordReader) -> AttemptCompleted:
    (
        request_id,
        used_percent,
        node_id,
        outcome,
        request_completed,
        other_schedulers_units,
        attempt,
        elapsed_ms,
        load_count,
    ) = reader.unpack(_ATTEMPT_COMPLETED)
    load_report = reader.floats(load_count)
    return AttemptCompleted(
        request_id,
        node_id,
        attempt,
        _outcome(outcome),
        bool(request_completed),
        elapsed_ms,
        used_percent,
        other_schedulers_units,
        load_report,
    )


def _probe_result(reader: RecordReader) -> ProbeResult:
    node_id, outcome, elapsed_ms, load_count = reader.unpack(_PROBE_RESULT)
    load_report = reader.floats(load_count)
    return ProbeResult(node_id, _outcome(outcome), elapsed_ms, load_report)


def _started(reader: RecordReader) -> Started:
    seed, size = reader.unpack(_STARTED)
    return Started(reader.read_bytes(size).decode("utf-8", "replace"), seed)


def _peer_message(reader: RecordReader) -> PeerMessage:
    sender, size = reader.unpack(_PEER_MESSAGE)
    return PeerMessage(sender, reader.read_bytes(size))


_EVENT_READERS: dict[int, Callable[[RecordReader], InstanceEvent]] = {
    RecordCode.PEER_MESSAGE: _peer_message,
    RecordCode.REQUEST: _request,
    RecordCode.CLIENT_DISCONNECTED: lambda reader: ClientDisconnected(*reader.unpack(_U32)),
    RecordCode.ANSWER_STARTED: lambda reader: AnswerStarted(*reader.unpack(_ANSWER_STARTED)),
    RecordCode.STOPPED: lambda _: Stopped(),
    RecordCode.TIMER_FIRED: lambda reader: TimerFired(*reader.unpack(_U32)),
    RecordCode.ATTEMPT_COMPLETED: _attempt_completed,
    RecordCode.STARTED: _started,
    RecordCode.PROBE_RESULT: _probe_result,
}


def _outcome(code: int) -> Outcome:
    try:
        return Outcome(code)
    except ValueError:
        raise WireError(f"unknown outcome {code}") from None


def _node_entry(
    zone: int, started_ms: float, kind: int, shard: int, node_id: bytes, weight: float, state: int
) -> NodeEntry:
    if state not in NODE_STATES:
        raise WireError(f"unknown node state {state}")
    return NodeEntry(node_id, shard, zone, kind, started_ms, weight, NODE_STATES[state])
