"""Tests of the operators' console: its calls, its limits, its metrics, and a drain."""

from __future__ import annotations

import asyncio
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from sabledyke.net.console import MAX_CONNECTIONS
from tests.standins import http, read_http, send_request
from tests.support.console_calls import call, stats
from tests.support.server_rig import GET, INFO, PUT, Rig, hold_answers, play


def test_the_console_answers_each_call_and_rejects_invalid_ones() -> None:
    async def scenario(rig: Rig) -> None:
        port = rig.server.console_port
        assert (await call(port, "GET", "/admin/health"))[:3:2] == (200, b"")
        assert (await call(port, "GET", "/admin/nothing"))[0] == 404
        assert (await call(port, "POST", "/admin/health"))[0] == 405
        assert (await call(port, "GET", "/admin/quiesce"))[0] == 405
        for garbage in (b"\x00\xff garbage\r\n\r\n", b"GET /admin/health HTTP/1.1\r\nX: " + b"x" * 9000):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(garbage)
            assert (await reader.read()).startswith(b"HTTP/1.1 400")
            writer.close()
        for _ in range(2):  # The second call succeeds and has no effect.
            assert (await call(port, "POST", "/admin/quiesce"))[0] == 200
        assert (await call(port, "GET", "/admin/health"))[0] == 503
        assert (await call(port, "POST", "/admin/resume"))[0] == 200
        assert (await call(port, "POST", "/admin/resume"))[0] == 200  # succeeds without a drain
        assert (await call(port, "GET", "/admin/health"))[0] == 200

    play(scenario, console=True)


@settings(max_examples=25, derandomize=True, deadline=None)
@given(st.lists(st.integers(1, 40), max_size=6))
def test_a_call_in_any_chunks_gets_the_same_answer(sizes: list[int]) -> None:
    async def scenario(rig: Rig) -> None:
        request = b"GET /admin/stats HTTP/1.1\r\nHost: c\r\n\r\n"
        reader, writer = await asyncio.open_connection("127.0.0.1", rig.server.console_port)
        offset = 0
        for size in sizes:
            writer.write(request[offset : offset + size])
            await writer.drain()
            offset += size
        writer.write(request[offset:])
        assert (await reader.read()).startswith(b"HTTP/1.1 200")
        writer.close()

    play(scenario, console=True)


def test_connections_without_a_call_do_not_block_a_call() -> None:
    async def scenario(rig: Rig) -> None:
        port = rig.server.console_port
        idle = [await asyncio.open_connection("127.0.0.1", port) for _ in range(3 * MAX_CONNECTIONS)]
        assert (await call(rig.server.console_port, "GET", "/admin/health"))[0] == 200
        assert rig.server.console.connection_count <= MAX_CONNECTIONS  # type: ignore[union-attr]
        for _, writer in idle:
            writer.close()

    play(scenario, console=True)


def test_a_call_is_answered_while_many_requests_are_in_flight() -> None:
    async def scenario(rig: Rig) -> None:
        arrived, release = hold_answers(rig)
        metrics, unanswered_counts = rig.server.metrics, list[int]()

        def read() -> list[str]:  # Requests reach their deadlines while the call is in progress.
            unanswered_counts.append(rig.server.core.unanswered)
            return metrics()

        setattr(rig.server, "metrics", read)  # noqa: B010
        requests = [GET.format(1, f"i{n}", INFO) for n in range(100)]
        waiting = [asyncio.create_task(send_request(rig.port, text)) for text in requests]
        await arrived.wait()
        while rig.server.core.unanswered + rig.server.core.metrics.answer_totals[0] < 40:
            await asyncio.sleep(0.01)
        status, body, _ = await call(rig.server.console_port, "GET", "/admin/stats")
        assert status == 200
        assert [stats(body)["svc.concurrent"]] == unanswered_counts != [0]
        release.set()
        assert {s for s, _, _ in await asyncio.gather(*waiting)} <= {200, 503}

    play(scenario, console=True)


def test_the_metrics_match_the_answers_that_clients_received() -> None:
    async def scenario(rig: Rig) -> None:
        no = http(503, b"", "Srv-Declined: 1")
        responses = {"read": http(200, b"x"), "ok": http(200), "no": no, "bad": http(500)}

        async def answer(_writer: object) -> bytes | None:
            return responses[rig.http.seen[-1][1]["req-id"].partition("-")[0]]

        rig.http.answer = answer
        seen: Counter[str] = Counter()
        requests = [("read", GET)] * 7 + [(k, PUT) for k in ("ok", "no", "bad") * 3]
        for n, (kind, text) in enumerate(requests):
            headers = INFO + f"Idempotency-Key: k{n}\nContent-Length: 0\n" if text is PUT else INFO
            status, _, _ = await send_request(rig.port, text.format(1, f"{kind}-{n}", headers))
            outcome = {200: "success", 503: "overload", 500: "error"}[status]
            seen[f"svc.{outcome}.{'read' if kind == 'read' else 'write'}"] += 1
        metrics = stats((await call(rig.server.console_port, "GET", "/admin/stats"))[1])
        for name, count in seen.items():
            assert metrics[name] == count, (name, metrics)
        assert sum(v for k, v in metrics.items() if k.split(".")[1] in ("success", "overload", "error")) == 16
        assert metrics["svc.dispatches"] == len(rig.http.seen)
        assert metrics["svc.concurrent"] == 0
        assert metrics["svc.targets"] == 2
        assert metrics["svc.reload_success"] == metrics["svc.reload_failure"] == 0
        rejections = sum(count for name, count in metrics.items() if name.startswith("svc.rejections."))
        assert rejections == sum(count for name, count in seen.items() if "success" not in name)
        rig.server.reload()
        after = stats((await call(rig.server.console_port, "GET", "/admin/stats"))[1])
        assert after["svc.reload_success"] == 1

    play(scenario, console=True)


def test_a_drain_ends_idle_busy_and_pipelined_connections_and_resume_undoes_it() -> None:
    async def scenario(rig: Rig) -> None:
        one = GET.format(1, "{}", INFO).replace("\n", "\r\n")
        idle_reader, idle = await asyncio.open_connection("127.0.0.1", rig.port)
        idle.write(one.format("before").encode())
        assert (await read_http(idle_reader))[0].startswith("HTTP/1.1 200")
        arrived, release = hold_answers(rig)
        busy_reader, busy = await asyncio.open_connection("127.0.0.1", rig.port)
        busy.write(one.format("busy").encode())
        piped_reader, piped = await asyncio.open_connection("127.0.0.1", rig.port)
        piped.write((one.format("p1") + one.format("p2")).encode())
        await arrived.wait()
        while rig.server.core.unanswered < 2:
            await asyncio.sleep(0.01)
        assert (await call(rig.server.console_port, "POST", "/admin/quiesce"))[0] == 200
        assert await idle_reader.read() == b""  # closed immediately
        assert (await send_request(rig.port, "GET /_health HTTP/1.1\n\n"))[0] == 503
        release.set()
        first, headers, _ = await read_http(busy_reader)
        assert first.startswith("HTTP/1.1 200")
        assert headers["connection"] == "close"
        assert await busy_reader.read() == b""
        # Both requests were read and are answered.
        answers = [await read_http(piped_reader) for _ in range(2)]
        assert [h.get("connection") for _, h, _ in answers] == [None, "close"]
        assert await piped_reader.read() == b""
        assert rig.server.listeners  # the process keeps running
        assert not rig.server.is_accepting_clients
        assert (await call(rig.server.console_port, "POST", "/admin/resume"))[0] == 200
        status, headers, _ = await send_request(rig.port, "GET /_health HTTP/1.1\n\n")
        assert status == 200
        assert "connection" not in headers
        for writer in (idle, busy, piped):
            writer.close()

    play(scenario, console=True)
