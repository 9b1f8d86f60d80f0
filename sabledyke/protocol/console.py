"""Operators' calls to the console and their responses; works on complete messages, without I/O.

Each call is one HTTP/1.1 request on its own connection, which the response closes.
"""

from __future__ import annotations

from enum import Enum

from sabledyke.protocol.http import HttpError, HttpMessage, encode_response

MAX_CALL_BYTES = 8 * 1024
"""Limit of a call's head and body together; no call needs a body."""


class ConsoleCall(Enum):
    """The calls that the console accepts."""

    HEALTH = "health"
    """Reports whether this process accepts clients."""
    STATS = "stats"
    """Reports the metrics."""
    QUIESCE = "quiesce"
    """Drains clients: no new clients are accepted."""
    RESUME = "resume"
    """Accepts clients again after a drain."""


ROUTES = {
    "/admin/health": ("GET", ConsoleCall.HEALTH),
    "/admin/stats": ("GET", ConsoleCall.STATS),
    "/admin/quiesce": ("POST", ConsoleCall.QUIESCE),
    "/admin/resume": ("POST", ConsoleCall.RESUME),
}


def route(message: HttpMessage) -> ConsoleCall:
    """Return the call that a request's method and path stand for.

    Raises:
        HttpError: The path is unknown (status 404), or the call requires another method (status 405).
    """
    path = message.target.partition("?")[0]
    if path not in ROUTES:
        raise HttpError(f"no such call: {path[:40]}", 404)
    method, call = ROUTES[path]
    is_head_of_get = method == "GET" and message.method == "HEAD"
    if message.method != method and not is_head_of_get:
        raise HttpError(f"{path} requires {method}, not {message.method[:10]}", 405)
    return call


def encode_answer(status: int, body: bytes = b"", *, head: bool = False) -> bytes:
    """Return the response to a call, which ends its connection.

    Args:
        status: Status of the response.
        body: Body of the response, as text.
        head: Whether the request was a HEAD; its response states the body's length and omits the body.
    """
    headers = [("Content-Type", "text/plain; charset=utf-8"), ("Cache-Control", "no-store")]
    if status == 405:
        headers.append(("Allow", "GET, POST"))
    response = encode_response(status, headers, body, close=True)
    return response[: len(response) - len(body)] if head else response
