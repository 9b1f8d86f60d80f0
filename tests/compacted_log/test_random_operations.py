"""Compares the log with a plain dict under random operations and faults."""

from __future__ import annotations

from random import Random

import pytest

from sabledyke.compacted_log import client
from sabledyke.compacted_log.client import LogWriter
from sabledyke.compacted_log.reader import KeyRemoved, KeyUpdated, LogReader
from sabledyke.compacted_log.records import NewMessage
from sabledyke.errors import CompactedLogError
from tests.compacted_log.support import BACKENDS, POLICY, ProcessCrashError, Setup, run_on

KEYS = "abcdefghij"
READERS = 3
STEPS = 160


class RandomOperations:
    """Random appends, tombstones, compactions that crash at a random commit, and reads by readers that lag.

    Answers of appends get lost, and are retried by the log or by the writer.
    """

    def __init__(self, setup: Setup, random: Random, writer: LogWriter) -> None:
        self.setup = setup
        self.random = random
        self.writer = writer
        self.model: dict[str, bytes] = {}
        self.last_offsets: dict[str, int] = {}
        self.offsets: list[int] = []
        self.readers = [LogReader() for _ in range(READERS)]
        self.views: list[dict[str, bytes | None]] = [{} for _ in self.readers]

    async def run_step(self, step: int) -> None:
        self.setup.now_ms += self.random.random() * 20
        match self.random.choice("aaaaaddcr"):
            case "a":
                await self._append(step, tombstones=False)
            case "d":
                await self._append(step, tombstones=True)
            case "c":
                await self._compact_and_crash()
            case "r":
                await self._read(step)
        # Compaction may delete the position of a removed key; its last offset is then no longer expected.
        self.last_offsets = {key: at for key, at in self.last_offsets.items() if key in self.model}

    async def _append(self, step: int, *, tombstones: bool) -> None:
        new_messages = [
            self._make_message(key, step, tombstone=tombstones)
            for key in self.random.sample(KEYS, self._up_to(3))
        ]
        self.setup.backend.answers_to_lose = int(self.random.random() < 0.2)
        try:
            offsets = await self.writer.append(new_messages)
        except CompactedLogError:
            assert not client.RETRY_TIMEOUT_S
            offsets = await self.writer.append(new_messages)
        for new_message, offset in zip(new_messages, offsets, strict=True):
            self.last_offsets[new_message.key] = offset
            self.model.pop(new_message.key, None)
            if new_message.value is not None:
                self.model[new_message.key] = new_message.value
        self.offsets += offsets

    def _make_message(self, key: str, step: int, *, tombstone: bool) -> NewMessage:
        value = None if tombstone else b"%d" % step + b"x" * self.random.randint(0, 9)
        return NewMessage(key, value, self.last_offsets.get(key) if self.random.random() < 0.3 else None)

    def _up_to(self, limit: int) -> int:
        return self.random.randint(1, limit)

    async def _compact_and_crash(self) -> None:
        self.setup.backend.commits_before_crash = self.random.randint(0, 6)
        self.setup.backend.crash_commit_is_written = self.random.random() < 0.5
        try:
            await self.setup.compact()
        except ProcessCrashError:
            self.setup.tokens.append(self.setup.tokens[-1] + 1)  # the next compaction has a later token
        self.setup.backend.commits_before_crash = -1

    async def _read(self, step: int) -> None:
        index = self.random.randrange(READERS)
        view = self.views[index]
        for event in await self.setup.log.catch_up("t", self.readers[index], self._up_to(5)):
            if isinstance(event, KeyUpdated):
                view[event.message.key] = event.message.value
            elif isinstance(event, KeyRemoved):
                view.pop(event.key, None)
        assert view == self.model, (step, index)


@pytest.mark.parametrize("backend", BACKENDS)
@pytest.mark.parametrize("seed", range(6))
def test_the_log_matches_a_dict_when_compactors_crash_and_answers_are_lost(
    backend: str, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(client, "RETRY_TIMEOUT_S", 5.0 * (seed % 2))

    async def scenario(setup: Setup) -> None:
        operations = RandomOperations(setup, Random(seed), await setup.log.claim_writer("t", "w"))
        for step in range(STEPS):
            await operations.run_step(step)
        model = operations.model
        offsets = operations.offsets
        assert offsets == sorted(set(offsets))  # offsets only increase, and none is assigned twice
        for _ in range(3):
            assert await setup.read_with_new_reader() == model
            setup.now_ms += 100
            await setup.compact()
        messages = await setup.log.read_page("t", 1)
        # The topic retains the latest message of each key, the newest messages and few others.
        assert len(messages) <= len(model) + POLICY.min_lag_messages + 10
        head = await setup.log.head("t")
        assert head.size_bytes == sum(message.size_bytes for message in messages)
        assert head.dirty_bytes >= 0

    run_on(backend, scenario)
