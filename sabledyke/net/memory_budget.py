"""Budget of the memory for requests and answers, shared by all connections of the process.

It counts the bytes that connections hold: input that is buffered, requests in flight, answers that are
received, and answers that are being sent. As the use grows, they are refused in this order: long answers of
storage nodes, partly received requests (the largest first), and at last all new requests.
"""

from __future__ import annotations

LONG_ANSWER_LEVEL = 1.0  # share of the limit above which long answers are refused
PARTIAL_REQUEST_LEVEL = 1.25  # share of the limit above which partly received requests are refused
NEW_REQUEST_LEVEL = 1.5  # share of the limit above which new requests are refused
REQUEST_OVERHEAD_BYTES = 4 * 1024  # objects of a request in flight, without its body


class MemoryBudget:
    """The bytes in use, and the limit that they are compared with.

    Attributes:
        limit_bytes: The limit; requests use up to ``NEW_REQUEST_LEVEL`` times as much.
        used_bytes: The bytes in use.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0

    @property
    def refuses_long_answers(self) -> bool:
        """True if the memory for answers over the size of a request's body is used up."""
        return self.used_bytes > LONG_ANSWER_LEVEL * self.limit_bytes

    @property
    def refuses_partial_requests(self) -> bool:
        """True if the memory for requests that are received slowly is used up."""
        return self.used_bytes > PARTIAL_REQUEST_LEVEL * self.limit_bytes

    @property
    def refuses_requests(self) -> bool:
        """True if the memory for new requests is used up."""
        return self.used_bytes > NEW_REQUEST_LEVEL * self.limit_bytes


class MemoryUse:
    """The bytes that one connection or answer uses of a budget."""

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._bytes = 0

    def set(self, used_bytes: int) -> None:
        """Set the number of bytes in use; 0 gives all of them back."""
        self._budget.used_bytes += used_bytes - self._bytes
        self._bytes = used_bytes


def request_bytes(body: bytes) -> int:
    """Return the memory of a request in flight: its body, a copy that is being sent, and its objects."""
    return 2 * len(body) + REQUEST_OVERHEAD_BYTES
