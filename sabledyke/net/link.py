"""What the connection pool needs of a connection to a storage node, and of what opens one.

Each protocol of storage nodes has a link and a dialer of its own: ``http_link``, ``nvme_link`` and
``store.sql_link``.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

from sabledyke.core import AttemptResult, ClientRequest
from sabledyke.errors import SabledykeError
from sabledyke.net import streams
from sabledyke.policy.nodes import NodeId
from sabledyke.protocol.discovery import Address


class PeerProtocolError(SabledykeError):
    """A storage node does not speak its protocol; the text says where."""

    code, remedy = "box-garbled", "look at the box's version"


class Link(Protocol):
    """An open connection to a storage node."""

    @property
    def closed(self) -> bool:
        """Whether it is of no more use."""

    @property
    def may_have_run(self) -> bool:
        """Whether the node may have run what was exchanged last."""

    @property
    def reusable(self) -> bool:
        """Whether another exchange may follow the last."""

    async def exchange(self, request: ClientRequest, timeout: float) -> AttemptResult:
        """Carry out one attempt.

        Args:
            request: The request.
            timeout: What the attempt may take, in milliseconds.

        Raises:
            StreamClosedError: The connection broke.
            PeerProtocolError: The node does not speak its protocol.
        """

    def enter_idle(self, on_activity: Callable[[], None]) -> None:
        """Wait for no answer; ``on_activity`` is called when the peer sends or closes all the same."""

    def leave_idle(self) -> bool:
        """Prepare for an exchange, and tell whether the link is fit for it."""

    def close(self) -> None:
        """End it, whatever is under way on it."""


# Node, address, and the milliseconds that the attempt has.
Dial = Callable[[NodeId, Address, float], Awaitable[Link]]
# Node, address, milliseconds for the connection itself, and those that the attempt has.
Connect = Callable[[NodeId, Address, float, float], Awaitable[streams.Stream]]


async def connect_plain(
    _node: NodeId, address: Address, connect_ms: float, _attempt_ms: float
) -> streams.Stream:
    """Connect as no extension has wrapped it."""
    return await streams.connect(address, connect_ms)
