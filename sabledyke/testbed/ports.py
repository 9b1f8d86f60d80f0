"""Ports on loopback that are reserved for one process."""

from __future__ import annotations

import socket


def hold_port() -> socket.socket:
    """Return a socket that reserves a port for one process while it is open; it accepts no connections.

    No other connection is given the port before the process listens there, or between two incarnations of
    it. Whoever shares the port must set SO_REUSEPORT too, as the program's listeners do.
    """
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    reservation.bind(("127.0.0.1", 0))
    return reservation
