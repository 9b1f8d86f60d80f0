"""The only place of these tests that names parts of the program: a rename there is an edit here alone.

Expected data stand in the tests and in ``data/``, and must not be edited for a rename.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import astuple, is_dataclass
from enum import Enum
from io import BytesIO
from types import SimpleNamespace
from typing import Any, cast

import msgspec

from sabledyke import config
from sabledyke.board import compaction, ledger, register
from sabledyke.board import section as board_section
from sabledyke.board import terms as board_terms
from sabledyke.board.board import Board, Pen
from sabledyke.board.compaction import Policy
from sabledyke.board.etcd import EtcdShelf
from sabledyke.board.follower import Follower
from sabledyke.board.table import TableShelf
from sabledyke.board.terms import Draft, Message, Shelf, Writer
from sabledyke.errors import ConfigError, OperatorError
from sabledyke.fleet import part as fleet_part
from sabledyke.fleet import section as fleet_section
from sabledyke.lab.etcd import Etcd
from sabledyke.lease import fence
from sabledyke.lease import section as lease_section
from sabledyke.lease import terms as lease_terms
from sabledyke.lease.etcd import EtcdAuthority
from sabledyke.lease.table import TableAuthority
from sabledyke.net.parts import Host
from sabledyke.rollout import part as rollout_part
from sabledyke.rollout import section as rollout_section
from sabledyke.rollout import terms as rollout_terms
from sabledyke.sites import retire
from sabledyke.sites import section as sites_section
from sabledyke.store import journal, opening, statements, tools
from sabledyke.store.connect import connect
from sabledyke.store.faults import StoreFault
from sabledyke.store.section import Target
from sabledyke.store.session import Session
from sabledyke.store.terms import Batch, Drift, Entry, Intent, Sent, Step

FLEET_TOPIC, BEATS_TOPIC = rollout_terms.FLEET, rollout_terms.BEATS
HOMES_TOPIC, SHARES_TOPIC = retire.HOMES, fleet_part.TOPIC
LOAD_PREFIX = rollout_part.LOADS
STATES, STAGES, PHASES = rollout_terms.State, rollout_terms.Stage, rollout_terms.Phase

__all__ = ["ConfigError", "Etcd", "EtcdShelf", "OperatorError", "Shelf", "StoreFault", "TableShelf"]


def values(record: object) -> list[Any]:
    """Values of a record in the order of its fields, whatever their names; enumerations by their values."""
    fields = (
        msgspec.structs.astuple(record) if isinstance(record, msgspec.Struct) else astuple(cast(Any, record))
    )
    return [list(v) if isinstance(v, tuple) else v.value if isinstance(v, Enum) else v for v in fields]


def leaves(value: object) -> Iterator[object]:
    """All plain values inside a nested one, whatever the names and the nesting on the way."""
    if isinstance(value, msgspec.Struct):
        value = msgspec.structs.astuple(value)
    elif is_dataclass(value) and not isinstance(value, type):
        value = [getattr(value, name) for name in value.__dataclass_fields__]
    if isinstance(value, Enum):
        yield value.value
    elif isinstance(value, Mapping):
        for key, inner in value.items():
            yield from leaves(key)
            yield from leaves(inner)
    elif isinstance(value, list | tuple | frozenset):
        for inner in sorted(value) if isinstance(value, frozenset) else value:
            yield from leaves(inner)
    else:
        yield value.decode() if isinstance(value, bytes) else value


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
    return retire.read({key: message(key, value, 77) for key, value in stored.items()})


def write_home(home: Any) -> bytes:
    """A home as it is stored."""
    return retire.pack(home)


def read_beats(registers: Mapping[str, bytes]) -> Mapping[str, tuple[int, ...]]:
    """Signs of life by member, from the registers."""
    return rollout_part._beats(registers)


def read_demands(value: bytes) -> tuple[int, Mapping[int, float]]:
    """The number and the demands of a member, from its register."""
    return fleet_part._word(board_terms.Cell(1, value))


async def append(
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
    writer, commit = ledger.claim(topic, (await shelf.get([key])).get(key), name, nonce)
    assert await shelf.commit(commit.checks, commit.puts)
    return writer.name, writer.life, writer.nonce


async def put_registers(
    shelf: Shelf, topic: str, writer: tuple[str, int, str], words: Mapping[str, bytes]
) -> None:
    """Write registers of this writer."""
    await register.Register(shelf, topic, Writer(*writer)).put(words)


async def read_registers(shelf: Shelf, topic: str) -> dict[str, bytes]:
    """All registers of a topic."""
    return await register.read(shelf, topic)


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
            return ledger._pack(said)
        case "c":
            return compaction._pack(compaction.progress_of(cell))
        case "m":
            return board_terms.pack_message(board_terms.message_of(key, cell))
    raise AssertionError(f"unknown kind of cell: {key}")


class _Host:
    """What parts of the program ask of the server around them."""

    config = SimpleNamespace(
        name="n1", seed=1, settings=SimpleNamespace(plans=(), drain_grace=0.0, warm_up=0.0)
    )

    def answers(self) -> tuple[int, int]:
        return 120, 3


async def member_writes(path: str, loads: Mapping[str, float]) -> None:
    """A member of the fleet joins, and writes its sign of life and its clients' loads (units by volume)."""
    place, lease = board_section.read({"path": path}), lease_section.read({"path": path + ".lease"}, None)
    section = rollout_section.read({"site": "lodi", "version": "1.4"})
    sites = sites_section.read({"room": {"lodi": 400.0}})
    assert place is not None and lease is not None and section is not None
    part = rollout_part.RolloutPart(cast(Host, _Host()), section, place, lease, sites)
    assert await part._joined() is not None
    part._loads = dict(loads)
    await part._beat()
    await part._board.shelf.close()


async def sharer_writes(path: str, volume: int) -> None:
    """A member that shares limits writes a demand of 3 units of this volume within the last 2 seconds."""
    place, section = board_section.read({"path": path}), fleet_section.read({"members": 4})
    assert place is not None and section is not None
    now = [0.0]
    part = fleet_part.FleetPart(cast(Host, _Host()), section, place, lambda: now[0])
    await part._begin()
    part._meter.add(now[0], volume, 3.0, 1000.0)
    now[0] = 2000.0
    await part._tell()
    await part._shelf.close()


ME = "n1.aaaaaaaaaaaa"  # a holder of leases, as it is stored


def etcd_authority(address: str) -> EtcdAuthority:
    """Leases of 60 s (whole seconds, rounded up) in the etcd at this address."""
    return EtcdAuthority([address], "sabledyke/", 59_500.0, 20_000.0)


async def look(authority: lease_terms.Authority, duty: str) -> Any:
    """Who holds the lease of a duty?"""
    return await authority.ask(duty, ME, lease_terms.Look())


async def take(authority: lease_terms.Authority, duty: str, stamp: tuple[int, int]) -> Any:
    """Take it, if it still stands under this token and count of renewals."""
    return await authority.ask(duty, ME, lease_terms.Take(stamp))


async def renew(authority: lease_terms.Authority, duty: str, token: int) -> Any:
    """Renew it."""
    return await authority.ask(duty, ME, lease_terms.Renew(token))


async def release(authority: lease_terms.Authority, duty: str, token: int) -> Any:
    """Release it."""
    return await authority.ask(duty, ME, lease_terms.Release(token))


def table_authority(path: str) -> TableAuthority:
    """Leases of 3 s in this SQLite file."""
    return TableAuthority(Target(path=path), 3000.0)


async def write_schema_1(path: str) -> None:
    """A record as it was before there were versions: one table of writes."""
    session = await connect(Target(path=path))
    put = "INSERT INTO writes (name, at, shard, zone, state) VALUES ($1, $2, $3, $4, $5)"
    rows = [
        ("scontrino/3b4d60021/order-1", 1700000000100.5, 3, 1, "served"),
        ("scontrino/3b4d60021/order-2", 1700000000200.0, 4, 2, "unknown"),
        ("scontrino/3b4d60021/order-3", 1700000000300.0, 5, 0, "never"),
        ("scontrino/3b4d60021/order-4", 1700000000400.0, 6, 1, "sent"),
    ]
    await session.transact([Step(line) for line in statements.MIGRATIONS[0]])
    await session.transact([Step(put, rows)])
    await session.close()


async def open_record(path: str) -> Session:
    """The store of record in this file, its schema up to date."""
    session = await connect(Target(path=path))
    await opening.migrate(session)
    return session


async def begin_life(session: Session, instance: str) -> list[Any]:
    """Begin the next life of an instance: its number, its batches, the journal's last entry and its hash."""
    return values(await opening.new_life(session, instance))


async def write_batch(
    session: Session,
    instance: str,
    intents: Sequence[Sequence[Any]] = (),
    settled: Sequence[tuple[str, str]] = (),
    entries: Sequence[Sequence[Any]] = (),
    drifts: Sequence[Sequence[Any]] = (),
) -> None:
    """Write one batch, all of whose values are given in the order of their columns."""
    before, made = await opening.read_position(session, instance), [Entry(*entry) for entry in entries]
    after, hashes = journal.extend(before, instance, made)
    sends = [Intent(name, Sent(*sent)) for name, sent in intents]
    batch = Batch(before, after, sends, made, hashes, list(settled), [Drift(*drift) for drift in drifts])
    results = await session.transact(statements.steps(batch, instance))
    assert statements.taken(batch, results) == {name for name, _ in intents}


async def pass_fence(session: Session, duty: str, token: int) -> None:
    """Show the database a token; a StoreFault where it has seen a later one."""
    await session.transact([Step(fence.TABLE), *fence.steps(duty, token)])


async def look_up(session: Session, name: str) -> Any:
    """A recorded write: when and where it was sent, and its state."""
    (row,) = await session.query(statements.LOOK_UP, name)
    sent, state = (statements.found(row).sent, statements.found(row).state)
    return [values(sent), state]


async def recent(session: Session) -> list[tuple[str, Any]]:
    """Writes that a start reads, newest first."""
    return await opening.recent(session, 0.0)


async def migrate(path: str) -> str:
    """What ``store migrate`` says last."""
    said: list[str] = []
    assert await tools.migrate(Target(path=path), said.append)
    return said[-1]


async def audit(path: str) -> bool:
    """Does the journal pass its audit?"""
    return await tools.audit(Target(path=path), lambda _: None)


async def export(path: str) -> bytes:
    """The journal as JSON lines."""
    file = BytesIO()
    await tools.export(Target(path=path), file, 0, lambda _: None)
    return file.getvalue()


def read_config(environ: Mapping[str, str]) -> list[object]:
    """All values of the configuration that the environment points to, in the order of their fields."""
    return list(leaves(config.load(environ)))
