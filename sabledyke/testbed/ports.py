"""Ports on loopback that stay with whom they were given to."""

from __future__ import annotations

import socket


def hold_port() -> socket.socket:
    """A socket that keeps a port for one process, for as long as it is open; it takes no connections.

    Guards against another connection being given the port before the process listens there, or between two of
    its lives: who shares it must have SO_REUSEPORT too, as the program's doors have.
    """
    held = socket.socket()
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    held.bind(("127.0.0.1", 0))
    return held
