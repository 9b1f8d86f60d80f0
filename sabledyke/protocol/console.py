"""What an operator's call to the console asks for, and how it is answered; fed whole messages, no I/O.

A call is one HTTP/1.1 request on a connection of its own; every answer closes that connection.
"""

from __future__ import annotations

from enum import Enum

from sabledyke.protocol.http import HttpError, Message, encode_response

MAX_CALL = 8 * 1024  # bytes a call may have, head and body: none of the calls has anything to say


class Call(Enum):
    """What an operator may ask."""

    HEALTH = "health"  # does this process take clients
    STATS = "stats"  # the figures
    QUIESCE = "quiesce"  # send clients away
    RESUME = "resume"  # take them again


ROUTES = {
    "/admin/health": ("GET", Call.HEALTH),
    "/admin/stats": ("GET", Call.STATS),
    "/admin/quiesce": ("POST", Call.QUIESCE),
    "/admin/resume": ("POST", Call.RESUME),
}


def route(message: Message) -> Call:
    """The call a request makes; an HttpError with 404 for an unknown path, 405 for another method."""
    path = message.target.partition("?")[0]
    if path not in ROUTES:
        raise HttpError(f"no such call: {path[:40]}", 404)
    method, call = ROUTES[path]
    if message.method != method and not (method == "GET" and message.method == "HEAD"):
        raise HttpError(f"{path} takes {method}, not {message.method[:10]}", 405)
    return call


def answer(status: int, body: bytes = b"", *, head: bool = False) -> bytes:
    """The whole answer to a call, which ends its connection; a HEAD gets the length without the body."""
    headers = [("Content-Type", "text/plain; charset=utf-8"), ("Cache-Control", "no-store")]
    if status == 405:
        headers.append(("Allow", "GET, POST"))
    whole = encode_response(status, headers, body, close=True)
    return whole[: len(whole) - len(body)] if head else whole
