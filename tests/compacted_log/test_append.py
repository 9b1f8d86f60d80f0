"""Tests of the conditions of appends, incarnations of writers, retries and limits."""

from __future__ import annotations

import asyncio

import pytest

from sabledyke.compacted_log.client import CompactedLog, LogWriter
from sabledyke.compacted_log.records import (
    MAX_APPEND_MESSAGES,
    MAX_KEY_BYTES,
    MAX_VALUE_BYTES,
    NewMessage,
    message_key,
)
from sabledyke.errors import LogFullError, StaleWriterError, WriteConflictError
from tests.compacted_log.support import BACKENDS, Setup, run_on

INVALID_APPENDS: tuple[list[NewMessage], ...] = (
    [],
    [NewMessage("", b"")],
    [NewMessage("k" * (MAX_KEY_BYTES + 1), b"")],
    [NewMessage("k", b"x" * (MAX_VALUE_BYTES + 1))],
    [NewMessage("k", b""), NewMessage("k", b"")],
    [NewMessage(str(n), b"") for n in range(MAX_APPEND_MESSAGES + 1)],
)


@pytest.mark.parametrize("backend", BACKENDS)
def test_appends_check_offsets_and_incarnations_and_retries_are_written_once(backend: str) -> None:
    async def scenario(setup: Setup) -> None:
        log = setup.log
        writer = await log.claim_writer("t", "w")
        last_offset = await _check_conditions(writer)
        setup.backend.answers_to_lose = 2  # the append is written unanswered; its retries do not write again
        (offset,) = await writer.append([NewMessage("k", b"3")])
        assert offset == last_offset + 1
        assert [message.value for message in await log.read_page("t", offset)] == [b"3"]
        later = await log.claim_writer("t", "w")
        for stale in (writer, LogWriter(log, "t", writer.identity)):
            with pytest.raises(StaleWriterError):
                await stale.append([NewMessage("k", b"4")])
        await later.append([NewMessage("k", b"5")])
        await _check_given_incarnations(log)
        for invalid in INVALID_APPENDS:
            with pytest.raises(LogFullError):
                await later.append(invalid)

    run_on(backend, scenario)


async def _check_conditions(writer: LogWriter) -> int:
    (first,) = await writer.append([NewMessage("k", b"1", 0)])
    with pytest.raises(WriteConflictError):
        await writer.append([NewMessage("k", b"2", 0)])
    with pytest.raises(WriteConflictError):  # the offset expected of another key is wrong
        await writer.append([NewMessage("l", b"2")], {"k": first + 7})
    (second,) = await writer.append([NewMessage("k", b"2", first)], {"k": first}, first + 1)
    with pytest.raises(WriteConflictError):  # the topic has advanced beyond the expected end
        await writer.append([NewMessage("k", b"3")], expected_end=second)
    return second


async def _check_given_incarnations(log: CompactedLog) -> None:
    older, newer, same_as_newer = (log.writer("t", "c", incarnation) for incarnation in (7, 9, 9))
    await older.append([NewMessage("x", b"")])
    await newer.append([NewMessage("x", b"")])
    for stale in (older, same_as_newer):  # an older token, and the same token used by another process
        with pytest.raises(StaleWriterError):
            await stale.append([NewMessage("x", b"")])


@pytest.mark.parametrize("backend", BACKENDS)
def test_concurrent_writers_get_distinct_offsets(backend: str) -> None:
    async def scenario(setup: Setup) -> None:
        writers = [await setup.log.claim_writer("t", f"w{i}") for i in range(6)]

        async def write(writer: LogWriter, i: int) -> list[int]:
            return [(await writer.append([NewMessage(f"{i}", b"%d" % n)]))[0] for n in range(10)]

        given = await asyncio.gather(*(write(writer, i) for i, writer in enumerate(writers)))
        assert sorted(offset for offsets in given for offset in offsets) == list(range(1, 61))
        assert await setup.read_with_new_reader() == {f"{i}": b"9" for i in range(6)}

    run_on(backend, scenario)


def test_message_keys_sort_in_the_order_of_offsets() -> None:
    offsets = (1, 15, 16, 255, 4096)
    keys = [message_key("t", offset) for offset in offsets]
    assert sorted(keys) == keys
