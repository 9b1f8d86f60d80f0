"""Tracking of the request ids that are in use."""

from __future__ import annotations

from itertools import islice

from sabledyke.core import ClientRequest
from sabledyke.protocol.http import HttpError

MAX_TRACKED_IDS = 16384

_MAX_EXPIRED_PER_CLAIM = 2  # more than are added, so that expired ids do not pile up


class RequestIds:
    """The ids of requests whose clients may still be waiting.

    Guards against a second request under an id that is in use: its answer could be the other's, and a storage
    node would take it for a retry. Bounded: ids past their deadline are dropped first, then the oldest.
    """

    def __init__(self, max_ids: int = MAX_TRACKED_IDS) -> None:
        self._max_ids = max_ids
        # By hash, so that a long id takes no more memory; in the order of claims.
        self._expires_ms: dict[int, float] = {}

    @property
    def tracked_count(self) -> int:
        """Number of ids that are remembered, expired ones included."""
        return len(self._expires_ms)

    def claim(self, now_ms: float, request: ClientRequest) -> None:
        """Mark a request's id as in use until the request's deadline.

        Raises:
            HttpError: The id is in use already.
        """
        self._drop_expired(now_ms)
        key = hash(request.client_request_id)
        if self._expires_ms.get(key, now_ms) > now_ms:
            raise HttpError("the id of a request that is not over", 409)
        self._expires_ms.pop(key, None)
        if len(self._expires_ms) >= self._max_ids:
            oldest = next(iter(self._expires_ms))
            del self._expires_ms[oldest]
        self._expires_ms[key] = now_ms + request.remaining_ms

    def _drop_expired(self, now_ms: float) -> None:
        for key, expires_ms in list(islice(self._expires_ms.items(), _MAX_EXPIRED_PER_CLAIM)):
            if expires_ms <= now_ms:
                del self._expires_ms[key]
