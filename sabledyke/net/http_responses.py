"""The end of a stream within an HTTP response: whether it completes the response or truncates it.

It applies to the responses of storage nodes and of discovery alike.
"""

from __future__ import annotations

from sabledyke.net.streams import StreamClosedError
from sabledyke.protocol.http import HttpMessage, HttpParser


def complete_at_end(parser: HttpParser, end: StreamClosedError, *, closed_locally: bool) -> HttpMessage:
    """Return the response that the end of its stream completes.

    Guards against serving a truncated response as complete: a body without a stated length is complete only
    if the peer has ended the stream in order (``StreamClosedError`` without a ``real_error``). After a reset,
    the end of a TLS stream without its alert, any other error, or a close by this process it is truncated,
    and the request may have run.

    Args:
        parser: The parser that received the bytes of the stream.
        end: The error that reported the end of the stream.
        closed_locally: True if this process closed the stream.

    Raises:
        StreamClosedError: The response is truncated, or no byte of it has arrived.
        HttpError: The stream ended in order within a message whose end is stated.
    """
    try:
        if closed_locally or end.real_error is not None:
            raise end
        message = parser.on_end_of_stream()
        if message is None:
            raise end
        return message
    finally:
        del end  # the error would refer to itself through this frame, until the next garbage collection
