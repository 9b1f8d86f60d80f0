"""The compacted log as the program reads and writes it, with the records that stand there."""

from __future__ import annotations

from collections.abc import Mapping
from types import SimpleNamespace
from typing import Any, cast

from sabledyke.application.extensions import ServerContext
from sabledyke.compacted_log import append, compaction, registers
from sabledyke.compacted_log import records as board_terms
from sabledyke.compacted_log import section as board_section
from sabledyke.compacted_log.client import Board, Pen
from sabledyke.compacted_log.compaction import Policy
from sabledyke.compacted_log.etcd_backend import EtcdShelf
from sabledyke.compacted_log.reader import Follower
from sabledyke.compacted_log.records import Draft, Message, Shelf, Writer
from sabledyke.compacted_log.sqlite_backend import TableShelf
from sabledyke.lease import section as lease_section
from sabledyke.placement import evacuation, evacuation_driver
from sabledyke.placement import section as sites_section
from sabledyke.quota_sharing import allocation
from sabledyke.quota_sharing import extension as fleet_part
from sabledyke.quota_sharing import section as fleet_section
from sabledyke.rollout import extension as rollout_part
from sabledyke.rollout import records as rollout_terms
from sabledyke.rollout import section as rollout_section
from tests.compatibility.program.values import values

__all__ = ["EtcdShelf", "Shelf", "TableShelf"]

FLEET_TOPIC, BEATS_TOPIC = rollout_terms.FLEET, rollout_terms.BEATS
HOMES_TOPIC, SHARES_TOPIC = evacuation.HOMES, allocation.TOPIC
LOAD_PREFIX = evacuation_driver.LOADS
INCOMPLETE = TypeError  # what a reader raises where a field is missing that it insists on
STATES, STAGES, PHASES = rollout_terms.State, rollout_terms.Stage, rollout_terms.Phase


def message(key: str, value: bytes, offset: int) -> Message:
    """A message of the log as a reader has it."""
    return Message(offset, key, value, "writer", 1, 1)


def read_record(key: str, value: bytes, offset: int = 77) -> Any:
    """A record of the fleet's topic, from its key and its stored value."""
    return rollout_terms.read(message(key, value, offset))


def write_record(record: Any) -> tuple[str, bytes]:
    """The key and the value that a record is stored by."""
    return rollout_terms.key(record), rollout_terms.pack(record)


def read_homes(stored: Mapping[str, bytes]) -> Mapping[str, Any]:
    """Homes by volume, from their stored values."""
    return evacuation.read({key: message(key, value, 77) for key, value in stored.items()})


def write_home(home: Any) -> bytes:
    """A home as it is stored."""
    return evacuation.pack(home)


def read_beats(registers: Mapping[str, bytes]) -> Mapping[str, tuple[int, ...]]:
    """Signs of life by member, from the registers."""
    return rollout_part._beats(registers)


def read_demands(value: bytes) -> tuple[int, Mapping[int, float]]:
    """The number and the demands of a member, from its register."""
    return fleet_part._word(board_terms.Cell(1, value))


async def append_messages(
    shelf: Shelf, topic: str, writer: tuple[str, int, str], *drafts: tuple[str, bytes | None]
) -> Any:
    """Append to a topic by a new connection of this writer: its name, its life, and what tells it apart."""
    pen = Pen(Board(shelf), topic, Writer(*writer))
    key = board_terms.writer_key(topic, writer[0])
    before = board_terms.said_of((await shelf.get([key])).get(key))
    pen._seq = before.seq if before is not None and before.life == writer[1] else 0
    return await pen.append([Draft(key, value) for key, value in drafts])


async def claim(shelf: Shelf, topic: str, name: str, nonce: str) -> tuple[str, int, str]:
    """Begin the next life of a writer."""
    key = board_terms.writer_key(topic, name)
    writer, commit = append.claim(topic, (await shelf.get([key])).get(key), name, nonce)
    assert await shelf.commit(commit.checks, commit.puts)
    return writer.name, writer.life, writer.nonce


async def put_registers(
    shelf: Shelf, topic: str, writer: tuple[str, int, str], words: Mapping[str, bytes]
) -> None:
    """Write registers of this writer."""
    await registers.Register(shelf, topic, Writer(*writer)).put(words)


async def read_registers(shelf: Shelf, topic: str) -> dict[str, bytes]:
    """All registers of a topic."""
    return await registers.read(shelf, topic)


async def read_topic(shelf: Shelf, topic: str) -> tuple[dict[str, bytes | None], dict[str, int]]:
    """Values and offsets by key, as a reader that joins now has them."""
    reader = Follower()
    await Board(shelf).catch_up(topic, reader)
    state = reader.state
    return {key: m.value for key, m in state.items()}, {key: m.offset for key, m in state.items()}


async def clean(shelf: Shelf, topic: str, token: int, now_ms: float) -> None:
    """Compact a topic: all but the two newest messages, and tombstones once they are 50 ms old."""
    policy = Policy(lag=2, tomb_ms=50, dirty=0.01, bytes_s=1e12)
    await Board(shelf).clean(topic, policy, lambda: token, lambda: now_ms)


def rewritten(key: str, data: bytes) -> bytes:
    """A stored cell of the log, decoded and encoded again, by the kind that its key says."""
    cell = board_terms.Cell(1, data)
    match key.split("/")[1]:
        case "h":
            return board_terms.pack(*values(board_terms.head_of(cell)))
        case "k":
            return board_terms.pack(*values(board_terms.place_of(cell)))
        case "w":
            said = board_terms.said_of(cell)
            assert said is not None
            return append._pack(said)
        case "c":
            return compaction._pack(compaction.progress_of(cell))
        case "m":
            return board_terms.pack_message(board_terms.message_of(key, cell))
    raise AssertionError(f"unknown kind of cell: {key}")


class _Host:
    """What parts of the program ask of the server around them."""

    config = SimpleNamespace(
        name="n1", seed=1, settings=SimpleNamespace(plans=(), drain_grace_ms=0.0, warm_up_ms=0.0)
    )

    def answers(self) -> tuple[int, int]:
        return 120, 3


async def member_writes(path: str, loads: Mapping[str, float]) -> None:
    """A member of the fleet joins, and writes its sign of life and its clients' loads (units by volume)."""
    place, lease = board_section.read({"path": path}), lease_section.read({"path": path + ".lease"}, None)
    section = rollout_section.read({"site": "lodi", "version": "1.4"})
    sites = sites_section.read({"room": {"lodi": 400.0}})
    assert place is not None and lease is not None and section is not None
    part = rollout_part.RolloutPart(cast(ServerContext, _Host()), section, place, lease, sites)
    assert await part._joined() is not None
    part._loads = dict(loads)
    await part._beat()
    await part._board.shelf.close()


async def sharer_writes(path: str, volume: int) -> None:
    """A member that shares limits writes a demand of 3 units of this volume within the last 2 seconds."""
    place, section = board_section.read({"path": path}), fleet_section.read({"members": 4})
    assert place is not None and section is not None
    now = [0.0]
    part = fleet_part.FleetPart(cast(ServerContext, _Host()), section, place, lambda: now[0])
    await part._begin()
    part._meter.add(now[0], volume, 3.0, 1000.0)
    now[0] = 2000.0
    await part._tell()
    await part._shelf.close()
