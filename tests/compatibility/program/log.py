"""Adapter for the compacted log and its records."""

from __future__ import annotations

from collections.abc import Mapping
from types import SimpleNamespace
from typing import Any, cast

from sabledyke.application.extensions import ServerContext
from sabledyke.compacted_log import append, compaction, registers
from sabledyke.compacted_log import records as log_records
from sabledyke.compacted_log import section as log_section
from sabledyke.compacted_log.client import CompactedLog, LogWriter
from sabledyke.compacted_log.compaction import CompactionPolicy
from sabledyke.compacted_log.etcd_backend import EtcdBackend
from sabledyke.compacted_log.reader import LogReader
from sabledyke.compacted_log.records import Backend, Message, NewMessage, WriterIdentity
from sabledyke.compacted_log.sqlite_backend import SqliteBackend
from sabledyke.core import ClientRequest
from sabledyke.lease import section as lease_section
from sabledyke.placement import evacuation
from sabledyke.placement import section as sites_section
from sabledyke.quota_sharing import allocation, publisher
from sabledyke.quota_sharing import extension as quota_extension
from sabledyke.quota_sharing import section as quota_section
from sabledyke.rollout import extension as rollout_extension
from sabledyke.rollout import heartbeats, record_codec
from sabledyke.rollout import records as rollout_records
from sabledyke.rollout import section as rollout_section
from tests.compatibility.program.values import values

LogBackend = Backend
SqliteLogBackend = SqliteBackend
EtcdLogBackend = EtcdBackend


FLEET_TOPIC, HEARTBEATS_TOPIC = rollout_records.FLEET_TOPIC, rollout_records.HEARTBEATS_TOPIC
PLACEMENTS_TOPIC, SHARES_TOPIC = evacuation.PLACEMENTS_TOPIC, allocation.SHARES_TOPIC
LOAD_PREFIX = heartbeats.LOAD_KEY_PREFIX
MISSING_FIELD_ERROR = TypeError  # raised by a reader when a required field is missing
MEMBER_STATES, PLAN_STAGES, DRAIN_PHASES = (
    rollout_records.MemberState,
    rollout_records.PlanStage,
    rollout_records.DrainPhase,
)


def message(key: str, value: bytes, offset: int) -> Message:
    """Return a message of the log as a reader receives it."""
    return Message(offset, key, value, "writer", 1, 1)


def read_record(key: str, value: bytes, offset: int = 77) -> Any:
    """Decode a record of the fleet's topic from its key and its stored value."""
    return record_codec.decode(message(key, value, offset))


def write_record(record: Any) -> tuple[str, bytes]:
    """Encode a record; return its key and its stored value."""
    return record_codec.key_of(record), record_codec.encode(record)


def read_placements(stored: Mapping[str, bytes]) -> Mapping[str, Any]:
    """Decode stored placements; return them by volume."""
    return evacuation.decode_placements({key: message(key, value, 77) for key, value in stored.items()})


def write_placement(placement: Any) -> bytes:
    """Encode a placement as its stored value."""
    return evacuation.encode(placement)


def read_heartbeats(registers: Mapping[str, bytes]) -> Mapping[str, tuple[int, ...]]:
    """Decode the heartbeats among the registers; return their values by member."""
    return {name: heartbeat.values for name, heartbeat in heartbeats.decode_heartbeats(registers).items()}


def read_demands(value: bytes) -> tuple[int, Mapping[int, float]]:
    """Decode a member's published demands; return the publication's number and units per second by volume."""
    return publisher.decode_demands(log_records.Cell(1, value))


async def append_messages(
    backend: Backend, topic: str, writer: tuple[str, int, str], *entries: tuple[str, bytes | None]
) -> Any:
    """Append to a topic with a new ``LogWriter`` for this writer: its name, incarnation and nonce."""
    key = log_records.writer_key(topic, writer[0])
    state = log_records.decode_writer_state((await backend.get([key])).get(key))
    sequence = state.sequence if state is not None and state.incarnation == writer[1] else 0
    log_writer = LogWriter(CompactedLog(backend), topic, WriterIdentity(*writer), sequence)
    return await log_writer.append([NewMessage(key, value) for key, value in entries])


async def claim_writer(backend: Backend, topic: str, name: str, nonce: str) -> tuple[str, int, str]:
    """Begin the next incarnation of a writer; return its name, incarnation and nonce."""
    key = log_records.writer_key(topic, name)
    writer, commit = append.plan_claim(topic, (await backend.get([key])).get(key), name, nonce)
    assert await backend.commit(commit.checks, commit.puts)
    return writer.name, writer.incarnation, writer.nonce


async def put_registers(
    backend: Backend, topic: str, writer: tuple[str, int, str], register_values: Mapping[str, bytes]
) -> None:
    """Write registers as this writer."""
    await registers.RegisterWriter(backend, topic, WriterIdentity(*writer)).put(register_values)


async def read_registers(backend: Backend, topic: str) -> dict[str, bytes]:
    """Return the values of all registers of a topic."""
    return await registers.read_values(backend, topic)


async def read_topic(backend: Backend, topic: str) -> tuple[dict[str, bytes | None], dict[str, int]]:
    """Return values and offsets by key, as a new reader gets them."""
    reader = LogReader()
    await CompactedLog(backend).catch_up(topic, reader)
    state = reader.latest
    return {key: m.value for key, m in state.items()}, {key: m.offset for key, m in state.items()}


async def compact(backend: Backend, topic: str, token: int, now_ms: float) -> None:
    """Compact all but the two latest messages of a topic, removing tombstones after 50 ms."""
    policy = CompactionPolicy(
        min_lag_messages=2, tombstone_retention_ms=50, min_dirty_ratio=0.01, max_bytes_per_s=1e12
    )
    await CompactedLog(backend).compact(topic, policy, lambda: token, lambda: now_ms)


def reencode(key: str, data: bytes) -> bytes:
    """Decode a stored cell of the log and encode it again, according to the kind in its key."""
    cell = log_records.Cell(1, data)
    match key.split("/")[1]:
        case "h":
            return log_records.encode_fields(*values(log_records.decode_head(cell)))
        case "k":
            return log_records.encode_fields(*values(log_records.decode_position(cell)))
        case "w":
            writer_state = log_records.decode_writer_state(cell)
            assert writer_state is not None
            return log_records.encode_writer_state(writer_state)
        case "c":
            return compaction.encode_progress(compaction.decode_progress(cell))
        case "m":
            return log_records.encode_message(log_records.decode_message(key, cell))
    raise AssertionError(f"unknown kind of cell: {key}")


class _ServerContextStub:
    """A stub of the server, as extensions of the program use it."""

    config = SimpleNamespace(
        name="n1", seed=1, settings=SimpleNamespace(plans=(), drain_grace_ms=0.0, warm_up_ms=0.0)
    )

    def answer_totals(self) -> tuple[int, int]:
        return 120, 3


def _ignore_answer(answer: object) -> None:
    pass


def _do_not_forward(_request: object, _done: object) -> int:
    return 0


async def write_as_member(path: str, loads: Mapping[str, float]) -> None:
    """Join the fleet as a member; write its heartbeat and the load of its clients, in units by volume."""
    log_settings, lease = (
        log_section.read({"path": path}),
        lease_section.read({"path": path + ".lease"}, None),
    )
    section = rollout_section.read({"site": "lodi", "version": "1.4"})
    sites = sites_section.read({"room": {"lodi": 400.0}})
    assert log_settings is not None
    assert lease is not None
    assert section is not None
    extension = rollout_extension.RolloutExtension(
        cast(ServerContext, _ServerContextStub()), section, log_settings, lease, sites
    )
    assert await extension.member.join() is not None
    for volume, units in loads.items():
        extension.submit(
            cast(ClientRequest, SimpleNamespace(volume=int(volume, 16), units=units)),
            _ignore_answer,
            _do_not_forward,
        )
    await extension.member.send_heartbeat()
    await extension.compacted_log.backend.close()


async def write_as_quota_member(path: str, volume: int) -> None:
    """Publish, as a member with quota sharing, a demand of 3 units for this volume in the last 2 s."""
    log_settings, section = log_section.read({"path": path}), quota_section.read({"members": 4})
    assert log_settings is not None
    assert section is not None
    now = [0.0]
    extension = quota_extension.QuotaExtension(
        cast(ServerContext, _ServerContextStub()), section, log_settings, lambda: now[0]
    )
    await extension.publisher.begin()
    extension.meter.add(now[0], volume, 3.0, 1000.0)
    now[0] = 2000.0
    await extension.publisher.publish()
    await extension.close()
