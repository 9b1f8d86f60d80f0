"""A listening socket: what it accepts, what it does when the system can accept nothing, and how it closes."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable

from sabledyke import log

BACKLOG = 512  # connections that may wait to be accepted
BATCH = 16  # connections that are accepted before those that are there have their turn
# The connection that was to be accepted has failed, or the call was interrupted: the next one may be well.
# Linux hands on errors of the network that wait on the new connection (accept(2), "Error handling").
NEXT_ONE = {
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
ACCEPT_AGAIN = 0.05  # seconds until the next try, where the system has no descriptor or memory for one more
LAST_TRIES = 40  # such tries of a listener that closes


class Listener:
    """A listening socket."""

    def __init__(self, address: tuple[str, int], accept: Callable[[socket.socket, object], None]) -> None:
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Guards against a new version that cannot start while the old one serves: both listen, and the
        # kernel spreads new connections over them until the old one closes its listener.
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self._socket.setblocking(False)
        self._socket.bind(address)
        self._socket.listen(BACKLOG)
        self._accept = accept
        self._again: asyncio.TimerHandle | None = None
        self.closed = False
        asyncio.get_running_loop().add_reader(self._socket.fileno(), self._ready)

    @property
    def port(self) -> int:
        """Where it listens, also where any port was asked for."""
        return int(self._socket.getsockname()[1])

    def _ready(self) -> None:
        """Connections wait to be accepted."""
        if not self._take_in(BATCH):
            # Guards against a loop that spins on a queue from which nothing can be taken.
            asyncio.get_running_loop().remove_reader(self._socket.fileno())
            self._again = asyncio.get_running_loop().call_later(ACCEPT_AGAIN, self._resume)

    def _resume(self) -> None:
        asyncio.get_running_loop().add_reader(self._socket.fileno(), self._ready)
        self._ready()

    def _take_in(self, most: int) -> bool:
        """Accept what has come up; False where the system cannot accept anything just now.

        Guards against a crowd that comes again as soon as it is turned away: without a bound, accepting it
        would never end, and nothing else be done. One connection that failed hides none behind it.
        """
        for _ in range(most):
            try:
                sock, address = self._socket.accept()
            except BlockingIOError:
                return True
            except OSError as fault:
                log.emit("front", f"a connection was not accepted: {fault}")
                if fault.errno in NEXT_ONE:
                    continue
                return False
            try:
                sock.setblocking(False)
                self._accept(sock, address)
            except OSError as fault:
                log.emit("front", f"a connection broke as it was accepted: {fault}")
                sock.close()
        return True

    def close(self) -> None:
        """Accept what has already come up, then listen no more.

        Guards against requests lost in the backlog: the machine accepted them, so they count as taken. Where
        the system has no descriptor left it is tried again, for two seconds at the most.
        """
        if self._again is not None:
            self._again.cancel()
        asyncio.get_running_loop().remove_reader(self._socket.fileno())
        self._empty(LAST_TRIES)

    def _empty(self, tries: int) -> None:
        if self._take_in(2 * BACKLOG) or not tries:
            self.give_up()
        else:
            self._again = asyncio.get_running_loop().call_later(ACCEPT_AGAIN, self._empty, tries - 1)

    def give_up(self) -> None:
        """Listen no more, whatever still waits to be accepted."""
        if self._again is not None:
            self._again.cancel()
        self._socket.close()
        self.closed = True
