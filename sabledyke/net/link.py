"""Interfaces between the connection pool and the protocols of storage nodes: links and dialers.

Each protocol has a link and a dialer: ``http_link``, ``nvme_link`` and ``store.sql_link``.
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
    """A storage node violated its protocol; the message states how."""

    code, remedy = "box-garbled", "check the node's version"


class Link(Protocol):
    """An open connection to a storage node."""

    @property
    def closed(self) -> bool:
        """True if the connection is closed."""

    @property
    def may_have_run(self) -> bool:
        """True if the node may have run the last request."""

    @property
    def reusable(self) -> bool:
        """True if the connection can carry another request."""

    @property
    def begun_answer_bytes(self) -> int | None:
        """Bytes received of the body of an answer that has begun and is not complete; None without one."""

    def pass_on_begun_answer(self) -> bool:
        """End the exchange in progress with the answer that has begun, if that may be a long one.

        Returns:
            True if ``exchange`` ends at once with a result that has a ``body_stream``, with the whole answer,
            or with an error; False if no such answer has begun, and nothing changes.
        """

    async def exchange(self, request: ClientRequest, timeout: float) -> AttemptResult:
        """Carry out one attempt and return its result.

        Args:
            request: The request.
            timeout: Time that the attempt may take, in milliseconds.

        Raises:
            StreamClosedError: The connection broke.
            PeerProtocolError: The node violated its protocol.
        """

    def enter_idle(self, on_activity: Callable[[], None]) -> None:
        """Enter the idle state; ``on_activity`` is called if the peer sends bytes or closes in it."""

    def leave_idle(self) -> bool:
        """Leave the idle state for an exchange; return whether the link can be used."""

    def close(self) -> None:
        """Close the connection, even during an exchange."""


# Opens a link, given the node, its address and the attempt's remaining milliseconds.
Dial = Callable[[NodeId, Address, float], Awaitable[Link]]
# Opens a stream, given the node, its address, the milliseconds for the connection itself and the attempt's
# remaining milliseconds.
Connect = Callable[[NodeId, Address, float, float], Awaitable[streams.Stream]]


async def connect_plain(
    _node: NodeId, address: Address, connect_ms: float, _attempt_ms: float
) -> streams.Stream:
    """Connect without any extension, such as TLS."""
    return await streams.connect(address, connect_ms)
