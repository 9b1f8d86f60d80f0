"""Connections to storage nodes that speak NVMe over TCP.

Each node has one association, whose I/O queues carry one command at a time each.
"""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Awaitable, Callable

from sabledyke import log
from sabledyke.core import AttemptResult, ClientRequest
from sabledyke.net import streams
from sabledyke.net.fair_queue import FairQueue
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

KEEP_ALIVE_MS = 15000  # time without a command after which a node may end the association
KEEP_ALIVE_INTERVAL_S = KEEP_ALIVE_MS / 3000  # interval of Keep Alive commands, and time-out of each
READY_POLL_INTERVAL_S = 0.01  # interval between checks whether a controller is ready
CONTROLLER_ENABLE = 1 | 6 << 16 | 4 << 20  # register CC: enabled, queue entries of 64 and 16 bytes

# Opens a stream to an address within the given milliseconds.
OpenStream = Callable[[Address, float], Awaitable[streams.Stream]]


class NvmeDialer:
    """Opens I/O queues; keeps one association with each storage node.

    Args:
        settings: The settings in force.
        translator: Translates requests to commands, and completions to results.
        nqn_by_node: NQN of each node's subsystem.
        host_nqn: NQN of this host.
        connect: Opens a stream to a node.
        slack_ms: Milliseconds that ``connect`` may take beyond the connection itself.
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
        self._fair_queue = FairQueue()
        self._associations: dict[NodeId, _Association] = {}

    async def dial(self, node: NodeId, address: Address, timeout_ms: float) -> NvmeLink:
        """Open an I/O queue to a storage node; associate with the node first if necessary."""
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
        """End the association with a removed node, once its I/O queues are closed.

        Guards against keeping an association, and its file descriptor, for every node that was ever listed.
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
            lambda node_address, ms: self._connect(node, node_address, self.settings.connect_timeout_ms, ms),
            self._fair_queue,
        )
        self._associations[node] = association
        return association


class NvmeLink(streams.StreamLink):
    """Link over one I/O queue of a storage node."""

    def __init__(self, channel: _Channel, translator: Translator) -> None:
        super().__init__(channel.stream, channel.read_ahead)
        self.reusable = True
        self._channel = channel
        self._translator = translator
        self._request: ClientRequest | None = None

    @property
    def may_have_run(self) -> bool:
        """True if a read's command, or any byte of a write's data, was sent.

        Guards against treating a write that was cut off mid-transfer as not run: the node may have begun to
        store the data that it received.
        """
        written = self._channel.written
        if self._request is None or written is None:
            return False
        if self._request.write:
            return self._channel.initiator.write_data_sent
        return written.done() and written.exception() is None

    async def exchange(self, request: ClientRequest, _timeout: float) -> AttemptResult:
        """Run a request as a command; NVMe commands carry no time-out, so the pool alone enforces it."""
        self.reusable = False
        self._request = request
        self._channel.written = None
        try:
            command, payload = self._translator.to_node_command(request)
        except UnmappableRequestError as error:
            log.emit("box", str(error))
            self.reusable = True
            return AttemptResult(Outcome.ERROR, may_have_run=False)
        completion, data = await self._channel.execute(command, payload)
        self.reusable = not self._channel.initiator.has_surplus_input
        return self._translator.from_node_completion(request, completion, data)


class _Channel:
    """The connection of one queue, admin or I/O."""

    def __init__(self, stream: streams.Stream, fair_queue: FairQueue) -> None:
        self.stream = stream
        self._fair_queue = fair_queue
        self.read_ahead = streams.ReadAhead(stream)
        self.initiator = Initiator()
        self.written: asyncio.Future[None] | None = None

    async def execute(
        self, command: Command, payload: bytes = b"", *, in_capsule: bool = False
    ) -> tuple[Completion, bytes]:
        """Run one command, and return its completion and data.

        Raises:
            StreamClosedError: The connection broke.
            PeerProtocolError: The node violated the protocol.
        """
        self.written = None
        try:
            self.initiator.submit(command, payload, in_capsule=in_capsule)
            while True:
                self._send_output()
                data = b""
                if self.initiator.paused:
                    await self._fair_queue.wait()
                else:
                    data = await self.read_ahead.read()
                for completed in self.initiator.feed(data):
                    return completed
        except NvmeError as error:
            streams.abort(self.stream)
            raise PeerProtocolError(str(error)) from None

    async def execute_or_fail(self, command: Command, payload: bytes = b"") -> int:
        """Run one command of the set-up and return its result; raise a PeerProtocolError if it fails."""
        completion, _ = await self.execute(command, payload, in_capsule=bool(payload))
        if completion.status != Status.OK:
            streams.abort(self.stream)
            raise PeerProtocolError(f"status {completion.status:#x} for set-up command {command.opcode:#x}")
        return completion.result

    def _send_output(self) -> None:
        if not self.initiator.output:
            return
        data = bytes(self.initiator.output)
        self.initiator.output = bytearray()
        written = asyncio.ensure_future(self.stream.write(data))
        self.written = self.written or written


class _Association:
    """The admin queue of a storage node, and the ids of its I/O queues."""

    def __init__(
        self, address: Address, nqn: str, host: HostIdentity, connect: OpenStream, fair_queue: FairQueue
    ) -> None:
        self.address = address
        self.node_removed = False  # the node was removed from the endpoint list
        self._nqn = nqn
        self._host = host
        self._connect = connect
        self._fair_queue = fair_queue
        self._admin: _Channel | None = None
        self._controller_id = 0
        self._max_queues = 0
        self._last_queue_id = 0
        self._queues: dict[int, streams.Stream] = {}
        self._lock = asyncio.Lock()
        self._keep_alive_task: asyncio.Task[None] | None = None

    async def open_queue(self, timeout_ms: float) -> _Channel:
        """Open a new I/O queue; open the admin queue first if there is none."""
        async with self._lock:
            if self._admin is None or self._admin.stream.closed():
                await self._open_admin_queue(timeout_ms)
            queue_id = self._next_queue_id()
            channel = _Channel(await self._connect(self.address, timeout_ms), self._fair_queue)
            self._queues[queue_id] = channel.stream
        try:
            await channel.execute_or_fail(
                *connect_command(self._nqn, queue_id, self._controller_id, self._host, 0)
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

    def _next_queue_id(self) -> int:
        """Return the least recently used free queue id, as a node may take time to detect a closed queue."""
        for _ in range(self._max_queues):
            self._last_queue_id = self._last_queue_id % self._max_queues + 1
            if self._last_queue_id not in self._queues or self._queues[self._last_queue_id].closed():
                return self._last_queue_id
        raise PeerProtocolError("all I/O queues that the controller granted are in use")

    async def _open_admin_queue(self, timeout_ms: float) -> None:
        admin = _Channel(await self._connect(self.address, timeout_ms), self._fair_queue)
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
        """Connect and enable a controller; return the number of I/O queues that it grants."""
        command = connect_command(self._nqn, 0, DYNAMIC_CONTROLLER_ID, self._host, KEEP_ALIVE_MS)
        self._controller_id = await admin.execute_or_fail(*command) & 0xFFFF
        await admin.execute_or_fail(property_get_command(Property.CAP))
        await admin.execute_or_fail(property_set_command(Property.CC, CONTROLLER_ENABLE))
        while not await admin.execute_or_fail(property_get_command(Property.CSTS)) & 1:
            await asyncio.sleep(READY_POLL_INTERVAL_S)
        requested = (MAX_IO_QUEUES - 1) * 0x10001
        set_queues = Command(AdminOpcode.SET_FEATURES, 0, dwords=(7, requested, 0, 0, 0, 0))
        granted = await admin.execute_or_fail(set_queues)
        return min(granted & 0xFFFF, granted >> 16, MAX_IO_QUEUES - 1) + 1

    async def _send_keep_alives(self, admin: _Channel) -> None:
        """Send Keep Alive commands until one fails, or until a removed node has no open I/O queue.

        The admin queue is then closed, which ends the association and its other queues.
        """
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
