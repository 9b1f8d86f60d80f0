"""The compacted log as the program reads and writes it, with the records that stand there."""

from __future__ import annotations

from collections.abc import Mapping
from types import SimpleNamespace
from typing import Any, cast

from sabledyke.application.extensions import ServerContext
from sabledyke.compacted_log import append, compaction, registers
from sabledyke.compacted_log import records as board_terms
from sabledyke.compacted_log import section as board_section
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
from sabledyke.quota_sharing import extension as fleet_part
from sabledyke.quota_sharing import section as fleet_section
from sabledyke.rollout import extension as rollout_part
from sabledyke.rollout import heartbeats, record_codec
from sabledyke.rollout import records as rollout_terms
from sabledyke.rollout import section as rollout_section
from tests.compatibility.program.values import values

Shelf = Backend
TableShelf = SqliteBackend
EtcdShelf = EtcdBackend


FLEET_TOPIC, BEATS_TOPIC = rollout_terms.FLEET_TOPIC, rollout_terms.HEARTBEATS_TOPIC
HOMES_TOPIC, SHARES_TOPIC = evacuation.PLACEMENTS_TOPIC, allocation.SHARES_TOPIC
LOAD_PREFIX = heartbeats.LOAD_KEY_PREFIX
INCOMPLETE = TypeError  # what a reader raises where a field is missing that it insists on
STATES, STAGES, PHASES = rollout_terms.MemberState, rollout_terms.PlanStage, rollout_terms.DrainPhase


def message(key: str, value: bytes, offset: int) -> Message:
    """A message of the log as a reader has it."""
    return Message(offset, key, value, "writer", 1, 1)


def read_record(key: str, value: bytes, offset: int = 77) -> Any:
    """A record of the fleet's topic, from its key and its stored value."""
    return record_codec.decode(message(key, value, offset))


def write_record(record: Any) -> tuple[str, bytes]:
    """The key and the value that a record is stored by."""
    return record_codec.key_of(record), record_codec.encode(record)


def read_homes(stored: Mapping[str, bytes]) -> Mapping[str, Any]:
    """Homes by volume, from their stored values."""
    return evacuation.decode_placements({key: message(key, value, 77) for key, value in stored.items()})


def write_home(home: Any) -> bytes:
    """A home as it is stored."""
    return evacuation.encode(home)


def read_beats(registers: Mapping[str, bytes]) -> Mapping[str, tuple[int, ...]]:
    """Signs of life by member, from the registers."""
    return {name: beat.values for name, beat in heartbeats.decode_heartbeats(registers).items()}


def read_demands(value: bytes) -> tuple[int, Mapping[int, float]]:
    """The number and the demands of a member, from its register."""
    return publisher.decode_demands(board_terms.Cell(1, value))


async def append_messages(
    shelf: Backend, topic: str, writer: tuple[str, int, str], *new_messages: tuple[str, bytes | None]
) -> Any:
    """Append to a topic by a new connection of this writer: its name, its life, and what tells it apart."""
    key = board_terms.writer_key(topic, writer[0])
    before = board_terms.decode_writer_state((await shelf.get([key])).get(key))
    sequence = before.sequence if before is not None and before.incarnation == writer[1] else 0
    pen = LogWriter(CompactedLog(shelf), topic, WriterIdentity(*writer), sequence)
    return await pen.append([NewMessage(key, value) for key, value in new_messages])


async def claim(shelf: Backend, topic: str, name: str, nonce: str) -> tuple[str, int, str]:
    """Begin the next life of a writer."""
    key = board_terms.writer_key(topic, name)
    writer, commit = append.plan_claim(topic, (await shelf.get([key])).get(key), name, nonce)
    assert await shelf.commit(commit.checks, commit.puts)
    return writer.name, writer.incarnation, writer.nonce


async def put_registers(
    shelf: Backend, topic: str, writer: tuple[str, int, str], words: Mapping[str, bytes]
) -> None:
    """Write registers of this writer."""
    await registers.RegisterWriter(shelf, topic, WriterIdentity(*writer)).put(words)


async def read_registers(shelf: Backend, topic: str) -> dict[str, bytes]:
    """All registers of a topic."""
    return await registers.read_values(shelf, topic)


async def read_topic(shelf: Backend, topic: str) -> tuple[dict[str, bytes | None], dict[str, int]]:
    """Values and offsets by key, as a reader that joins now has them."""
    reader = LogReader()
    await CompactedLog(shelf).catch_up(topic, reader)
    state = reader.latest
    return {key: m.value for key, m in state.items()}, {key: m.offset for key, m in state.items()}


async def clean(shelf: Backend, topic: str, token: int, now_ms: float) -> None:
    """Compact a topic: all but the two newest messages, and tombstones once they are 50 ms old."""
    policy = CompactionPolicy(
        min_lag_messages=2, tombstone_retention_ms=50, min_dirty_ratio=0.01, max_bytes_per_s=1e12
    )
    await CompactedLog(shelf).compact(topic, policy, lambda: token, lambda: now_ms)


def rewritten(key: str, data: bytes) -> bytes:
    """A stored cell of the log, decoded and encoded again, by the kind that its key says."""
    cell = board_terms.Cell(1, data)
    match key.split("/")[1]:
        case "h":
            return board_terms.encode_fields(*values(board_terms.decode_head(cell)))
        case "k":
            return board_terms.encode_fields(*values(board_terms.decode_position(cell)))
        case "w":
            said = board_terms.decode_writer_state(cell)
            assert said is not None
            return board_terms.encode_writer_state(said)
        case "c":
            return compaction.encode_progress(compaction.decode_progress(cell))
        case "m":
            return board_terms.encode_message(board_terms.decode_message(key, cell))
    raise AssertionError(f"unknown kind of cell: {key}")


class _Host:
    """What parts of the program ask of the server around them."""

    config = SimpleNamespace(
        name="n1", seed=1, settings=SimpleNamespace(plans=(), drain_grace_ms=0.0, warm_up_ms=0.0)
    )

    def answer_totals(self) -> tuple[int, int]:
        return 120, 3


def _ignored(answer: object) -> None:
    pass


def _not_forwarded(_request: object, _done: object) -> int:
    return 0


async def member_writes(path: str, loads: Mapping[str, float]) -> None:
    """A member of the fleet joins, and writes its sign of life and its clients' loads (units by volume)."""
    place, lease = board_section.read({"path": path}), lease_section.read({"path": path + ".lease"}, None)
    section = rollout_section.read({"site": "lodi", "version": "1.4"})
    sites = sites_section.read({"room": {"lodi": 400.0}})
    assert place is not None
    assert lease is not None
    assert section is not None
    part = rollout_part.RolloutExtension(cast(ServerContext, _Host()), section, place, lease, sites)
    assert await part.member.join() is not None
    for volume, units in loads.items():
        part.submit(
            cast(ClientRequest, SimpleNamespace(volume=int(volume, 16), units=units)),
            _ignored,
            _not_forwarded,
        )
    await part.member.send_heartbeat()
    await part.compacted_log.backend.close()


async def sharer_writes(path: str, volume: int) -> None:
    """A member that shares limits writes a demand of 3 units of this volume within the last 2 seconds."""
    place, section = board_section.read({"path": path}), fleet_section.read({"members": 4})
    assert place is not None
    assert section is not None
    now = [0.0]
    part = fleet_part.QuotaExtension(cast(ServerContext, _Host()), section, place, lambda: now[0])
    await part.publisher.begin()
    part.meter.add(now[0], volume, 3.0, 1000.0)
    now[0] = 2000.0
    await part.publisher.publish()
    await part.close()
