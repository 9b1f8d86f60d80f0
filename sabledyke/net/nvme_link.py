"""Connections to boxes that speak NVMe over TCP: one association a box, one command a time on each queue."""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Awaitable, Callable

from sabledyke import log
from sabledyke.core import Ended, Work
from sabledyke.net import streams
from sabledyke.net.connection_pool import Address, Connect, PeerProtocolError, connect_plain
from sabledyke.policy import interface as api
from sabledyke.policy.interface import Outcome
from sabledyke.protocol.blocks import NotHere, Translator
from sabledyke.protocol.nvme import (
    DYNAMIC,
    MAX_QUEUES,
    Admin,
    Command,
    Completion,
    Initiator,
    NvmeError,
    Prop,
    Status,
    connect,
    property_get,
    property_set,
)

KEEP_ALIVE_MS = 15000  # ms without a command after which a box may end the association
CONTROLLER_ENABLE = 1 | 6 << 16 | 4 << 20  # CC: enabled, entries of 64 and 16 bytes


class _Channel:
    """One queue's connection."""

    def __init__(self, stream: streams.Stream) -> None:
        self.stream, self.read_ahead, self.machine = stream, streams.ReadAhead(stream), Initiator()
        self.written: asyncio.Future[None] | None = None

    async def execute(
        self, command: Command, payload: bytes = b"", *, inside: bool = False
    ) -> tuple[Completion, bytes]:
        """One command; a StreamClosedError or BadPeer where it breaks."""
        self.written = None
        try:
            self.machine.submit(command, payload, inside=inside)
            while True:
                if self.machine.output:
                    data, self.machine.output = bytes(self.machine.output), bytearray()
                    written = asyncio.ensure_future(self.stream.write(data))
                    self.written = self.written or written
                for done in self.machine.feed(await self.read_ahead.read()):
                    return done
        except NvmeError as fault:
            streams.abort(self.stream)
            raise PeerProtocolError(str(fault)) from None

    async def execute_or_fail(self, command: Command, payload: bytes = b"") -> int:
        """One command of the set-up: its result, or a BadPeer."""
        done, _ = await self.execute(command, payload, inside=bool(payload))
        if done.status != Status.OK:
            streams.abort(self.stream)
            raise PeerProtocolError(f"status {done.status:#x} to command {command.opcode:#x}")
        return done.result


class NvmeLink(streams.StreamLink):
    """See ``pool.Link``: an I/O queue."""

    def __init__(self, channel: _Channel, translator: Translator) -> None:
        super().__init__(channel.stream, channel.read_ahead)
        self._channel, self._translator = channel, translator
        self.reusable = True
        self._work: Work | None = None

    @property
    def may_have_run(self) -> bool:
        """A read's command that was written, or any byte of a write's data.

        Guards against a write that is cut off mid-transfer: a box may have begun to store what it has.
        """
        written = self._channel.written
        if self._work is None or written is None:
            return False
        if self._work.write:
            return self._channel.machine.data_out
        return written.done() and written.exception() is None

    async def exchange(self, work: Work, timeout: float) -> Ended:
        """See ``pool.Link``; the time-out is the pool's, NVMe states none."""
        self.reusable, self._work, self._channel.written = False, work, None
        try:
            command, payload = self._translator.to_box(work)
        except NotHere as fault:
            log.say("box", str(fault))
            self.reusable = True
            return Ended(Outcome.ERROR, False)
        done, data = await self._channel.execute(command, payload)
        self.reusable = not self._channel.machine.surplus
        return self._translator.from_box(work, done, data)


OpenStream = Callable[[Address, float], Awaitable[streams.Stream]]  # within so many milliseconds


class _Association:
    """The admin queue of a box, and the numbers of its I/O queues."""

    def __init__(self, address: Address, nqn: str, host: tuple[bytes, str], connect: OpenStream) -> None:
        self.address, self._nqn, self._host, self._connect = address, nqn, host, connect
        self._admin: _Channel | None = None
        self._cntlid = 0
        self._max_queues = 0
        self._last_queue = 0
        self._queues: dict[int, streams.Stream] = {}
        self._lock = asyncio.Lock()
        self._keep_alive_task: asyncio.Task[None] | None = None
        self.node_removed = False  # the box is gone from the list

    async def queue(self, timeout: float) -> _Channel:
        """A new I/O queue."""
        async with self._lock:
            if self._admin is None or self._admin.stream.closed():
                await self._associate(timeout)
            number = self._next_queue_number()
            channel = _Channel(await self._connect(self.address, timeout))
            self._queues[number] = channel.stream
        try:
            await channel.execute_or_fail(*connect(self._nqn, number, self._cntlid, self._host, 0))
        except BaseException:
            streams.abort(channel.stream)
            raise
        return channel

    def _next_queue_number(self) -> int:
        """The queue number unused for longest: a box may take a while to see that a queue is gone."""
        for _ in range(self._max_queues):
            self._last_queue = self._last_queue % self._max_queues + 1
            if self._last_queue not in self._queues or self._queues[self._last_queue].closed():
                return self._last_queue
        raise PeerProtocolError("no queue to spare")

    async def _associate(self, timeout: float) -> None:
        admin = _Channel(await self._connect(self.address, timeout))
        try:
            self._cntlid = (
                await admin.execute_or_fail(*connect(self._nqn, 0, DYNAMIC, self._host, KEEP_ALIVE_MS))
                & 0xFFFF
            )
            await admin.execute_or_fail(property_get(Prop.CAP))
            await admin.execute_or_fail(property_set(Prop.CC, CONTROLLER_ENABLE))
            while not await admin.execute_or_fail(property_get(Prop.CSTS)) & 1:
                await asyncio.sleep(0.01)
            wanted = (MAX_QUEUES - 1) * 0x10001
            granted = await admin.execute_or_fail(
                Command(Admin.SET_FEATURES, 0, cdw10=(7, wanted, 0, 0, 0, 0))
            )
        except BaseException:
            streams.abort(admin.stream)
            raise
        self._max_queues = min(granted & 0xFFFF, granted >> 16, MAX_QUEUES - 1) + 1
        self._queues, self._admin = {}, admin
        if self._keep_alive_task is not None:
            self._keep_alive_task.cancel()
        self._keep_alive_task = asyncio.get_running_loop().create_task(self._send_keep_alives(admin))

    async def _send_keep_alives(self, admin: _Channel) -> None:
        """Keep Alive, until the admin queue breaks; what hangs on it breaks with it."""
        try:
            while True:
                await asyncio.sleep(KEEP_ALIVE_MS / 3000)
                if self.node_removed and all(stream.closed() for stream in self._queues.values()):
                    return streams.abort(admin.stream)
                async with asyncio.timeout(KEEP_ALIVE_MS / 3000):
                    await admin.execute_or_fail(Command(Admin.KEEP_ALIVE, 0))
        except (streams.StreamClosedError, PeerProtocolError, OSError):
            streams.abort(admin.stream)

    def close(self) -> None:
        """Leave the box."""
        if self._keep_alive_task is not None:
            self._keep_alive_task.cancel()
        if self._admin is not None:
            streams.abort(self._admin.stream)


class NvmeDialer:
    """Opens I/O queues."""

    def __init__(
        self,
        settings: api.Settings,
        translator: Translator,
        boxes: dict[api.NodeId, str],
        host_nqn: str,
        connect: Connect = connect_plain,
        slack: float = 0.0,
    ) -> None:
        self._connect, self._slack = connect, slack  # ms that the way may take beyond a connection
        self.settings, self._translator, self._nqn_by_node = settings, translator, boxes
        self._host = uuid.uuid4().bytes, host_nqn
        self._associations: dict[api.NodeId, _Association] = {}

    async def dial(self, node: api.NodeId, address: Address, patience: float) -> NvmeLink:
        """See ``pool.Dial``."""
        known = self._associations.get(node)
        if known is None or known.address != address:
            if known is not None:
                known.close()
            known = self._associations[node] = _Association(
                address,
                self._nqn_by_node[node],
                self._host,
                lambda where, ms: self._connect(node, where, self.settings.connect_timeout, ms),
            )
        within = min(patience, self.settings.connect_timeout + self._slack)
        async with asyncio.timeout(within / 1000):
            channel = await known.queue(within)
        return NvmeLink(channel, self._translator)

    def forget(self, node: api.NodeId) -> None:
        """The box is gone from the list: leave it once what is out there has ended.

        Guards against keeping an association, and its descriptor, with every box there ever was.
        """
        association = self._associations.pop(node, None)
        if association is not None:
            association.node_removed = True

    def close(self) -> None:
        """Leave all boxes."""
        for association in self._associations.values():
            association.close()
