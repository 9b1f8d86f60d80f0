"""HTTP messages, their limits, and the error for invalid ones."""

from __future__ import annotations

from dataclasses import dataclass, field

from sabledyke.errors import SabledykeError

MAX_HEAD_BYTES = 16 * 1024
MAX_HEADER_LINES = 256
"""Limit of the header lines of a head: a line costs much more time than its bytes."""
MAX_BODY_BYTES = 64 * 1024
"""Limit of a request's body."""
MAX_RESPONSE_BODY_BYTES = 1024 * 1024
"""Limit of a response's body that is passed on or used as a whole; storage nodes were seen to send 350 KB."""
MAX_STREAMED_BODY_BYTES = 64 * 1024 * 1024
"""Limit of a response's body that is passed on while it arrives; the platform's are up to 32 MB."""
MAX_INPUT_BYTES = MAX_HEAD_BYTES + 2 * MAX_BODY_BYTES
"""Limit of buffered request bytes: a head, and a body whose chunked coding doubles its size."""


class HttpError(SabledykeError):
    """The bytes are not a valid message, or the message is too large or not acceptable.

    Attributes:
        status: Status of the response to a client.
    """

    code = "http"
    remedy = "notify the operator of that peer"

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class HttpMessage:
    """A complete request or response.

    Attributes:
        method: Method of a request; empty in a response.
        target: Target of a request; empty in a response.
        status: Status of a response; 0 in a request.
        headers: Header values by lower-case name; values of repeated headers are joined by commas.
        body: The body, without its transfer coding.
        keep_alive: Whether the connection continues after this message.
        http_1_0: Whether the message states the version HTTP/1.0.
    """

    method: str = ""
    target: str = ""
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    keep_alive: bool = True
    http_1_0: bool = False
