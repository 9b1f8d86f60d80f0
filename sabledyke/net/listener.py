"""A listening socket: how it accepts, how it pauses when the system can accept nothing, and how it closes."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable

from sabledyke import log

BACKLOG = 512  # connections that may wait to be accepted
ACCEPT_BATCH = 16  # connections that are accepted before those that are there have their turn
# The connection that was to be accepted has failed, or the call was interrupted: the next one may be well.
# Linux hands on errors of the network that wait on the new connection (accept(2), "Error handling").
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
ACCEPT_RETRY_S = 0.05  # seconds until the next try, where the system has no descriptor or memory for one more
MAX_CLOSE_RETRIES = 40  # such tries of a listener that closes


class Listener:
    """A listening socket.

    Args:
        address: Where to listen; port 0 for any free port.
        accept: Called with each accepted socket and its peer's address.

    Attributes:
        closed: It listens no more.
    """

    def __init__(self, address: tuple[str, int], accept: Callable[[socket.socket, object], None]) -> None:
        self.closed = False
        self._accept = accept
        self._retry_timer: asyncio.TimerHandle | None = None
        self._socket = _listen(address)
        asyncio.get_running_loop().add_reader(self._socket.fileno(), self._on_readable)

    @property
    def port(self) -> int:
        """Where it listens, also where any port was asked for."""
        return int(self._socket.getsockname()[1])

    def close(self) -> None:
        """Accept what has already come up, then listen no more.

        Guards against requests lost in the backlog: the machine accepted them, so they count as accepted.
        Where the system has no descriptor left this is tried again, for two seconds at most.
        """
        self._cancel_retry()
        asyncio.get_running_loop().remove_reader(self._socket.fileno())
        self._drain_backlog(MAX_CLOSE_RETRIES)

    def close_now(self) -> None:
        """Listen no more, whatever still waits to be accepted."""
        self._cancel_retry()
        self._socket.close()
        self.closed = True

    def _on_readable(self) -> None:
        """Accept connections that wait."""
        if not self._accept_batch(ACCEPT_BATCH):
            # Guards against a loop that spins on a queue from which nothing can be accepted.
            loop = asyncio.get_running_loop()
            loop.remove_reader(self._socket.fileno())
            self._retry_timer = loop.call_later(ACCEPT_RETRY_S, self._resume)

    def _resume(self) -> None:
        asyncio.get_running_loop().add_reader(self._socket.fileno(), self._on_readable)
        self._on_readable()

    def _accept_batch(self, max_connections: int) -> bool:
        """Accept what has come up; False where the system cannot accept anything just now.

        Guards against a crowd that comes again as soon as it is turned away: without a bound, accepting it
        would never end, and nothing else be done. One connection that failed hides none behind it.
        """
        for _ in range(max_connections):
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
            log.emit("front", f"a connection broke as it was accepted: {error}")
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
    the kernel spreads new connections over them until the old one closes its listener.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.setblocking(False)
    sock.bind(address)
    sock.listen(BACKLOG)
    return sock
