"""Bytes that clients of the HTTP frontend receive, from the first to the end of the connection."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

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

# Makes the frontend close a connection that would be kept alive.
CLOSING_REQUEST = b"GET /_health HTTP/1.1\r\nConnection: close\r\n\r\n"
REQUEST_LINE = b"GET / HTTP/1.1\r\n"
EXCHANGES: dict[str, bytes] = {
    "served-read-kept-alive": request() + CLOSING_REQUEST,
    "served-read-closed": request(close=True),
    "served-write": request("PUT", "/api/1/2?q=1", "Idempotency-Key: k1", body=b"hello") + CLOSING_REQUEST,
    "served-write-in-chunks": request("PUT", "/api/1/2", "Transfer-Encoding: chunked")
    + b"3\r\nabc\r\n0\r\n\r\n"
    + CLOSING_REQUEST,
    "http-1.0": request().replace(b"HTTP/1.1", b"HTTP/1.0"),
    "http-1.0-kept-alive": request("GET", "/api/1/2", "Connection: keep-alive").replace(
        b"HTTP/1.1", b"HTTP/1.0"
    )
    + CLOSING_REQUEST,
    "pipelined": request(ident="a") + request("PUT", ident="b", body=b"two") + request(ident="c", close=True),
    "health": b"GET /_health HTTP/1.1\r\n\r\n" + CLOSING_REQUEST,
    "health-by-head": b"HEAD /_health HTTP/1.1\r\nConnection: close\r\n\r\n",
    "health-by-post": b"POST /_health?x=1 HTTP/1.1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
    "repeated-id": request(ident="again") + request(ident="again"),
    "marked-as-retry": request("GET", "/api/1/2", "Req-Retry: 1", ident="retry", close=True),
    "not-http": b"no http\r\n\r\n",
    "bad-path": request("GET", "/api/1/zz"),
    "unknown-path": request("GET", "/nowhere"),
    "unknown-class": request().replace(b"Req-Kind: read", b"Req-Kind: scan"),
    "unknown-tier": request().replace(b"Tier: gold", b"Tier: tin"),
    "no-id": request().replace(b"Req-Id: id-1\r\n", b""),
    "two-ids": request("GET", "/api/1/2", "Req-Id: other"),
    "no-deadline": request().replace(b"Req-Deadline: 20.0\r\n", b""),
    "deadline-of-zero": request().replace(b"20.0", b"0.0"),
    "bad-io-info": request().replace(b"units=1", b"units=x"),
    "read-with-body": request(body=b"x"),
    "head": request("HEAD", close=True),
    "post": request("POST", body=b"x"),
    "delete": request("DELETE"),
    "options": b"OPTIONS * HTTP/1.1\r\n\r\n",
    "bad-length": request("PUT", "/api/1/2", "Content-Length: x"),
    "two-lengths": request("PUT", "/api/1/2", "Content-Length: 1", "Content-Length: 1"),
    "bad-chunk": request("PUT", "/api/1/2", "Transfer-Encoding: chunked") + b"zz\r\n",
    "unknown-coding": request("PUT", "/api/1/2", "Transfer-Encoding: gzip"),
    "body-too-large": request("PUT", "/api/1/2", "Content-Length: 65537"),
    "head-too-large": REQUEST_LINE + b"X: " + b"x" * 17000 + b"\r\n\r\n",
    "bad-header-line": REQUEST_LINE + b"no colon\r\n\r\n",
    "unfinished-head": REQUEST_LINE,
    "expects-continue": request("PUT", "/api/1/2", "Expect: 100-continue", "Content-Length: 2"),
}


def test_the_front_answers_each_exchange_with_the_approved_bytes(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Deployment(tmp_path, echo) as deployment:

            async def run_exchange(name: str, sent: bytes) -> str:
                sent = sent.replace(b"id-1", name.encode())  # an id must be unique until its deadline
                received = await exchange(deployment.front, sent)
                shown = sent if len(sent) < 2000 else b"%d bytes" % len(sent)
                return f"#### {name}\n" + deployment.transcript(("client", shown), ("scheduler", received))

            shown = await asyncio.gather(*(run_exchange(name, sent) for name, sent in EXCHANGES.items()))
            check_approved("front-exchanges.txt", "\n".join(shown))

    run_scenario(scenario())


def test_a_write_is_continued_once_and_then_served(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Deployment(tmp_path, echo) as deployment:
            reader, writer = await asyncio.open_connection("127.0.0.1", deployment.front)
            head = request("PUT", "/api/1/2", "Expect: 100-continue", "Content-Length: 2", close=True)
            writer.write(head)
            interim = await reader.readuntil(b"\r\n\r\n")
            writer.write(b"hi")
            final = await reader.read()
            writer.close()
            parts = (("client", head), ("scheduler", interim), ("client", b"hi"), ("scheduler", final))
            check_approved("front-continue.txt", deployment.transcript(*parts))

    run_scenario(scenario())


NODE_ANSWERS: dict[str, Response] = {
    "declined": response(503, b"", "Srv-Declined: 1"),
    "failed": response(500, b"not passed on"),
    "garbage": b"garbage\r\n\r\n",
    "cut-off": None,
}


@pytest.mark.parametrize("retry_after", [True, False])
@pytest.mark.parametrize("node_answer", NODE_ANSWERS)
def test_a_write_that_no_node_serves_is_refused_or_fails(
    tmp_path: Path, node_answer: str, *, retry_after: bool
) -> None:
    async def respond(_number: int, _request: bytes) -> Response:
        return NODE_ANSWERS[node_answer]

    async def scenario() -> None:
        config = settings(retry_after=retry_after)
        async with Deployment(tmp_path, respond, config=config) as deployment:
            keyed = request("PUT", "/api/1/2", "Idempotency-Key: k1", body=b"hello", close=True)
            at_most_once = request("PUT", "/api/1/2", ident="id-2", body=b"hello", close=True)
            at_most_once = at_most_once.replace(b"Req-Kind: write", b"Req-Kind: append")
            parts = (
                ("deduplicated write", await exchange(deployment.front, keyed)),
                ("write that may run at most once", await exchange(deployment.front, at_most_once)),
            )
            name = f"front-node-{node_answer}{'' if retry_after else '-no-retry-after'}.txt"
            check_approved(name, deployment.transcript(*parts))

    run_scenario(scenario())


def test_a_drain_by_the_console_closes_connections_with_their_answers(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Deployment(tmp_path, echo) as deployment:
            await exchange(deployment.console, b"POST /admin/quiesce HTTP/1.1\r\n\r\n")
            health = await exchange(deployment.front, b"GET /_health HTTP/1.1\r\n\r\n")
            served = await exchange(deployment.front, request())
            await exchange(deployment.console, b"POST /admin/resume HTTP/1.1\r\n\r\n")
            resumed = await exchange(deployment.front, CLOSING_REQUEST)
            parts = (("health while draining", health), ("read while draining", served), ("resumed", resumed))
            check_approved("front-drain.txt", deployment.transcript(*parts))

    run_scenario(scenario())


def test_a_request_in_flight_at_sigterm_is_answered_and_the_process_ends_in_order(tmp_path: Path) -> None:
    async def scenario() -> None:
        released = asyncio.Event()

        async def respond(_number: int, _request: bytes) -> Response:
            await released.wait()
            return response(200, b"late")

        async with Deployment(tmp_path, respond) as deployment:
            in_flight = asyncio.create_task(exchange(deployment.front, request()))
            await deployment.nodes[0].wait_for(1)
            deployment.terminate()
            released.set()
            parts = (("read in flight", await in_flight),)
            status = await deployment.process.wait()
            transcript = deployment.transcript(*parts) + f"== exit status\n{status}\n"
            check_approved("front-sigterm.txt", transcript)

    run_scenario(scenario())
