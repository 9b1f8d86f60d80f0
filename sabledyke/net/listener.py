"""Listening socket: accepts connections in batches, and pauses while the system cannot accept any."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable

from sabledyke import log

BACKLOG = 512  # maximum number of connections that wait to be accepted
ACCEPT_BATCH = 16  # connections accepted in one iteration of the event loop, before others are served
# Errors of a single connection, or an interrupted call: the next accept may succeed. Linux reports pending
# network errors of the new connection through accept (accept(2), "Error handling").
TRANSIENT_ACCEPT_ERRNOS = {
    errno.ECONNABORTED,
    errno.EINTR,
    errno.EPERM,
    errno.EPROTO,
    errno.ENOPROTOOPT,
    errno.EOPNOTSUPP,
    errno.ENETDOWN,
    errno.ENETUNREACH,
    errno.EHOSTDOWN,
    errno.EHOSTUNREACH,
    errno.ENONET,
    errno.ETIMEDOUT,
    errno.ECONNRESET,
}
ACCEPT_RETRY_S = 0.05  # delay of the next accept while descriptors, memory or places for clients are lacking
MAX_CLOSE_RETRIES = 40  # maximum number of such retries while the listener closes


def _always() -> bool:
    return True


class Listener:
    """A listening socket.

    Args:
        address: Address to listen at; port 0 for any free port.
        accept: Called with each accepted socket and its peer's address.
        can_accept: Returns whether connections are accepted now; if not, they wait for ``ACCEPT_RETRY_S``.

    Attributes:
        closed: True once the socket is closed.
    """

    def __init__(
        self,
        address: tuple[str, int],
        accept: Callable[[socket.socket, object], None],
        can_accept: Callable[[], bool] = _always,
    ) -> None:
        self.closed = False
        self._can_accept = can_accept
        self._accept = accept
        self._retry_timer: asyncio.TimerHandle | None = None
        self._socket = _listen(address)
        asyncio.get_running_loop().add_reader(self._socket.fileno(), self._on_readable)

    @property
    def port(self) -> int:
        """Port that the socket is bound to, also if the configured port is 0."""
        return int(self._socket.getsockname()[1])

    def close(self) -> None:
        """Accept the connections in the backlog, then close the socket.

        Guards against losing requests in the backlog: the kernel has accepted their connections, so they
        count as accepted. If the system has no file descriptor left, this is retried for at most two seconds.
        """
        self._cancel_retry()
        asyncio.get_running_loop().remove_reader(self._socket.fileno())
        self._drain_backlog(MAX_CLOSE_RETRIES)

    def close_now(self) -> None:
        """Close the socket, even with connections in the backlog."""
        self._cancel_retry()
        self._socket.close()
        self.closed = True

    def _on_readable(self) -> None:
        """Accept a batch of connections, and pause if the system cannot accept any."""
        if not self._accept_batch(ACCEPT_BATCH):
            # Guards against a busy loop on a backlog from which nothing can be accepted.
            loop = asyncio.get_running_loop()
            loop.remove_reader(self._socket.fileno())
            self._retry_timer = loop.call_later(ACCEPT_RETRY_S, self._resume)

    def _resume(self) -> None:
        asyncio.get_running_loop().add_reader(self._socket.fileno(), self._on_readable)
        self._on_readable()

    def _accept_batch(self, max_connections: int) -> bool:
        """Accept up to ``max_connections``; return False if none can be accepted at present.

        The limit guards against clients that reconnect as soon as they are rejected: accepting would never
        end and block the event loop. A connection that fails does not stop the batch.
        """
        for _ in range(max_connections):
            if not self._can_accept():
                return False
            try:
                sock, address = self._socket.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                log.emit("front", f"a connection was not accepted: {error}")
                if error.errno in TRANSIENT_ACCEPT_ERRNOS:
                    continue
                return False
            self._hand_over(sock, address)
        return True

    def _hand_over(self, sock: socket.socket, address: object) -> None:
        try:
            sock.setblocking(False)
            self._accept(sock, address)
        except OSError as error:
            log.emit("front", f"a connection failed while it was accepted: {error}")
            sock.close()

    def _drain_backlog(self, retries: int) -> None:
        if self._accept_batch(2 * BACKLOG) or not retries:
            self.close_now()
            return
        loop = asyncio.get_running_loop()
        self._retry_timer = loop.call_later(ACCEPT_RETRY_S, self._drain_backlog, retries - 1)

    def _cancel_retry(self) -> None:
        if self._retry_timer is not None:
            self._retry_timer.cancel()


def _listen(address: tuple[str, int]) -> socket.socket:
    """Return a listening socket.

    SO_REUSEPORT guards against a new version that cannot start while the old one serves: both listen, and
    the kernel distributes new connections between them until the old one closes its listener.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.setblocking(False)
    sock.bind(address)
    sock.listen(BACKLOG)
    return sock
