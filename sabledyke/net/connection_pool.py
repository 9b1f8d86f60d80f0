"""Connections to boxes, whatever they speak, and the attempts on them: one at a time on each."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import Protocol

from sabledyke import log
from sabledyke.core import AttemptResult, ClientRequest
from sabledyke.errors import SabledykeError
from sabledyke.net import streams
from sabledyke.policy.events import Outcome
from sabledyke.policy.nodes import NodeId, node_name
from sabledyke.policy.settings import Settings

Address = tuple[str, int]
Report = Callable[[int, int, AttemptResult], None]
Permit = Callable[[int, int], bool]  # may this attempt be written now? See ``core.Core.may_go``
IDLE_PART = 0.6  # of the time after which boxes close idle connections: ours are closed by then


class BadPeer(SabledykeError):
    """A box does not speak its protocol; the text says where."""

    code, remedy = "box-garbled", "look at the box's version"


class Link(Protocol):
    """An open connection to a box."""

    @property
    def closed(self) -> bool:
        """It is of no more use."""

    @property
    def may_have_run(self) -> bool:
        """Whether the box may have run what was exchanged last."""

    @property
    def reusable(self) -> bool:
        """Whether another exchange may follow the last."""

    async def exchange(self, work: ClientRequest, timeout: float) -> AttemptResult:
        """One attempt; a StreamClosedError or BadPeer where it breaks."""

    def rest(self, heard: Callable[[], None]) -> None:
        """Nothing is asked for now; ``heard`` is called when its peer ends it or says something all the
        same."""

    def wake(self) -> bool:
        """An exchange is to come; whether the link is fit for it."""

    def close(self) -> None:
        """End it, whatever is under way on it."""


# Node, address, and the milliseconds that the attempt has.
Dial = Callable[[NodeId, Address, float], Awaitable[Link]]
# Node, address, milliseconds for the connection itself, and those that the attempt has.
Connect = Callable[[NodeId, Address, float, float], Awaitable[streams.Stream]]


async def plain(_: NodeId, address: Address, connect_ms: float, __: float) -> streams.Stream:
    """The connection that no part has made another of."""
    return await streams.connect(address, connect_ms)


class _PooledConnection:
    """A link and its place in the pool."""

    def __init__(self, node: NodeId, address: Address, link: Link) -> None:
        self.node, self.address, self.link = node, address, link
        self.expiry: asyncio.TimerHandle | None = None


class _Attempt:
    """An attempt under way."""

    def __init__(self, rid: int, number: int, node: NodeId, work: ClientRequest) -> None:
        self.rid, self.number, self.node, self.work = rid, number, node, work
        self.connection: _PooledConnection | None = None
        self.until = 0.0  # the loop's time at which it expires
        self.timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None

    @property
    def may_have_run(self) -> bool:
        return self.connection is not None and self.connection.link.may_have_run


class Pool:
    """The core's transport: keeps at most ``most`` connections and opens them with ``dial``."""

    def __init__(self, settings: Settings, report: Report, most: int, dial: Dial, permit: Permit) -> None:
        self.settings, self._report, self.most, self._dial = settings, report, most, dial
        self._permit = permit
        self._addresses: dict[NodeId, Address] = {}
        self._idle: dict[NodeId, list[_PooledConnection]] = {}
        self._attempts: dict[tuple[int, int], _Attempt] = {}
        self._count = 0
        self._warming: dict[NodeId, asyncio.Task[None]] = {}  # one at a time for a box
        self._closed = False

    def learn(self, addresses: dict[NodeId, Address], gone: Iterable[NodeId] = ()) -> None:
        """Learn where nodes listen and which are gone; connections to a former address are not used again."""
        for node in gone:
            if self._addresses.pop(node, None):
                self.close_idle(node)
        for node, address in addresses.items():
            if self._addresses.get(node, address) != address:
                self.close_idle(node)
            self._addresses[node] = address

    def start(self, rid: int, number: int, node: NodeId, work: ClientRequest, timeout: float) -> None:
        """See ``core.Transport``."""
        attempt = _Attempt(rid, number, node, work)
        self._attempts[rid, number] = attempt
        loop = asyncio.get_running_loop()
        attempt.until = loop.time() + timeout / 1000
        attempt.timer = loop.call_at(attempt.until, self._expire, attempt)
        attempt.task = loop.create_task(self._carry_out(attempt, timeout))

    def cancel(self, rid: int, number: int) -> None:
        """See ``core.Transport``."""
        attempt = self._attempts.get((rid, number))
        if attempt is not None:
            self._end(attempt, AttemptResult(Outcome.CANCELLED, _given_up(attempt)))

    def close_idle(self, node: NodeId) -> None:
        """See ``core.Transport``."""
        for connection in self._idle.pop(node, []):
            self._discard(connection)

    def warm(self, node: NodeId) -> None:
        """Open a connection ahead of need, where none rests and there is room; nothing is said on it."""
        if self._idle.get(node) or node not in self._addresses or self._count >= self.most or self._closed:
            return
        if node not in self._warming:
            self._warming[node] = asyncio.get_running_loop().create_task(self._warm(node))

    async def _warm(self, node: NodeId) -> None:
        try:
            self._keep(await self._open(node, 2 * self.settings.connect_timeout_ms))
        except (streams.StreamClosedError, BadPeer, OSError):
            return  # whoever needs one will find out
        finally:
            del self._warming[node]

    def close(self) -> None:
        """Close what is idle, at the end."""
        self._closed = True
        for task in self._warming.values():
            task.cancel()
        for node in list(self._idle):
            self.close_idle(node)

    async def _carry_out(self, attempt: _Attempt, timeout: float) -> None:
        try:
            connection = self._reuse(attempt.node) or await self._open(attempt.node, timeout)
            if (attempt.rid, attempt.number) not in self._attempts:  # given up while the connection came up
                self._keep(connection)
                return
            # Guards against going by what held when the connection was asked for: it may have come up late.
            left = (attempt.until - asyncio.get_running_loop().time()) * 1000
            if left <= 0 or not self._permit(attempt.rid, attempt.number):
                self._keep(connection)
                self._end(attempt, AttemptResult(Outcome.EXPIRED, False))
                return
            attempt.connection = connection
            ended = await connection.link.exchange(attempt.work, left)
        except (streams.StreamClosedError, BadPeer, OSError) as fault:
            if isinstance(fault, BadPeer):
                log.emit("box", f"{node_name(attempt.node)} is not understood: {fault}")
            ran = attempt.may_have_run
            self._end(attempt, AttemptResult(Outcome.RESET if ran else Outcome.NO_CONNECTION, ran))
            return
        if attempt.connection is not None and connection.link.reusable:
            attempt.connection = None
            self._keep(connection)
        self._end(attempt, ended)

    async def _open(self, node: NodeId, patience: float) -> _PooledConnection:
        address = self._addresses.get(node)
        if self._count >= self.most:
            self._make_room()
        if address is None or self._count >= self.most:
            log.emit("pool", f"no connection to spare for {node_name(node)}")
            raise streams.StreamClosedError
        self._count += 1
        try:
            return _PooledConnection(node, address, await self._dial(node, address, patience))
        except BaseException:
            self._count -= 1
            raise

    def _make_room(self) -> None:
        """Close the oldest idle connection of the node that has most of them."""
        if self._idle:
            node = max(self._idle, key=lambda n: len(self._idle[n]))
            self._drop_idle(self._idle[node][0])

    def _reuse(self, node: NodeId) -> _PooledConnection | None:
        while self._idle.get(node):
            connection = self._idle[node][-1]
            if self._take(connection):
                return connection
            self._discard(connection)
        return None

    def _keep(self, connection: _PooledConnection) -> None:
        moved = self._addresses.get(connection.node) != connection.address
        if self._closed or connection.link.closed or moved:
            self._discard(connection)
            return
        self._idle.setdefault(connection.node, []).append(connection)
        after = self.settings.idle_timeout_ms * IDLE_PART / 1000
        connection.expiry = asyncio.get_running_loop().call_later(after, self._drop_idle, connection)
        connection.link.rest(lambda: self._drop_idle(connection))

    def _take(self, connection: _PooledConnection) -> bool:
        """Out of the idle ones; whether it can be used."""
        self._idle[connection.node].remove(connection)
        if not self._idle[connection.node]:
            del self._idle[connection.node]
        if connection.expiry is not None:
            connection.expiry.cancel()
        return connection.link.wake()

    def _drop_idle(self, connection: _PooledConnection) -> None:
        if connection in self._idle.get(connection.node, ()):
            self._take(connection)
            self._discard(connection)

    def _discard(self, connection: _PooledConnection) -> None:
        connection.link.close()
        self._count -= 1

    def _expire(self, attempt: _Attempt) -> None:
        ran = _given_up(attempt)
        self._end(attempt, AttemptResult(Outcome.TIMEOUT if ran else Outcome.NO_CONNECTION, ran))

    def _end(self, attempt: _Attempt, ended: AttemptResult) -> None:
        """The one report of an attempt; a connection it still holds is closed, which gives it up."""
        if self._attempts.pop((attempt.rid, attempt.number), None) is None:
            return
        if attempt.timer is not None:
            attempt.timer.cancel()
        connection, attempt.connection = attempt.connection, None
        if connection is not None:
            self._discard(connection)
        self._report(attempt.rid, attempt.number, ended)


def _given_up(attempt: _Attempt) -> bool:
    """Close what an attempt holds; only then can be said for good whether it may have run."""
    if attempt.connection is not None:
        attempt.connection.link.close()
    return attempt.may_have_run
