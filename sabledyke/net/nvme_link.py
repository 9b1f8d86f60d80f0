"""Connections to boxes that speak NVMe over TCP: one association a box, one command a time on each queue."""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Awaitable, Callable

from sabledyke import log
from sabledyke.core import AttemptResult, ClientRequest
from sabledyke.net import streams
from sabledyke.net.connection_pool import Address, BadPeer, Connect, plain
from sabledyke.policy.events import Outcome
from sabledyke.policy.nodes import NodeId
from sabledyke.policy.settings import Settings
from sabledyke.protocol.nvme import (
    DYNAMIC_CONTROLLER_ID,
    MAX_IO_QUEUES,
    AdminOpcode,
    Command,
    Completion,
    HostIdentity,
    Initiator,
    NvmeError,
    Property,
    Status,
    connect_command,
    property_get_command,
    property_set_command,
)
from sabledyke.protocol.nvme.blocks import NoPlaceError, Translator

KEEP_ALIVE = 15000  # ms without a command after which a box may end the association
ENABLE = 1 | 6 << 16 | 4 << 20  # CC: enabled, entries of 64 and 16 bytes


class _Channel:
    """One queue's connection."""

    def __init__(self, stream: streams.Stream) -> None:
        self.stream, self.inbox, self.machine = stream, streams.Inbox(stream), Initiator()
        self.written: asyncio.Future[None] | None = None

    async def run(
        self, command: Command, payload: bytes = b"", *, inside: bool = False
    ) -> tuple[Completion, bytes]:
        """One command; a StreamClosedError or BadPeer where it breaks."""
        self.written = None
        try:
            self.machine.submit(command, payload, in_capsule=inside)
            while True:
                if self.machine.output:
                    data, self.machine.output = bytes(self.machine.output), bytearray()
                    written = asyncio.ensure_future(self.stream.write(data))
                    self.written = self.written or written
                for done in self.machine.feed(await self.inbox.read()):
                    return done
        except NvmeError as fault:
            streams.abort(self.stream)
            raise BadPeer(str(fault)) from None

    async def must(self, command: Command, payload: bytes = b"") -> int:
        """One command of the set-up: its result, or a BadPeer."""
        done, _ = await self.run(command, payload, inside=bool(payload))
        if done.status != Status.OK:
            streams.abort(self.stream)
            raise BadPeer(f"status {done.status:#x} to command {command.opcode:#x}")
        return done.result


class NvmeLink(streams.StreamLink):
    """See ``pool.Link``: an I/O queue."""

    def __init__(self, channel: _Channel, translator: Translator) -> None:
        super().__init__(channel.stream, channel.inbox)
        self._channel, self._translator = channel, translator
        self.reusable = True
        self._work: ClientRequest | None = None

    @property
    def may_have_run(self) -> bool:
        """A read's command that was written, or any byte of a write's data.

        Guards against a write that is cut off mid-transfer: a box may have begun to store what it has.
        """
        written = self._channel.written
        if self._work is None or written is None:
            return False
        if self._work.write:
            return self._channel.machine.write_data_sent
        return written.done() and written.exception() is None

    async def exchange(self, work: ClientRequest, timeout: float) -> AttemptResult:
        """See ``pool.Link``; the time-out is the pool's, NVMe states none."""
        self.reusable, self._work, self._channel.written = False, work, None
        try:
            command, payload = self._translator.to_node_command(work)
        except NoPlaceError as fault:
            log.emit("box", str(fault))
            self.reusable = True
            return AttemptResult(Outcome.ERROR, False)
        done, data = await self._channel.run(command, payload)
        self.reusable = not self._channel.machine.has_surplus_input
        return self._translator.from_node_completion(work, done, data)


Open = Callable[[Address, float], Awaitable[streams.Stream]]  # within so many milliseconds


class _Association:
    """The admin queue of a box, and the numbers of its I/O queues."""

    def __init__(self, address: Address, nqn: str, host: HostIdentity, connect: Open) -> None:
        self.address, self._nqn, self._host, self._connect = address, nqn, host, connect
        self._admin: _Channel | None = None
        self._cntlid = 0
        self._most = 0
        self._last = 0
        self._queues: dict[int, streams.Stream] = {}
        self._lock = asyncio.Lock()
        self._keeping: asyncio.Task[None] | None = None
        self.left = False  # the box is gone from the list

    async def queue(self, timeout: float) -> _Channel:
        """A new I/O queue."""
        async with self._lock:
            if self._admin is None or self._admin.stream.closed():
                await self._associate(timeout)
            number = self._number()
            channel = _Channel(await self._connect(self.address, timeout))
            self._queues[number] = channel.stream
        try:
            await channel.must(*connect_command(self._nqn, number, self._cntlid, self._host, 0))
        except BaseException:
            streams.abort(channel.stream)
            raise
        return channel

    def _number(self) -> int:
        """The queue number unused for longest: a box may take a while to see that a queue is gone."""
        for _ in range(self._most):
            self._last = self._last % self._most + 1
            if self._last not in self._queues or self._queues[self._last].closed():
                return self._last
        raise BadPeer("no queue to spare")

    async def _associate(self, timeout: float) -> None:
        admin = _Channel(await self._connect(self.address, timeout))
        try:
            self._cntlid = (
                await admin.must(
                    *connect_command(self._nqn, 0, DYNAMIC_CONTROLLER_ID, self._host, KEEP_ALIVE)
                )
                & 0xFFFF
            )
            await admin.must(property_get_command(Property.CAP))
            await admin.must(property_set_command(Property.CC, ENABLE))
            while not await admin.must(property_get_command(Property.CSTS)) & 1:
                await asyncio.sleep(0.01)
            wanted = (MAX_IO_QUEUES - 1) * 0x10001
            granted = await admin.must(Command(AdminOpcode.SET_FEATURES, 0, dwords=(7, wanted, 0, 0, 0, 0)))
        except BaseException:
            streams.abort(admin.stream)
            raise
        self._most = min(granted & 0xFFFF, granted >> 16, MAX_IO_QUEUES - 1) + 1
        self._queues, self._admin = {}, admin
        if self._keeping is not None:
            self._keeping.cancel()
        self._keeping = asyncio.get_running_loop().create_task(self._keep(admin))

    async def _keep(self, admin: _Channel) -> None:
        """Keep Alive, until the admin queue breaks; what hangs on it breaks with it."""
        try:
            while True:
                await asyncio.sleep(KEEP_ALIVE / 3000)
                if self.left and all(stream.closed() for stream in self._queues.values()):
                    return streams.abort(admin.stream)
                async with asyncio.timeout(KEEP_ALIVE / 3000):
                    await admin.must(Command(AdminOpcode.KEEP_ALIVE, 0))
        except (streams.StreamClosedError, BadPeer, OSError):
            streams.abort(admin.stream)

    def close(self) -> None:
        """Leave the box."""
        if self._keeping is not None:
            self._keeping.cancel()
        if self._admin is not None:
            streams.abort(self._admin.stream)


class NvmeDialer:
    """Opens I/O queues."""

    def __init__(
        self,
        settings: Settings,
        translator: Translator,
        boxes: dict[NodeId, str],
        host_nqn: str,
        connect: Connect = plain,
        slack: float = 0.0,
    ) -> None:
        self._connect, self._slack = connect, slack  # ms that the way may take beyond a connection
        self.settings, self._translator, self._boxes = settings, translator, boxes
        self._host = HostIdentity(uuid.uuid4().bytes, host_nqn)
        self._associations: dict[NodeId, _Association] = {}

    async def dial(self, node: NodeId, address: Address, patience: float) -> NvmeLink:
        """See ``pool.Dial``."""
        known = self._associations.get(node)
        if known is None or known.address != address:
            if known is not None:
                known.close()
            known = self._associations[node] = _Association(
                address,
                self._boxes[node],
                self._host,
                lambda where, ms: self._connect(node, where, self.settings.connect_timeout_ms, ms),
            )
        within = min(patience, self.settings.connect_timeout_ms + self._slack)
        async with asyncio.timeout(within / 1000):
            channel = await known.queue(within)
        return NvmeLink(channel, self._translator)

    def forget(self, node: NodeId) -> None:
        """The box is gone from the list: leave it once what is out there has ended.

        Guards against keeping an association, and its descriptor, with every box there ever was.
        """
        association = self._associations.pop(node, None)
        if association is not None:
            association.left = True

    def close(self) -> None:
        """Leave all boxes."""
        for association in self._associations.values():
            association.close()
