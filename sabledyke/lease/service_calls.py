"""Calls of leader tasks to the services that do the work, and what is known of a call that failed.

A call that failed has certainly not begun if no connection was established. It has ended if the service
answered. In every other case the service may still be working on it, whatever error ended the call.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any, Protocol

from tornado.httpclient import HTTPError
from tornado.iostream import IOStream
from tornado.netutil import Resolver
from tornado.simple_httpclient import SimpleAsyncHTTPClient
from tornado.tcpclient import TCPClient

from sabledyke.errors import FencedError, OperationNotBegunError, OperationUnresolvedError
from sabledyke.lease.http_calls import post
from sabledyke.lease.manager import ANSWER_GRACE_S, HeldLease
from sabledyke.lease.section import LeaderTask

CONNECTION_LINGER_S = 10.0  # time limit for a call whose response is no longer awaited
NO_RESPONSE = 599  # Tornado's status of a call that got no response
# Statuses that do not tell whether the work has ended: a gateway does not know more than this process.
UNKNOWN_STATUSES = frozenset({NO_RESPONSE, HTTPStatus.BAD_GATEWAY, HTTPStatus.GATEWAY_TIMEOUT})


class LeaseSource(Protocol):
    """Interface of a lease manager that calls use."""

    @property
    def holder_id(self) -> str:
        """Identifier that the lease is held under."""

    def current_lease(self) -> HeldLease:
        """Return the token and the times of the held lease, or raise LeaseLostError."""


async def call_service(task: LeaderTask, manager: LeaseSource) -> None:
    """Send one POST request with headers for the task, the holder and the token.

    Further headers carry, in milliseconds, the time of sending by the machine's monotonic clock, the time
    since the lease was confirmed, and the time in which the holder may still operate, which also limits the
    call. The service answers 409 if it has seen a later token.

    Raises:
        LeaseLostError: The lease is not held.
        FencedError: The service has seen a later token.
        OperationNotBegunError: No connection was established, so the service has certainly not begun.
        OperationUnresolvedError: The service may still be working on the request.
        HTTPError: The service answered with another status; Tornado's own type.
    """
    lease = manager.current_lease()
    headers = {
        "Lease-Duty": task.name,
        "Lease-Token": str(lease.token),
        "Lease-Holder": manager.holder_id,
        "Lease-Sent-Ms": f"{time.monotonic() * 1000:.3f}",
        "Lease-Confirmed-Ms": f"{lease.confirmed_for_ms:.3f}",
        "Lease-Remaining-Ms": f"{lease.remaining_ms:.3f}",
    }
    url = f"http://{task.endpoint.host}:{task.endpoint.port}{task.endpoint.path}"
    try:
        await _post_within(task.name, url, headers, lease.remaining_ms / 1000)
    except HTTPError as error:
        if error.code != HTTPStatus.CONFLICT:
            raise
        text = f"{task.name}: the called service has seen a later token than {lease.token}"
        raise FencedError(text) from error


class _ConnectionObserver(TCPClient):
    """Opens the connection of one call.

    Attributes:
        connected: True once a connection was established, on which a request may have been sent.
    """

    def __init__(self, resolver: Resolver) -> None:
        super().__init__(resolver)
        self.connected = False

    async def connect(self, *address: Any, **options: Any) -> IOStream:
        """Connect, as ``TCPClient.connect``."""
        stream = await super().connect(*address, **options)
        self.connected = True
        return stream


async def _post_within(task_name: str, url: str, headers: Mapping[str, str], time_left_s: float) -> None:
    """Send a POST request, and wait for its response at most ``time_left_s``.

    Raises:
        HTTPError: The service answered with a status other than 200; Tornado's own type.
        OperationNotBegunError: No connection was established.
        OperationUnresolvedError: The outcome is unknown.
    """
    # A shared client would queue this call behind those of other tasks and send it with outdated lease times.
    client = SimpleAsyncHTTPClient(force_instance=True)
    observer = _ConnectionObserver(client.resolver)
    client.tcp_client = observer
    call = asyncio.ensure_future(post(client, url, b"", time_left_s + CONNECTION_LINGER_S, headers))
    try:
        await asyncio.wait({call}, timeout=time_left_s)
        await asyncio.wait({call}, timeout=ANSWER_GRACE_S)
        if not call.done():  # the call is not aborted: it may still connect and send
            raise OperationUnresolvedError(f"{task_name}: no response within {time_left_s * 1000:.0f} ms")
        call.result()
    except OperationUnresolvedError:
        raise
    except Exception as error:  # each type of error of a call falls into one of the three cases
        if not observer.connected:
            raise OperationNotBegunError(f"{task_name}: cannot connect to the service: {error}") from error
        if isinstance(error, HTTPError) and error.code not in UNKNOWN_STATUSES:
            raise
        raise OperationUnresolvedError(f"{task_name}: the call was not answered: {error!r}") from error
    finally:
        call.cancel()
