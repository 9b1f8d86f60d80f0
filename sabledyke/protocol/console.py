"""Operators' requests to the console and their responses; fed complete messages, without I/O.

Each request is one HTTP/1.1 request on a connection of its own, which the response closes.
"""

from __future__ import annotations

from enum import Enum

from sabledyke.protocol.http import HttpError, HttpMessage, encode_response

MAX_CALL_BYTES = 8 * 1024
"""Limit of a request's head and body: none of the calls needs a body."""


class ConsoleCall(Enum):
    """What an operator may request."""

    HEALTH = "health"
    """Report whether this process accepts clients."""
    STATS = "stats"
    """Report the metrics."""
    QUIESCE = "quiesce"
    """Stop accepting clients."""
    RESUME = "resume"
    """Accept clients again."""


ROUTES = {
    "/admin/health": ("GET", ConsoleCall.HEALTH),
    "/admin/stats": ("GET", ConsoleCall.STATS),
    "/admin/quiesce": ("POST", ConsoleCall.QUIESCE),
    "/admin/resume": ("POST", ConsoleCall.RESUME),
}


def route(message: HttpMessage) -> ConsoleCall:
    """Return the call that a request makes.

    Raises:
        HttpError: With status 404 for an unknown path, and 405 for another method than the call's.
    """
    path = message.target.partition("?")[0]
    if path not in ROUTES:
        raise HttpError(f"no such call: {path[:40]}", 404)
    method, call = ROUTES[path]
    is_head_of_get = method == "GET" and message.method == "HEAD"
    if message.method != method and not is_head_of_get:
        raise HttpError(f"{path} takes {method}, not {message.method[:10]}", 405)
    return call


def encode_answer(status: int, body: bytes = b"", *, head: bool = False) -> bytes:
    """Return the response to a call, which ends its connection.

    Args:
        status: Its status.
        body: Its body, as text.
        head: Whether the request was a HEAD: the response has the body's length without the body.
    """
    headers = [("Content-Type", "text/plain; charset=utf-8"), ("Cache-Control", "no-store")]
    if status == 405:
        headers.append(("Allow", "GET, POST"))
    response = encode_response(status, headers, body, close=True)
    return response[: len(response) - len(body)] if head else response
