"""Compatibility of the compacted log: the literal bytes of every kind of record, and a complete stored log.

A reader ignores unknown fields, so that renaming a field would silently lose data. No field of the records
here has its default value, so that a record that is read and written again differs if any field is lost.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from enum import Enum
from pathlib import Path

import orjson
import pytest

from tests.compatibility.files import DATA, dump, load
from tests.compatibility.program import log
from tests.compatibility.program.values import values

RECORDS = {
    "member/n1": b'{"name":"n1","life":3,"version":"1.4","site":"lodi","state":"leaving"}',
    "plan/p1": (
        b'{"name":"p1","members":["n1","n2"],"most":2,"per_site":3,"share":0.25,"to":"1.5","before":"1.4",'
        b'"canary":true,"settings":true,"boxes":["s-1","s-2"],"gone":true,"retire":"lodi",'
        b'"then":["s-3"],"step":4,"stage":"halted","released":["n3"],"later":["n4"],"why":"too slow"}'
    ),
    "ask/n1": b'{"name":"n1","plan":"p1","life":3,"number":5}',
    "ticket/n1": (
        b'{"name":"n1","plan":"p1","life":3,"number":5,"token":7,"to":"1.5","last":true,"settings":true,'
        b'"going":true,"took":"taken"}'
    ),
    "drain/s-1": b'{"name":"s-1","plan":"p1","token":7,"started":1700000000.5,"begun":41,"phase":"warming"}',
    "clear/n1": b'{"name":"n1","life":3,"drains":[41,43]}',
    "epoch": b'{"name":"n1","token":7}',
}
DEFAULTS = {  # number of required fields, and the default values of the optional ones
    "member/n1": (2, b'["","","warming"]'),
    "plan/p1": (2, b'[1,null,null,"","",false,false,[],false,"",[],0,"running",[],[],""]'),
    "ask/n1": (4, b"[]"),
    "ticket/n1": (5, b'["",false,false,false,""]'),
    "drain/s-1": (5, b'["leaving"]'),
    "clear/n1": (2, b"[[]]"),
    "epoch": (2, b"[]"),
}
FIELDS = [(key, number) for key, value in RECORDS.items() for number in range(len(orjson.loads(value)))]
PLACEMENTS = {
    "00000003b4d60021": b'["milano","n2","lodi","n1",2]',
    "00000003b4d60022": b'["lodi","n1","lodi","",0]',
}
HEARTBEATS = {"n1": b"[3,120,4,86400123]", "load/n1": b'{"00000003b4d60021":12.5,"00000003b4d60022":0.25}'}
SHARES = {"n1": b'[6,{"3b4d60021":12.5,"3b4d60022":0.25}]'}


@pytest.mark.parametrize("key", RECORDS)
def test_a_record_of_the_fleet_is_read_in_full_and_written_to_the_same_bytes(key: str) -> None:
    record = log.read_record(key, RECORDS[key], 77)
    assert values(record) == [*orjson.loads(RECORDS[key]).values(), 77]
    assert log.write_record(record) == (key, RECORDS[key])


@pytest.mark.parametrize(("key", "number"), FIELDS)
def test_each_field_is_required_or_has_a_default(key: str, number: int) -> None:
    stored, (required, text) = orjson.loads(RECORDS[key]), DEFAULTS[key]
    defaults = orjson.loads(text)
    assert len(stored) == required + len(defaults)
    name = list(stored)[number]
    incomplete = orjson.dumps({field: value for field, value in stored.items() if field != name})
    if number < required:
        with pytest.raises(log.MISSING_FIELD_ERROR):
            log.read_record(key, incomplete)
        return
    expected = orjson.dumps({**stored, name: defaults[number - required]})
    assert expected != RECORDS[key]
    assert log.write_record(log.read_record(key, incomplete))[1] == expected


@pytest.mark.parametrize("key", RECORDS)
def test_an_unknown_field_of_a_later_version_is_ignored(key: str) -> None:
    extended = orjson.dumps({**orjson.loads(RECORDS[key]), "of_a_later_version": 1})
    assert log.write_record(log.read_record(key, extended))[1] == RECORDS[key]


def test_an_unknown_record_of_a_later_version_is_ignored() -> None:
    assert log.read_record("unheard/n1", b'{"name":"n1"}') is None


@pytest.mark.parametrize(
    ("key", "old", "stored_values", "kind"),
    [
        ("member/n1", b"leaving", "ready leaving out warming silent retired", log.MEMBER_STATES),
        ("plan/p1", b"halted", "running halted back done undone", log.PLAN_STAGES),
        ("drain/s-1", b"warming", "leaving drained warming", log.DRAIN_PHASES),
    ],
)
def test_the_stored_values_of_each_enumeration(
    key: str, old: bytes, stored_values: str, kind: type[Enum]
) -> None:
    assert [member.value for member in kind] == stored_values.split()
    for stored in stored_values.split():
        value = RECORDS[key].replace(b'"' + old + b'"', b'"' + stored.encode() + b'"')
        assert log.write_record(log.read_record(key, value)) == (key, value)


def test_placements_are_read_in_full_and_written_to_the_same_bytes() -> None:
    placements = log.read_placements(PLACEMENTS)
    assert {key: log.write_placement(placement) for key, placement in placements.items()} == PLACEMENTS
    assert values(placements["00000003b4d60021"]) == [
        "00000003b4d60021",
        "milano",
        "n2",
        "lodi",
        "n1",
        2,
        77,
    ]


def test_registers_are_read_in_full() -> None:
    assert log.read_heartbeats(HEARTBEATS) == {"n1": (3, 120, 4, 86400123)}
    assert log.read_demands(SHARES["n1"]) == (6, {0x3B4D60021: 12.5, 0x3B4D60022: 0.25})


def test_names_of_topics_are_unchanged() -> None:
    names = log.FLEET_TOPIC, log.HEARTBEATS_TOPIC, log.PLACEMENTS_TOPIC, log.SHARES_TOPIC
    assert (*names, log.LOAD_PREFIX) == ("fleet", "beats", "homes", "shares", "load/")


def test_a_member_writes_its_record_and_its_registers(tmp_path: Path) -> None:
    path = str(tmp_path / "log.sqlite3")

    async def scenario(backend: log.LogBackend) -> None:
        await log.write_as_member(path, {"00000003b4d60021": 12.5})
        await log.write_as_quota_member(path, 0x3B4D60021)
        fleet, _ = await log.read_topic(backend, "fleet")
        assert fleet == {
            "member/n1": b'{"name":"n1","life":1,"version":"1.4","site":"lodi","state":"warming"}'
        }
        heartbeats = await log.read_registers(backend, "beats")
        assert set(heartbeats) == {"n1", "load/n1"}
        assert heartbeats["n1"].startswith(b"[1,120,3,")
        assert heartbeats["load/n1"] == b'{"00000003b4d60021":12.5}'
        assert await log.read_registers(backend, "shares") == {"n1": b'[1,{"3b4d60021":1.5}]'}

    _run_with_sqlite(path, scenario)


def test_a_stored_log_is_read_in_full(tmp_path: Path) -> None:
    async def scenario(backend: log.LogBackend) -> None:
        fleet, offsets = await log.read_topic(backend, "fleet")
        assert fleet == RECORDS | LATER_RECORDS
        assert offsets == OFFSETS
        assert (await log.read_topic(backend, "homes"))[0] == PLACEMENTS
        assert await log.read_registers(backend, "beats") == HEARTBEATS
        assert await log.read_registers(backend, "shares") == SHARES

    _run_with_sqlite(load("log.sql", tmp_path / "log.sqlite3"), scenario)


def test_the_same_log_is_written_to_the_same_cells(tmp_path: Path) -> None:
    path = str(tmp_path / "log.sqlite3")
    _run_with_sqlite(path, write_log)
    assert dump(path) == (DATA / "log.sql").read_text()


def test_each_cell_of_a_stored_log_is_written_again_to_the_same_bytes(tmp_path: Path) -> None:
    kinds = set()

    async def scenario(backend: log.LogBackend) -> None:
        for key, cell in await backend.scan("", "~", 1000):
            kind = "/".join(key.split("/")[1:2])
            kinds.add(kind)
            _, data = values(cell)
            if kind != "r":
                assert log.reencode(key, data) == data, key

    _run_with_sqlite(load("log.sql", tmp_path / "log.sqlite3"), scenario)
    assert kinds == {"h", "k", "w", "c", "m", "r"}


def test_a_stored_log_can_be_appended_to(tmp_path: Path) -> None:
    """Incarnations, offsets and the topic's head continue from the stored state."""

    async def scenario(backend: log.LogBackend) -> None:
        writer = await log.claim_writer(backend, "fleet", "n1", "cccccccccccc")
        assert writer == ("n1", 2, "cccccccccccc")
        assert await log.append_messages(backend, "fleet", writer, ("member/n1", RECORDS["member/n1"])) == (
            17,
        )
        await log.compact(backend, "fleet", 8, 9000.0)
        fleet, offsets = await log.read_topic(backend, "fleet")
        assert fleet == RECORDS | LATER_RECORDS
        assert offsets == OFFSETS | {"member/n1": 17}

    _run_with_sqlite(load("log.sql", tmp_path / "log.sqlite3"), scenario)


OFFSETS = dict(zip(RECORDS, range(5, 12), strict=True)) | {"member/n2": 15, "clear/n2": 14}
LATER_RECORDS = {"member/n2": b'{"name":"n2","life":1}', "clear/n2": b'{"name":"n2","life":1,"drains":[41]}'}


async def write_log(backend: log.LogBackend) -> None:
    """Write a log with every kind of cell, and with superseded messages and tombstones, partly compacted."""
    n1 = await log.claim_writer(backend, "fleet", "n1", "aaaaaaaaaaaa")
    coordinator = "coordinator", 7, "bbbbbbbbbbbb"
    for state in (b"warming", b"ready"):
        value = RECORDS["member/n1"].replace(b"leaving", state)
        await log.append_messages(backend, "fleet", n1, ("member/n1", value))
    await log.append_messages(backend, "fleet", n1, ("ask/n3", RECORDS["ask/n1"].replace(b"n1", b"n3")))
    await log.append_messages(backend, "fleet", n1, ("ask/n3", None))
    await log.append_messages(backend, "fleet", coordinator, *RECORDS.items())
    await log.compact(backend, "fleet", 7, 1000.0)
    ask = RECORDS["ask/n1"].replace(b"n1", b"n4")
    await log.append_messages(backend, "fleet", n1, ("member/n2", b'{"name":"n2","life":0}'), ("ask/n4", ask))
    await log.append_messages(backend, "fleet", n1, ("clear/n2", LATER_RECORDS["clear/n2"]))
    await log.compact(backend, "fleet", 7, 2000.0)
    await log.append_messages(
        backend, "fleet", n1, ("member/n2", LATER_RECORDS["member/n2"]), ("ask/n4", None)
    )
    await log.append_messages(backend, "homes", coordinator, *PLACEMENTS.items())
    for topic, register_values in ("beats", HEARTBEATS), ("shares", SHARES):
        writer = await log.claim_writer(backend, topic, "n1", "dddddddddddd")
        await log.put_registers(backend, topic, writer, register_values)


def _run_with_sqlite(path: str, scenario: Callable[[log.LogBackend], Awaitable[None]]) -> None:
    async def run() -> None:
        backend = log.SqliteLogBackend(path)
        await backend.open()
        try:
            await scenario(backend)
        finally:
            await backend.close()

    asyncio.run(run())
