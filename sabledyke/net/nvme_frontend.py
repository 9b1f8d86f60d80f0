"""The front for NVMe over TCP: hosts' queues, each a connection with many commands at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from math import inf

from sabledyke import log
from sabledyke.core import Answer, Verdict
from sabledyke.net import streams
from sabledyke.net.client_connection import REQUEST_TIMEOUT_S, ClientConnection, Submit
from sabledyke.net.frontend import Frontend
from sabledyke.protocol.blocks import Translator
from sabledyke.protocol.nvme import Command, Completion, NvmeError, Status, Target


class NvmeClientConnection(ClientConnection):
    """One queue of a host."""

    def __init__(
        self,
        front: Frontend,
        stream: streams.Stream,
        translator: Translator,
        submit: Submit,
        depart: Callable[[int], None],
    ) -> None:
        super().__init__(stream)
        self._front, self._translator, self._submit, self._on_client_gone = front, translator, submit, depart
        self.target = Target(translator.subsystem)
        self._request_ids: dict[int, int] = {}  # by command id: requests in work
        self._flushing = 0
        self._keep_alive_timer: asyncio.TimerHandle | None = None

    @property
    def idle(self) -> bool:
        """See ``Client``."""
        return not self.busy and self.target.idle

    @property
    def busy(self) -> bool:
        """See ``Client``."""
        return bool(self._request_ids or self._flushing)

    def timeout_s(self, idle: float) -> float:
        """See ``Client``; a queue that rests is bounded by its keep-alive time."""
        if self._flushing:
            return self._front.write_timeout_s
        return REQUEST_TIMEOUT_S if self.never_requested or self.target.halfway else inf

    def on_client_gone(self) -> None:
        """See ``Client``; a controller ends with its admin queue, and takes its other queues along."""
        controller, queue = self.target.controller, self.target.queue
        self.target.close()
        rids, self._request_ids = list(self._request_ids.values()), {}
        for rid in rids:
            self._on_client_gone(rid)
        if self._keep_alive_timer is not None:
            self._keep_alive_timer.cancel()
        if controller is not None and queue == 0:
            for other in list(self._front.clients):
                if isinstance(other, NvmeClientConnection) and other.target.controller is controller:
                    other.close()

    async def serve(self) -> None:
        """See ``Client``."""
        try:
            while True:
                data = await self.receive()
                self._front.mark_used(self)
                frames = self.target.frames
                for command, payload in self.target.feed(data):
                    self._accept_command(command, payload)
                self._restart_keep_alive()
                if not self.never_requested and self.target.frames != frames:
                    self.last_activity_s = asyncio.get_running_loop().time()
                self.never_requested = self.never_requested and self.target.controller is None
                await self._flush()  # a host that reads nothing is not read from
        except streams.StreamClosedError:
            self.close()
        except NvmeError as fault:
            log.say("front", f"an NVMe host broke the protocol: {fault}")
            if not self.stream.closed():
                await self._flush_error()
            self.close()

    def _accept_command(self, command: Command, payload: bytes) -> None:
        def done(answer: Answer) -> None:
            if self._request_ids.pop(command.cid, None) is not None and not self.stream.closed():
                self.target.complete(*self._translator.completion(command, answer))
                asyncio.get_running_loop().create_task(self._flush_late())

        if self._front.rejects_requests:  # guards against a host that never pauses holding up the end
            self.target.complete(*self._translator.completion(command, Answer(Verdict.REFUSED)))
            return
        work = self._translator.work(command, payload)
        if not streams.may_access_volume(self.stream, work.volume):
            self.target.complete(Completion(command.cid, Status.ACCESS_DENIED, dnr=True), b"")
            return
        work.present = lambda: not streams.peer_closed(self.stream)
        self._request_ids[command.cid] = self._submit(work, done)

    def _restart_keep_alive(self) -> None:
        """Close once the host has sent nothing for the time it gave at its connect."""
        if self._keep_alive_timer is not None:
            self._keep_alive_timer.cancel()
        if self.target.keep_alive:
            after = self.target.keep_alive / 1000
            self._keep_alive_timer = asyncio.get_running_loop().call_later(after, self._on_keep_alive_timeout)

    def _on_keep_alive_timeout(self) -> None:
        log.say("front", "an NVMe host kept silent past its keep-alive time")
        self.close()

    async def _flush(self) -> None:
        if self.target.output:
            data, self.target.output = bytes(self.target.output), bytearray()
            self._flushing += 1
            self.last_activity_s = asyncio.get_running_loop().time()
            try:
                await self.stream.write(data)
            finally:
                self._flushing -= 1

    async def _flush_late(self) -> None:
        try:
            await self._flush()
        except streams.StreamClosedError:
            self.close()

    async def _flush_error(self) -> None:
        """The reason for the end, for a second at the most."""
        try:
            async with asyncio.timeout(1):
                await self._flush()
        except (streams.StreamClosedError, TimeoutError):
            return
