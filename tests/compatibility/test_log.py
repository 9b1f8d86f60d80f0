"""The compacted log: every kind of record by its literal bytes, and a whole file of it.

A reader drops fields that it does not know, so that a renamed field would lose data in silence. Each record
here has no field at its default: read and written again it differs as soon as one field is lost.
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
DEFAULTS = {  # how many fields a reader insists on, and what it fills in for each of the others
    "member/n1": (2, b'["","","warming"]'),
    "plan/p1": (2, b'[1,null,null,"","",false,false,[],false,"",[],0,"running",[],[],""]'),
    "ask/n1": (4, b"[]"),
    "ticket/n1": (5, b'["",false,false,false,""]'),
    "drain/s-1": (5, b'["leaving"]'),
    "clear/n1": (2, b"[[]]"),
    "epoch": (2, b"[]"),
}
FIELDS = [(key, number) for key, value in RECORDS.items() for number in range(len(orjson.loads(value)))]
HOMES = {
    "00000003b4d60021": b'["milano","n2","lodi","n1",2]',
    "00000003b4d60022": b'["lodi","n1","lodi","",0]',
}
BEATS = {"n1": b"[3,120,4,86400123]", "load/n1": b'{"00000003b4d60021":12.5,"00000003b4d60022":0.25}'}
SHARES = {"n1": b'[6,{"3b4d60021":12.5,"3b4d60022":0.25}]'}


@pytest.mark.parametrize("key", RECORDS)
def test_a_record_of_the_fleet_is_read_in_full_and_written_to_the_same_bytes(key: str) -> None:
    record = log.read_record(key, RECORDS[key], 77)
    assert values(record) == [*orjson.loads(RECORDS[key]).values(), 77]
    assert log.write_record(record) == (key, RECORDS[key])


@pytest.mark.parametrize(("key", "number"), FIELDS)
def test_each_field_counts_and_has_its_own_default(key: str, number: int) -> None:
    stored, (required, text) = orjson.loads(RECORDS[key]), DEFAULTS[key]
    defaults = orjson.loads(text)
    assert len(stored) == required + len(defaults)
    name = list(stored)[number]
    shorter = orjson.dumps({field: value for field, value in stored.items() if field != name})
    if number < required:
        with pytest.raises(log.INCOMPLETE):
            log.read_record(key, shorter)
        return
    expected = orjson.dumps({**stored, name: defaults[number - required]})
    assert expected != RECORDS[key]
    assert log.write_record(log.read_record(key, shorter))[1] == expected


@pytest.mark.parametrize("key", RECORDS)
def test_a_field_of_a_later_version_is_dropped(key: str) -> None:
    longer = orjson.dumps({**orjson.loads(RECORDS[key]), "of_a_later_version": 1})
    assert log.write_record(log.read_record(key, longer))[1] == RECORDS[key]


def test_a_record_of_a_later_version_is_passed_over() -> None:
    assert log.read_record("unheard/n1", b'{"name":"n1"}') is None


@pytest.mark.parametrize(
    ("key", "old", "words", "kind"),
    [
        ("member/n1", b"leaving", "ready leaving out warming silent retired", log.STATES),
        ("plan/p1", b"halted", "running halted back done undone", log.STAGES),
        ("drain/s-1", b"warming", "leaving drained warming", log.PHASES),
    ],
)
def test_the_stored_words_of_each_enumeration(key: str, old: bytes, words: str, kind: type[Enum]) -> None:
    assert [member.value for member in kind] == words.split()
    for word in words.split():
        value = RECORDS[key].replace(b'"' + old + b'"', b'"' + word.encode() + b'"')
        assert log.write_record(log.read_record(key, value)) == (key, value)


def test_homes_are_read_in_full_and_written_to_the_same_bytes() -> None:
    homes = log.read_homes(HOMES)
    assert {key: log.write_home(home) for key, home in homes.items()} == HOMES
    assert values(homes["00000003b4d60021"]) == [
        "00000003b4d60021",
        "milano",
        "n2",
        "lodi",
        "n1",
        2,
        77,
    ]


def test_registers_are_read_in_full() -> None:
    assert log.read_beats(BEATS) == {"n1": (3, 120, 4, 86400123)}
    assert log.read_demands(SHARES["n1"]) == (6, {0x3B4D60021: 12.5, 0x3B4D60022: 0.25})


def test_topics_have_their_stored_names() -> None:
    names = log.FLEET_TOPIC, log.BEATS_TOPIC, log.HOMES_TOPIC, log.SHARES_TOPIC
    assert (*names, log.LOAD_PREFIX) == ("fleet", "beats", "homes", "shares", "load/")


def test_a_member_writes_its_record_and_its_registers(tmp_path: Path) -> None:
    path = str(tmp_path / "log.sqlite3")

    async def scenario(shelf: log.Shelf) -> None:
        await log.member_writes(path, {"00000003b4d60021": 12.5})
        await log.sharer_writes(path, 0x3B4D60021)
        fleet, _ = await log.read_topic(shelf, "fleet")
        assert fleet == {
            "member/n1": b'{"name":"n1","life":1,"version":"1.4","site":"lodi","state":"warming"}'
        }
        beats = await log.read_registers(shelf, "beats")
        assert set(beats) == {"n1", "load/n1"}
        assert beats["n1"].startswith(b"[1,120,3,")
        assert beats["load/n1"] == b'{"00000003b4d60021":12.5}'
        assert await log.read_registers(shelf, "shares") == {"n1": b'[1,{"3b4d60021":1.5}]'}

    _on_table(path, scenario)


def test_a_stored_log_is_read_in_full(tmp_path: Path) -> None:
    async def scenario(shelf: log.Shelf) -> None:
        fleet, offsets = await log.read_topic(shelf, "fleet")
        assert fleet == RECORDS | LATER
        assert offsets == OFFSETS
        assert (await log.read_topic(shelf, "homes"))[0] == HOMES
        assert await log.read_registers(shelf, "beats") == BEATS
        assert await log.read_registers(shelf, "shares") == SHARES

    _on_table(load("log.sql", tmp_path / "log.sqlite3"), scenario)


def test_the_same_log_is_written_to_the_same_cells(tmp_path: Path) -> None:
    path = str(tmp_path / "log.sqlite3")
    _on_table(path, write_log)
    assert dump(path) == (DATA / "log.sql").read_text()


def test_each_cell_of_a_stored_log_is_written_again_to_the_same_bytes(tmp_path: Path) -> None:
    kinds = set()

    async def scenario(shelf: log.Shelf) -> None:
        for key, cell in await shelf.scan("", "~", 1000):
            kind = "/".join(key.split("/")[1:2])
            kinds.add(kind)
            _, data = values(cell)
            if kind != "r":
                assert log.rewritten(key, data) == data, key

    _on_table(load("log.sql", tmp_path / "log.sqlite3"), scenario)
    assert kinds == {"h", "k", "w", "c", "m", "r"}


def test_a_stored_log_goes_on(tmp_path: Path) -> None:
    """Its writers' next lives are counted on, its places and its head hold for what is appended."""

    async def scenario(shelf: log.Shelf) -> None:
        writer = await log.claim(shelf, "fleet", "n1", "cccccccccccc")
        assert writer == ("n1", 2, "cccccccccccc")
        assert await log.append_messages(shelf, "fleet", writer, ("member/n1", RECORDS["member/n1"])) == (17,)
        await log.clean(shelf, "fleet", 8, 9000.0)
        fleet, offsets = await log.read_topic(shelf, "fleet")
        assert fleet == RECORDS | LATER
        assert offsets == OFFSETS | {"member/n1": 17}

    _on_table(load("log.sql", tmp_path / "log.sqlite3"), scenario)


OFFSETS = dict(zip(RECORDS, range(5, 12), strict=True)) | {"member/n2": 15, "clear/n2": 14}
LATER = {"member/n2": b'{"name":"n2","life":1}', "clear/n2": b'{"name":"n2","life":1,"drains":[41]}'}


async def write_log(shelf: log.Shelf) -> None:
    """A log with every kind of cell: superseded messages, tombstones, some of them compacted away."""
    n1 = await log.claim(shelf, "fleet", "n1", "aaaaaaaaaaaa")
    coordinator = "coordinator", 7, "bbbbbbbbbbbb"
    for state in (b"warming", b"ready"):
        value = RECORDS["member/n1"].replace(b"leaving", state)
        await log.append_messages(shelf, "fleet", n1, ("member/n1", value))
    await log.append_messages(shelf, "fleet", n1, ("ask/n3", RECORDS["ask/n1"].replace(b"n1", b"n3")))
    await log.append_messages(shelf, "fleet", n1, ("ask/n3", None))
    await log.append_messages(shelf, "fleet", coordinator, *RECORDS.items())
    await log.clean(shelf, "fleet", 7, 1000.0)
    ask = RECORDS["ask/n1"].replace(b"n1", b"n4")
    await log.append_messages(shelf, "fleet", n1, ("member/n2", b'{"name":"n2","life":0}'), ("ask/n4", ask))
    await log.append_messages(shelf, "fleet", n1, ("clear/n2", LATER["clear/n2"]))
    await log.clean(shelf, "fleet", 7, 2000.0)
    await log.append_messages(shelf, "fleet", n1, ("member/n2", LATER["member/n2"]), ("ask/n4", None))
    await log.append_messages(shelf, "homes", coordinator, *HOMES.items())
    for topic, words in ("beats", BEATS), ("shares", SHARES):
        writer = await log.claim(shelf, topic, "n1", "dddddddddddd")
        await log.put_registers(shelf, topic, writer, words)


def _on_table(path: str, scenario: Callable[[log.Shelf], Awaitable[None]]) -> None:
    async def run() -> None:
        shelf = log.TableShelf(path)
        await shelf.open()
        try:
            await scenario(shelf)
        finally:
            await shelf.close()

    asyncio.run(run())
