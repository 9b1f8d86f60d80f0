"""Responses of the operators' console: health, metrics, drain and resume, and invalid calls."""

from __future__ import annotations

import re
from pathlib import Path

from tests.transcripts.support import Deployment, check_approved, echo, exchange, request, run_scenario

CALLS = {
    "health": b"GET /admin/health HTTP/1.1\r\nHost: c\r\n\r\n",
    "health by HEAD": b"HEAD /admin/health?x=1 HTTP/1.1\r\n\r\n",
    "health over HTTP/1.0": b"GET /admin/health HTTP/1.0\r\n\r\n",
    "quiesce": b"POST /admin/quiesce HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
    "quiesce again": b"POST /admin/quiesce HTTP/1.1\r\n\r\n",
    "health while draining": b"GET /admin/health HTTP/1.1\r\n\r\n",
    "resume": b"POST /admin/resume HTTP/1.1\r\n\r\n",
    "resume again": b"POST /admin/resume HTTP/1.1\r\n\r\n",
    "health after resume": b"GET /admin/health HTTP/1.1\r\n\r\n",
    "two calls at once": b"GET /admin/health HTTP/1.1\r\n\r\n" * 2,
    "unknown path": b"GET /admin/nothing HTTP/1.1\r\n\r\n",
    "path of the front": b"GET /_health HTTP/1.1\r\n\r\n",
    "POST health": b"POST /admin/health HTTP/1.1\r\n\r\n",
    "POST stats": b"POST /admin/stats HTTP/1.1\r\n\r\n",
    "GET quiesce": b"GET /admin/quiesce HTTP/1.1\r\n\r\n",
    "HEAD resume": b"HEAD /admin/resume HTTP/1.1\r\n\r\n",
    "DELETE health": b"DELETE /admin/health HTTP/1.1\r\n\r\n",
    "garbage": b"\x00\xff garbage\r\n\r\n",
    "head too large": b"GET /admin/health HTTP/1.1\r\nX: " + b"x" * 9000,
    "body too large": b"POST /admin/quiesce HTTP/1.1\r\nContent-Length: 65537\r\n\r\n",
}


def test_each_call_gets_the_approved_bytes(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Deployment(tmp_path, echo) as deployment:
            shown = []
            for name, sent in CALLS.items():
                received = await exchange(deployment.console, sent)
                shown.append((f"{name}: {sent.splitlines()[0].decode('latin-1')!a}", received))
            check_approved("console-calls.txt", deployment.transcript(*shown))

    run_scenario(scenario())


def _without_gauges_of_the_process(received: bytes) -> bytes:
    """Replace the gauges that vary between runs, and the length, which is checked here."""
    head, _, body = received.partition(b"\r\n\r\n")
    length = re.search(rb"Content-Length: (\d+)", head)
    assert length
    assert int(length[1]) == len(body) or not body
    varying = re.sub(rb"(svc\.(resident_bytes|longest_lateness_ms)):\d+", rb"\1:<number>", body)
    return re.sub(rb"Content-Length: \d+", b"Content-Length: <length>", head) + b"\r\n\r\n" + varying


def test_the_metrics_have_the_approved_names_types_and_order(tmp_path: Path) -> None:
    """Values are compared too, as the preceding requests determine them, but for the process's own gauges."""

    async def scenario() -> None:
        async with Deployment(tmp_path, echo) as deployment:
            call = b"GET /admin/stats HTTP/1.1\r\n\r\n"
            first = await exchange(deployment.console, call)
            for number in range(2):
                await exchange(deployment.front, request(ident=f"r{number}", close=True))
            await exchange(deployment.front, request("PUT", ident="w", body=b"x", close=True))
            later = await exchange(deployment.console, call)
            by_head = await exchange(deployment.console, call.replace(b"GET", b"HEAD"))
            assert re.search(rb"\r\n\r\n(svc\.[a-z_.]+:\d+\|[cg]\n)+$", later)
            parts = (("at the start", first), ("after two reads and a write", later), ("by HEAD", by_head))
            shown = [(title, _without_gauges_of_the_process(received)) for title, received in parts]
            check_approved("console-stats.txt", deployment.transcript(*shown))

    run_scenario(scenario())
