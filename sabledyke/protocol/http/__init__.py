"""HTTP/1.1 as state machines that are fed bytes: parsing and encoding of requests and responses."""

from sabledyke.protocol.http.encoding import (
    REASON_PHRASES,
    encode_chunk,
    encode_request,
    encode_response,
    encode_streamed_head,
)
from sabledyke.protocol.http.message import (
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    MAX_INPUT_BYTES,
    MAX_RESPONSE_BODY_BYTES,
    MAX_STREAMED_BODY_BYTES,
    HttpError,
    HttpMessage,
)
from sabledyke.protocol.http.parser import HttpParser

__all__ = [
    "MAX_BODY_BYTES",
    "MAX_HEAD_BYTES",
    "MAX_INPUT_BYTES",
    "MAX_RESPONSE_BODY_BYTES",
    "MAX_STREAMED_BODY_BYTES",
    "REASON_PHRASES",
    "HttpError",
    "HttpMessage",
    "HttpParser",
    "encode_chunk",
    "encode_request",
    "encode_response",
    "encode_streamed_head",
]
