"""Tracking of request ids that are in use, to reject duplicates."""

from __future__ import annotations

from itertools import islice

from sabledyke.core import ClientRequest
from sabledyke.protocol.http import HttpError

MAX_TRACKED_IDS = 16384

_MAX_EXPIRED_PER_CLAIM = 2  # more than one per added id, so that expired ids do not accumulate


class RequestIds:
    """The ids of requests whose deadlines have not passed.

    Guards against a second request with an id that is in use: it could get the answer of the first, and a
    storage node would treat it as a retry. The number of ids is limited: expired ids are dropped first, then
    the oldest.
    """

    def __init__(self, max_ids: int = MAX_TRACKED_IDS) -> None:
        self._max_ids = max_ids
        # Keyed by the hash of the id, so that long ids use no more memory; in the order of claims.
        self._expires_ms: dict[int, float] = {}

    @property
    def tracked_count(self) -> int:
        """Number of tracked ids, including expired ones that were not dropped yet."""
        return len(self._expires_ms)

    def claim(self, now_ms: float, request: ClientRequest) -> None:
        """Mark the id of a request as in use until the request's deadline.

        Raises:
            HttpError: The id is already in use (status 409).
        """
        self._drop_expired(now_ms)
        key = hash(request.client_request_id)
        if self._expires_ms.get(key, now_ms) > now_ms:
            raise HttpError("Req-Id is in use by a request that has not ended", 409)
        self._expires_ms.pop(key, None)
        if len(self._expires_ms) >= self._max_ids:
            oldest = next(iter(self._expires_ms))
            del self._expires_ms[oldest]
        self._expires_ms[key] = now_ms + request.remaining_ms

    def _drop_expired(self, now_ms: float) -> None:
        for key, expires_ms in list(islice(self._expires_ms.items(), _MAX_EXPIRED_PER_CLAIM)):
            if expires_ms <= now_ms:
                del self._expires_ms[key]
