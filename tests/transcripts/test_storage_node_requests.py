"""Bytes that storage nodes receive over HTTP: reads, keyed writes, retries and hedged requests."""

from __future__ import annotations

import asyncio
import re
from pathlib import Path
from typing import Any

from tests.transcripts.support import (
    Deployment,
    Response,
    check_approved,
    echo,
    exchange,
    request,
    response,
    run_scenario,
    settings,
)

DEADLINE = re.compile(rb"\r\nReq-Deadline: (\d+\.\d{3})\r\n")


def deadlines(requests: list[bytes]) -> list[float]:
    """Return the remaining seconds that each of these requests to nodes states."""
    found = [DEADLINE.findall(sent) for sent in requests]
    assert all(len(stated) == 1 for stated in found)
    return [float(stated[0]) for stated in found]


def test_reads_and_writes_reach_a_node_with_the_approved_bytes(tmp_path: Path) -> None:
    sent = (
        ("read", request("GET", "/api/00000003b4d60021/7f?part=2", "X-Extra: dropped", ident="read")),
        ("keyed write", request("PUT", "/api/1/2?q=1", "Idempotency-Key: k1", ident="keyed", body=b"hello")),
        ("write without key", request("PUT", "/api/1/2", ident="plain", body=b"\x00\xff")),
        ("write without body", request("PUT", "/api/1/2", ident="empty")),
        ("read marked as retry", request("GET", "/api/1/2", "Req-Retry: 1", ident="retry", close=True)),
    )

    async def scenario() -> None:
        async with Deployment(tmp_path, echo) as deployment:
            await exchange(deployment.front, *(data for _, data in sent))
            requests = deployment.nodes[0].requests
            titles = [title for title, _ in sent]
            check_approved("node-requests.txt", deployment.transcript(*zip(titles, requests, strict=True)))
            assert all(0 < left <= 20 for left in deadlines(requests))

    run_scenario(scenario())


def short_objective_settings(**ceilings: Any) -> dict[str, Any]:
    """Return settings where a short latency objective of an unused class makes the scheduler retry soon."""
    config = settings(**ceilings)
    config["profiles"][2]["aim"] = 100
    return config


def attempts_of(deployment: Deployment, ident: str) -> list[bytes]:
    """Return the bytes that nodes received for one request of a client, an item for each attempt."""
    mark = f"\r\nReq-Id: {ident}\r\n".encode()
    return [sent for node in deployment.nodes for sent in node.requests if mark in sent]


def shared_transcript(deployment: Deployment, requests: list[bytes]) -> str:
    """Return the transcript of all these attempts, which differ only in the node."""
    (shared,) = {
        re.sub("<node.>", "<node>", deployment.transcript(("each attempt", sent))) for sent in requests
    }
    return shared


def test_a_retry_has_the_bytes_of_the_first_attempt(tmp_path: Path) -> None:
    declined = asyncio.Event()

    async def decline_one(number: int, sent: bytes) -> Response:
        if declined.is_set():
            return await echo(number, sent)
        declined.set()
        return response(503, b"", "Srv-Declined: 1")

    async def scenario() -> None:
        async with Deployment(
            tmp_path, decline_one, decline_one, config=short_objective_settings()
        ) as deployment:
            sent = request("PUT", "/api/1/2", "Idempotency-Key: k1", body=b"hello", close=True)
            answer = await exchange(deployment.front, sent.replace(b"shard=0", b"shard=-1"))
            attempts = attempts_of(deployment, "id-1")
            shared = shared_transcript(deployment, attempts)
            assert len(attempts) in (2, 3)
            assert all(0 < left <= 20 for left in deadlines(attempts))
            check_approved("node-retry.txt", shared + deployment.transcript(("client's answer", answer)))

    run_scenario(scenario())


def test_a_hedged_request_has_the_bytes_of_the_first(tmp_path: Path) -> None:
    """A request is hedged if a later one overtakes its attempt, which is still in flight."""
    held = asyncio.Event()

    async def hold_the_first(number: int, sent: bytes) -> Response:
        if b"Req-Id: id-1\r\n" in sent and not held.is_set():
            held.set()
            await asyncio.Event().wait()
        return await echo(number, sent)

    async def scenario() -> None:
        config = short_objective_settings(second_copies=True)
        async with Deployment(tmp_path, hold_the_first, hold_the_first, config=config) as deployment:
            first = request(close=True).replace(b"shard=0", b"shard=-1")
            waiting = asyncio.create_task(exchange(deployment.front, first))
            await held.wait()
            shard = next(number for number, node in enumerate(deployment.nodes) if node.requests)
            later = request(ident="id-2", close=True).replace(b"shard=0", b"shard=%d" % shard)
            await exchange(deployment.front, later)
            answer = await waiting
            attempts = attempts_of(deployment, "id-1")
            shared = shared_transcript(deployment, attempts)
            assert len(attempts) in (2, 3)
            assert all(0 < left <= 20 for left in deadlines(attempts))
            check_approved("node-hedged.txt", shared + deployment.transcript(("client's answer", answer)))

    run_scenario(scenario())
