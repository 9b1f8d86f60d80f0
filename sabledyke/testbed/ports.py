"""Reservation of loopback ports for one process."""

from __future__ import annotations

import socket


def hold_port() -> socket.socket:
    """Return a socket that reserves a port for one process while it is open; it accepts no connections.

    The system assigns the port to no other connection before the process listens there, or between two
    incarnations of the process. A socket that shares the port must set SO_REUSEPORT too, as the program's
    listeners do.
    """
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    reservation.bind(("127.0.0.1", 0))
    return reservation
