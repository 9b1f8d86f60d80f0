"""Tests of compaction, and of readers that lag behind it."""

from __future__ import annotations

import pytest
from syrupy.assertion import SnapshotAssertion

from sabledyke.compacted_log.compaction import CompactionPolicy
from sabledyke.compacted_log.reader import (
    CaughtUp,
    KeyRemoved,
    KeyUpdated,
    LogEvent,
    LogReader,
    ReaderRestarted,
)
from sabledyke.compacted_log.records import NewMessage
from sabledyke.errors import LogFullError, StaleWriterError
from tests.compacted_log.support import BACKENDS, POLICY, Setup, run_on

FIRST_PRICES = ("milk=1.20", "bread=2.10", "eggs=3.00", "milk=1.25")
NEXT_PRICES = ("eggs=", "bread=2.20", "salt=0.80", "milk=1.30", "bread=2.30", *["oil=6.00"] * 6)
LAST_PRICES = ("oil=6.10", "salt=")


@pytest.mark.parametrize("backend", BACKENDS)
def test_a_compactor_with_an_older_token_changes_nothing_and_the_newest_messages_stay(backend: str) -> None:
    lag = POLICY.min_lag_messages

    async def scenario(setup: Setup) -> None:
        writer = await setup.log.claim_writer("t", "w")
        for n in range(30):
            await writer.append([NewMessage("k", b"%d" % n)])
        await setup.compact(5)
        offsets = [message.offset for message in await setup.log.read_page("t", 1)]
        assert offsets[-lag:] == list(range(31 - lag, 31))
        assert len(offsets) <= lag + 1
        for n in range(30):
            await writer.append([NewMessage("k", b"%d" % n)])
        with pytest.raises(StaleWriterError):
            await setup.compact(4)
        assert (await setup.log.read_page("t", 1))[-1].offset == 60
        assert await setup.read_with_new_reader() == {"k": b"29"}

    run_on(backend, scenario)


@pytest.mark.parametrize(("retention_ms", "restarts"), [(50.0, True), (1e9, False)])
def test_a_reader_restarts_only_if_it_lagged_for_longer_than_tombstones_are_retained(
    retention_ms: float, *, restarts: bool
) -> None:
    policy = CompactionPolicy(3, retention_ms, 0.1, 1e12)

    async def scenario(setup: Setup) -> None:
        writer = await setup.log.claim_writer("t", "w")
        reader = LogReader()
        await writer.append([NewMessage(key, b"1") for key in "abc"])
        await setup.log.catch_up("t", reader)
        await writer.append([NewMessage("b", None)])
        for n in range(20):
            await writer.append([NewMessage("z", b"%d" % n)])
            setup.now_ms += 20
            await setup.compact(policy=policy)
        events = await setup.log.catch_up("t", reader)
        assert (ReaderRestarted() in events) is restarts
        assert KeyRemoved("b") in events
        assert "b" not in reader.latest
        assert set(reader.latest) == {"a", "c", "z"}
        assert reader.caught_up
        small = LogReader(2)
        with pytest.raises(LogFullError):
            await setup.log.catch_up("t", small)

    run_on("table", scenario)


def test_events_of_a_late_reader_and_of_a_lagging_reader_are_as_approved(snapshot: SnapshotAssertion) -> None:
    """Two readers follow prices by article while the topic is compacted.

    After an intended change, review the difference and run pytest --snapshot-update.
    """
    texts = {backend: "\n".join(_price_events(backend)) for backend in BACKENDS}
    assert texts["etcd"] == texts["table"] == snapshot


def _price_events(backend: str) -> list[str]:
    lines: list[str] = []

    async def scenario(setup: Setup) -> None:
        writer = await setup.log.claim_writer("t", "w")
        early = LogReader()
        late = LogReader()

        async def write(*prices: str) -> None:
            for price in prices:
                key, _, value = price.partition("=")
                await writer.append([NewMessage(key, value.encode() or None)])

        async def read(reader_name: str, reader: LogReader) -> None:
            events = await setup.log.catch_up("t", reader, 3)
            lines.extend(f"{reader_name}: {_describe(event)}" for event in events)

        await write(*FIRST_PRICES)
        await read("early", early)
        await write(*NEXT_PRICES)
        for _ in range(3):  # a pass records its mark, and a later pass removes the tombstones below it
            await setup.compact()
            setup.now_ms += 60
        await read("late", late)
        await write(*LAST_PRICES)
        await read("late", late)
        await read("early", early)
        values = {key: message.value for key, message in early.latest.items()}
        assert values == await setup.read_with_new_reader()

    run_on(backend, scenario)
    return lines


def _describe(event: LogEvent) -> str:
    match event:
        case KeyUpdated(message):
            return f"{message.key} is {(message.value or b'').decode()}"
        case KeyRemoved(key):
            return f"{key} is removed"
        case ReaderRestarted():
            return "reader restarts"
        case CaughtUp(up_to_offset):
            return f"caught up to offset {up_to_offset}"
