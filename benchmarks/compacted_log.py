"""Benchmark of compaction: its effect on a late reader and its cost for concurrent appends."""

from __future__ import annotations

import asyncio
import sqlite3
import tempfile
import time
import tracemalloc
from collections.abc import Awaitable
from pathlib import Path
from typing import NamedTuple

from sabledyke.compacted_log.client import CompactedLog, LogWriter
from sabledyke.compacted_log.compaction import CompactionPolicy
from sabledyke.compacted_log.reader import LogReader
from sabledyke.compacted_log.records import (
    Message,
    NewMessage,
    encode_fields,
    encode_message,
    head_key,
    message_key,
    position_key,
)
from sabledyke.compacted_log.sqlite_backend import SqliteBackend
from sabledyke.errors import CompactedLogError
from sabledyke.lease.manager import boottime_ms

TOPIC = "t"
OTHER_TOPIC = "other"
KEY_COUNT = 10_000
KEY_STRIDE = 7919  # a prime that spreads consecutive messages over the keys
VALUE = b"x" * 100
POLL_MESSAGES = 2000
BUSY_TIMEOUT_S = 30.0
BASELINE_APPENDS = 200
POLICY = CompactionPolicy(
    min_lag_messages=1000, tombstone_retention_ms=1e12, min_dirty_ratio=0.5, max_bytes_per_s=1e12
)
INSERT = "INSERT INTO board VALUES (?, 1, ?)"


class MessagePosition(NamedTuple):
    """Offset and size of the last message of a key."""

    offset: int
    size_bytes: int


class CompactionResult(NamedTuple):
    """Durations of one compaction and of the appends that ran concurrently."""

    wall_s: float
    cpu_s: float
    append_s: list[float]


async def measure_log(message_count: int) -> None:
    """Print the catch-up time of a late reader before and after compaction, and the cost of compaction."""
    with tempfile.TemporaryDirectory() as folder:
        path = str(Path(folder) / "board.sqlite3")
        backend = SqliteBackend(path, BUSY_TIMEOUT_S)
        await backend.open()
        fill(path, message_count)
        log = CompactedLog(backend)
        join_s = await measure_join(log)
        other = CompactedLog(SqliteBackend(path, BUSY_TIMEOUT_S))
        writer = await other.claim_writer(OTHER_TOPIC, "w")
        baseline_append_s = [await time_s(append(writer, number)) for number in range(BASELINE_APPENDS)]
        size_bytes = (await log.head(TOPIC)).size_bytes
        compaction = await measure_compaction(log, writer)
        compacted_join_s = await measure_join(log)
        print(
            f"late join: {join_s:.2f} s over {message_count} messages, {compacted_join_s:.3f} s cleaned:"
            f" {join_s / compacted_join_s:.0f} times"
        )
        print(
            f"cleaning beside appends: {compaction.wall_s:.1f} s,"
            f" {size_bytes / compaction.wall_s / 1e6:.2f} MB/s, {compaction.cpu_s:.1f} s of CPU in all"
        )
        print(f"a reader keeps {await reader_bytes_per_key(log):.0f} bytes a key of {len(VALUE)} bytes")
        print(
            f"an append's p99: {p99(baseline_append_s) * 1000:.1f} ms alone,"
            f" {p99(compaction.append_s) * 1000:.1f} ms beside cleaning ({len(compaction.append_s)} appends)"
        )
        await backend.close()
        await other.backend.close()


def fill(path: str, message_count: int) -> None:
    """Write a topic of ``message_count`` messages over ``KEY_COUNT`` keys directly to the file.

    Appending them through the log would take longer than all measurements.
    """
    positions: dict[str, MessagePosition] = {}
    size_bytes = 0
    dirty_bytes = 0
    database = sqlite3.connect(path)
    with database:
        for offset in range(1, message_count + 1):
            key = f"article-{offset * KEY_STRIDE % KEY_COUNT}"
            message = Message(offset, key, VALUE, "w", 1, offset)
            database.execute(INSERT, (message_key(TOPIC, offset), encode_message(message)))
            if key in positions:
                dirty_bytes += positions[key].size_bytes
            positions[key] = MessagePosition(offset, message.size_bytes)
            size_bytes += message.size_bytes
        for key, position in positions.items():
            is_tombstone = False
            fields = encode_fields(position.offset, position.size_bytes, is_tombstone)
            database.execute(INSERT, (position_key(TOPIC, key), fields))
        head = encode_fields(message_count + 1, 0, size_bytes, dirty_bytes, 0)
        database.execute(INSERT, (head_key(TOPIC), head))
    database.close()


async def measure_join(log: CompactedLog) -> float:
    """Return the catch-up time of a new reader in seconds."""
    began_s = time.perf_counter()
    reader = await read_all(log)
    assert len(reader.latest) == KEY_COUNT
    return time.perf_counter() - began_s


async def reader_bytes_per_key(log: CompactedLog) -> float:
    """Return the memory in bytes per key that a caught-up reader retains."""
    tracemalloc.start()
    reader = await read_all(log)
    retained_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return retained_bytes / len(reader.latest)


async def read_all(log: CompactedLog) -> LogReader:
    """Poll the topic until a new reader has caught up; return the reader."""
    reader = LogReader()
    while not reader.caught_up:
        await log.poll(TOPIC, reader, POLL_MESSAGES)
    return reader


async def measure_compaction(log: CompactedLog, writer: LogWriter) -> CompactionResult:
    """Compact the topic, and append to another topic at the same time."""
    task = asyncio.create_task(compact(log))
    append_s: list[float] = []
    wall_before_s = time.perf_counter()
    cpu_before_s = time.process_time()
    while not task.done():
        append_s.append(await time_s(append(writer, 0)))
    wall_s = time.perf_counter() - wall_before_s
    return CompactionResult(wall_s, time.process_time() - cpu_before_s, append_s)


async def compact(log: CompactedLog) -> None:
    """Compact the topic; as in service, retry if the database is locked."""
    while True:
        try:
            await log.compact(TOPIC, POLICY, lambda: 1, boottime_ms)
            return
        except CompactedLogError:
            continue


async def append(writer: LogWriter, number: int) -> None:
    """Append one message."""
    await writer.append([NewMessage(f"k{number}", VALUE)])


async def time_s(call: Awaitable[object]) -> float:
    """Return the duration of a call in seconds."""
    began_s = time.perf_counter()
    await call
    return time.perf_counter() - began_s


def p99(values: list[float]) -> float:
    """Return the 99th percentile of the values."""
    return sorted(values)[len(values) * 99 // 100]
