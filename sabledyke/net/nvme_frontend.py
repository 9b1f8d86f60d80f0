"""The front for NVMe over TCP: hosts' queues, each a connection with many commands at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from math import inf

from sabledyke import log
from sabledyke.core import Answer, AnswerStatus
from sabledyke.net import streams
from sabledyke.net.frontend import ASKING, Client, Front, Submit
from sabledyke.protocol.nvme import Command, Completion, NvmeError, Status, Target
from sabledyke.protocol.nvme.blocks import Translator


class NvmeClient(Client):
    """One queue of a host."""

    def __init__(
        self,
        front: Front,
        stream: streams.Stream,
        translator: Translator,
        submit: Submit,
        depart: Callable[[int], None],
    ) -> None:
        super().__init__(stream)
        self._front, self._translator, self._submit, self._depart = front, translator, submit, depart
        self.target = Target(translator.subsystem)
        self._rids: dict[int, int] = {}  # by command id: requests in work
        self._flushing = 0
        self._expiry: asyncio.TimerHandle | None = None

    @property
    def idle(self) -> bool:
        """See ``Client``."""
        return not self.owed and self.target.idle

    @property
    def owed(self) -> bool:
        """See ``Client``."""
        return bool(self._rids or self._flushing)

    def patience(self, idle: float) -> float:
        """See ``Client``; a queue that rests is bounded by its keep-alive time."""
        if self._flushing:
            return self._front.reading
        return ASKING if self.fresh or self.target.has_partial_input else inf

    def departed(self) -> None:
        """See ``Client``; a controller ends with its admin queue, and takes its other queues along."""
        controller, queue = self.target.controller, self.target.queue_id
        self.target.close()
        rids, self._rids = list(self._rids.values()), {}
        for rid in rids:
            self._depart(rid)
        if self._expiry is not None:
            self._expiry.cancel()
        if controller is not None and queue == 0:
            for other in list(self._front.clients):
                if isinstance(other, NvmeClient) and other.target.controller is controller:
                    other.close()

    async def serve(self) -> None:
        """See ``Client``."""
        try:
            while True:
                data = await self.receive()
                self._front.touch(self)
                frames = self.target.pdus_received
                for command, payload in self.target.feed(data):
                    self._take(command, payload)
                self._watch()
                if not self.fresh and self.target.pdus_received != frames:
                    self.since = asyncio.get_running_loop().time()
                self.fresh = self.fresh and self.target.controller is None
                await self._flush()  # a host that reads nothing is not read from
        except streams.StreamClosedError:
            self.close()
        except NvmeError as fault:
            log.emit("front", f"an NVMe host broke the protocol: {fault}")
            if not self.stream.closed():
                await self._say_last()
            self.close()

    def _take(self, command: Command, payload: bytes) -> None:
        def done(answer: Answer) -> None:
            if self._rids.pop(command.command_id, None) is not None and not self.stream.closed():
                self.target.complete(*self._translator.to_completion(command, answer))
                asyncio.get_running_loop().create_task(self._flush_late())

        if self._front.over:  # guards against a host that never pauses holding up the end
            self.target.complete(*self._translator.to_completion(command, Answer(AnswerStatus.REJECTED)))
            return
        work = self._translator.to_work(command, payload)
        if not streams.permits(self.stream, work.volume):
            self.target.complete(Completion(command.command_id, Status.ACCESS_DENIED, do_not_retry=True), b"")
            return
        work.client_connected = lambda: not streams.departed(self.stream)
        self._rids[command.command_id] = self._submit(work, done)

    def _watch(self) -> None:
        """Close once the host has sent nothing for the time it gave at its connect."""
        if self._expiry is not None:
            self._expiry.cancel()
        if self.target.keep_alive_ms:
            after = self.target.keep_alive_ms / 1000
            self._expiry = asyncio.get_running_loop().call_later(after, self._silent)

    def _silent(self) -> None:
        log.emit("front", "an NVMe host kept silent past its keep-alive time")
        self.close()

    async def _flush(self) -> None:
        if self.target.output:
            data, self.target.output = bytes(self.target.output), bytearray()
            self._flushing += 1
            self.since = asyncio.get_running_loop().time()
            try:
                await self.stream.write(data)
            finally:
                self._flushing -= 1

    async def _flush_late(self) -> None:
        try:
            await self._flush()
        except streams.StreamClosedError:
            self.close()

    async def _say_last(self) -> None:
        """The reason for the end, for a second at the most."""
        try:
            async with asyncio.timeout(1):
                await self._flush()
        except (streams.StreamClosedError, TimeoutError):
            return
