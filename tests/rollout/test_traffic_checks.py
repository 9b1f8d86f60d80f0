"""Checks of the testbed on repeated writes that reach storage nodes."""

from __future__ import annotations

import asyncio
import socket

import pytest
from tornado.iostream import IOStream

from sabledyke.testbed.deployment import DEDUPLICATION_WINDOW_MS
from sabledyke.testbed.storage_nodes import connection_state
from sabledyke.testbed.traffic_checks import ConnectionState, DeduplicationCheck, RepeatCheck

IN_WINDOW_S = DEDUPLICATION_WINDOW_MS / 1000 / 2
REQUEST = "c-1-0"


@pytest.mark.parametrize(
    ("request_id", "shard", "after_s", "violations", "sent_again"),
    [
        ("c-1-0", 1, IN_WINDOW_S, 0, []),  # a retry by the scheduler, which the protocol allows
        ("c-1-1", 1, IN_WINDOW_S, 0, ["key"]),
        ("c-1-0", 2, IN_WINDOW_S, 1, []),
        ("c-1-0", 1, 3 * IN_WINDOW_S, 1, []),
    ],
)
def test_repeats_of_a_key_are_classified(
    request_id: str, shard: int, after_s: float, violations: int, sent_again: list[str]
) -> None:
    check = DeduplicationCheck()
    check.on_run("key", 1, 100.0, "c-1-0")
    check.on_run("key", shard, 100.0 + after_s, request_id)
    assert check.violations == violations
    assert check.keys_resent_by_clients() == sent_again
    assert "c-1-0" in check.describe_repeats()


class FakeConnection:
    """A connection with a state that the test sets."""

    def __init__(self) -> None:
        self.state = ConnectionState.OPEN


@pytest.mark.parametrize(
    ("is_answered", "state", "is_allowed"),
    [
        (False, ConnectionState.CLOSED, True),  # cancelled
        (False, ConnectionState.RESET, True),
        (False, ConnectionState.OPEN, False),  # the first attempt still runs
        (True, ConnectionState.RESET, True),  # cancelled with the answer unread
        (True, ConnectionState.CLOSED, False),
        (True, ConnectionState.OPEN, False),
    ],
)
def test_a_repeat_is_allowed_once_the_previous_attempt_was_cancelled(
    *, is_answered: bool, state: ConnectionState, is_allowed: bool
) -> None:
    """Guards against a second attempt while the first still runs, or after its answer was read."""
    check = RepeatCheck(lambda connection: connection.state)
    first, second = FakeConnection(), FakeConnection()
    check.on_arrival(REQUEST, first, 100.0).is_answered = is_answered
    first.state = state
    check.on_arrival(REQUEST, second, 100.2)
    assert (len(check.allowed), len(check.untimely)) == ((1, 0) if is_allowed else (0, 1))


def test_an_answer_counts_as_read_if_its_connection_is_reused_before_a_reset() -> None:
    check = RepeatCheck(lambda connection: connection.state)
    connection = FakeConnection()
    check.on_arrival(REQUEST, connection, 100.0).is_answered = True
    check.on_arrival("c-2-0", connection, 100.1)
    connection.state = ConnectionState.RESET
    check.on_arrival(REQUEST, FakeConnection(), 100.2)
    assert not check.allowed
    assert len(check.untimely) == 1


@pytest.mark.parametrize("has_unread", [False, True])
def test_a_connection_closed_by_its_peer_over_unread_bytes_counts_as_reset(*, has_unread: bool) -> None:
    async def run() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            peer = socket.create_connection(listener.getsockname())
            stream = IOStream(listener.accept()[0])
        assert connection_state(stream) is ConnectionState.OPEN
        if has_unread:
            await stream.write(b"answer")
        peer.close()
        closed = ConnectionState.RESET if has_unread else ConnectionState.CLOSED
        assert connection_state(stream) is closed
        stream.close()

    asyncio.run(run())
