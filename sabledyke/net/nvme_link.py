"""Connections to storage nodes that speak NVMe over TCP.

There is one association with a node, and one command at a time on each of its I/O queues.
"""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Awaitable, Callable

from sabledyke import log
from sabledyke.core import AttemptResult, ClientRequest
from sabledyke.net import streams
from sabledyke.net.link import Connect, PeerProtocolError, connect_plain
from sabledyke.policy.events import Outcome
from sabledyke.policy.nodes import NodeId
from sabledyke.policy.settings import Settings
from sabledyke.protocol.discovery import Address
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
from sabledyke.protocol.nvme.blocks import Translator, UnmappableRequestError

KEEP_ALIVE_MS = 15000  # without a command, after which a node may end the association
KEEP_ALIVE_INTERVAL_S = KEEP_ALIVE_MS / 3000  # between Keep Alive commands, and for the answer to one
READY_POLL_INTERVAL_S = 0.01  # between checks whether a controller is ready
CONTROLLER_ENABLE = 1 | 6 << 16 | 4 << 20  # CC: enabled, entries of 64 and 16 bytes

# Opens a stream to an address within so many milliseconds.
OpenStream = Callable[[Address, float], Awaitable[streams.Stream]]


class NvmeDialer:
    """Opens I/O queues; keeps one association with each storage node.

    Args:
        settings: The settings in force.
        translator: Translates requests to commands.
        nqn_by_node: The name of each node's subsystem.
        host_nqn: The name of this host.
        connect: Opens a stream to a node.
        slack_ms: What ``connect`` may take beyond the connection itself.
    """

    def __init__(
        self,
        settings: Settings,
        translator: Translator,
        nqn_by_node: dict[NodeId, str],
        host_nqn: str,
        connect: Connect = connect_plain,
        slack_ms: float = 0.0,
    ) -> None:
        self.settings = settings
        self._translator = translator
        self.nqn_by_node = nqn_by_node
        self._host = HostIdentity(uuid.uuid4().bytes, host_nqn)
        self._connect = connect
        self._slack_ms = slack_ms
        self._associations: dict[NodeId, _Association] = {}

    async def dial(self, node: NodeId, address: Address, timeout_ms: float) -> NvmeLink:
        """See ``link.Dial``."""
        association = self._associations.get(node)
        if association is None or association.address != address:
            if association is not None:
                association.close()
            association = self._associate(node, address)
        queue_timeout_ms = min(timeout_ms, self.settings.connect_timeout_ms + self._slack_ms)
        async with asyncio.timeout(queue_timeout_ms / 1000):
            channel = await association.open_queue(queue_timeout_ms)
        return NvmeLink(channel, self._translator)

    def forget(self, node: NodeId) -> None:
        """End the association with a node that is removed, once what is in flight there has ended.

        Guards against keeping an association, and its descriptor, with every node there ever was.
        """
        association = self._associations.pop(node, None)
        if association is not None:
            association.node_removed = True

    def close(self) -> None:
        """End all associations."""
        for association in self._associations.values():
            association.close()

    def _associate(self, node: NodeId, address: Address) -> _Association:
        association = _Association(
            address,
            self.nqn_by_node[node],
            self._host,
            lambda where, ms: self._connect(node, where, self.settings.connect_timeout_ms, ms),
        )
        self._associations[node] = association
        return association


class NvmeLink(streams.StreamLink):
    """An I/O queue; see ``link.Link``."""

    def __init__(self, channel: _Channel, translator: Translator) -> None:
        super().__init__(channel.stream, channel.read_ahead)
        self.reusable = True
        self._channel = channel
        self._translator = translator
        self._work: ClientRequest | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether a read's command, or any byte of a write's data, was sent.

        Guards against a write that is cut off mid-transfer: a node may have begun to store what it has.
        """
        written = self._channel.written
        if self._work is None or written is None:
            return False
        if self._work.write:
            return self._channel.initiator.write_data_sent
        return written.done() and written.exception() is None

    async def exchange(self, work: ClientRequest, _timeout: float) -> AttemptResult:
        """See ``link.Link``; the time-out is the pool's, NVMe states none."""
        self.reusable = False
        self._work = work
        self._channel.written = None
        try:
            command, payload = self._translator.to_node_command(work)
        except UnmappableRequestError as error:
            log.emit("box", str(error))
            self.reusable = True
            return AttemptResult(Outcome.ERROR, may_have_run=False)
        completion, data = await self._channel.execute(command, payload)
        self.reusable = not self._channel.initiator.has_surplus_input
        return self._translator.from_node_completion(work, completion, data)


class _Channel:
    """The connection of one queue."""

    def __init__(self, stream: streams.Stream) -> None:
        self.stream = stream
        self.read_ahead = streams.ReadAhead(stream)
        self.initiator = Initiator()
        self.written: asyncio.Future[None] | None = None

    async def execute(
        self, command: Command, payload: bytes = b"", *, inside: bool = False
    ) -> tuple[Completion, bytes]:
        """Run one command.

        Raises:
            StreamClosedError: The connection broke.
            PeerProtocolError: The node broke the protocol.
        """
        self.written = None
        try:
            self.initiator.submit(command, payload, in_capsule=inside)
            while True:
                self._send_output()
                for completed in self.initiator.feed(await self.read_ahead.read()):
                    return completed
        except NvmeError as error:
            streams.abort(self.stream)
            raise PeerProtocolError(str(error)) from None

    async def execute_or_fail(self, command: Command, payload: bytes = b"") -> int:
        """Run one command of the set-up, and return its result; a PeerProtocolError where it fails."""
        completion, _ = await self.execute(command, payload, inside=bool(payload))
        if completion.status != Status.OK:
            streams.abort(self.stream)
            raise PeerProtocolError(f"status {completion.status:#x} to command {command.opcode:#x}")
        return completion.result

    def _send_output(self) -> None:
        if not self.initiator.output:
            return
        data = bytes(self.initiator.output)
        self.initiator.output = bytearray()
        written = asyncio.ensure_future(self.stream.write(data))
        self.written = self.written or written


class _Association:
    """The admin queue of a storage node, and the numbers of its I/O queues."""

    def __init__(self, address: Address, nqn: str, host: HostIdentity, connect: OpenStream) -> None:
        self.address = address
        self.node_removed = False  # from the endpoint list
        self._nqn = nqn
        self._host = host
        self._connect = connect
        self._admin: _Channel | None = None
        self._controller_id = 0
        self._max_queues = 0
        self._last_queue = 0
        self._queues: dict[int, streams.Stream] = {}
        self._lock = asyncio.Lock()
        self._keep_alive_task: asyncio.Task[None] | None = None

    async def open_queue(self, timeout_ms: float) -> _Channel:
        """Open a new I/O queue, and the admin queue before where there is none."""
        async with self._lock:
            if self._admin is None or self._admin.stream.closed():
                await self._open_admin_queue(timeout_ms)
            number = self._next_queue_number()
            channel = _Channel(await self._connect(self.address, timeout_ms))
            self._queues[number] = channel.stream
        try:
            await channel.execute_or_fail(
                *connect_command(self._nqn, number, self._controller_id, self._host, 0)
            )
        except BaseException:
            streams.abort(channel.stream)
            raise
        return channel

    def close(self) -> None:
        """End the association."""
        if self._keep_alive_task is not None:
            self._keep_alive_task.cancel()
        if self._admin is not None:
            streams.abort(self._admin.stream)

    def _next_queue_number(self) -> int:
        """Return the number unused for longest: a node may take a while to see that a queue is gone."""
        for _ in range(self._max_queues):
            self._last_queue = self._last_queue % self._max_queues + 1
            if self._last_queue not in self._queues or self._queues[self._last_queue].closed():
                return self._last_queue
        raise PeerProtocolError("no queue to spare")

    async def _open_admin_queue(self, timeout_ms: float) -> None:
        admin = _Channel(await self._connect(self.address, timeout_ms))
        try:
            self._max_queues = await self._set_up_controller(admin)
        except BaseException:
            streams.abort(admin.stream)
            raise
        self._queues = {}
        self._admin = admin
        if self._keep_alive_task is not None:
            self._keep_alive_task.cancel()
        self._keep_alive_task = asyncio.get_running_loop().create_task(self._send_keep_alives(admin))

    async def _set_up_controller(self, admin: _Channel) -> int:
        """Connect and enable a controller, and return how many I/O queues it grants."""
        command = connect_command(self._nqn, 0, DYNAMIC_CONTROLLER_ID, self._host, KEEP_ALIVE_MS)
        self._controller_id = await admin.execute_or_fail(*command) & 0xFFFF
        await admin.execute_or_fail(property_get_command(Property.CAP))
        await admin.execute_or_fail(property_set_command(Property.CC, CONTROLLER_ENABLE))
        while not await admin.execute_or_fail(property_get_command(Property.CSTS)) & 1:
            await asyncio.sleep(READY_POLL_INTERVAL_S)
        wanted = (MAX_IO_QUEUES - 1) * 0x10001
        set_queues = Command(AdminOpcode.SET_FEATURES, 0, dwords=(7, wanted, 0, 0, 0, 0))
        granted = await admin.execute_or_fail(set_queues)
        return min(granted & 0xFFFF, granted >> 16, MAX_IO_QUEUES - 1) + 1

    async def _send_keep_alives(self, admin: _Channel) -> None:
        """Send Keep Alive commands until the admin queue breaks, which ends the other queues with it."""
        try:
            while True:
                await asyncio.sleep(KEEP_ALIVE_INTERVAL_S)
                if self.node_removed and all(stream.closed() for stream in self._queues.values()):
                    streams.abort(admin.stream)
                    return
                async with asyncio.timeout(KEEP_ALIVE_INTERVAL_S):
                    await admin.execute_or_fail(Command(AdminOpcode.KEEP_ALIVE, 0))
        except (streams.StreamClosedError, PeerProtocolError, OSError):
            streams.abort(admin.stream)
