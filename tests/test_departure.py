"""Leaving: what a scheduler does from SIGTERM to its end, also before clients that do not make it easy."""

from __future__ import annotations

import asyncio
import signal
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sabledyke import invariants
from sabledyke.application.extensions import Extension
from sabledyke.application.server import Server
from sabledyke.config import Config
from sabledyke.core import Answer, AnswerStatus
from sabledyke.policy.settings import RepeatSafety
from sabledyke.shutdown.graceful_shutdown import Departure, Phase, Times
from tests.helpers import BRISK, FIXED, SETTINGS, WRITE, Rig
from tests.standins import Discovery, Reader, Writer, ask, http, read_http
from tests.test_core import Bench
from tests.test_net import DEPLOYMENT, GET, INFO, PUT, held_back, play
from tests.test_net import Rig as Program

SHORT = replace(BRISK, longest=1.2)  # over 1.5 s after it was told
ONE = GET.format(1, "i{}", INFO).replace("\n", "\r\n")


@FIXED
@given(st.floats(0.05, 20), st.floats(0, 4), st.floats(0, 4), st.booleans())
def test_it_only_goes_forward_and_is_gone_before_the_kill(
    longest: float, at: float, later: float, hastened: bool
) -> None:
    plan, kill = Departure(100.0, longest, 1), 100 + min(longest, 3) + 0.7
    if hastened:
        plan.hasten(100 + at)
        assert plan.over <= max(100 + at + Times().haste, kill)
    one, two = sorted((100 + at, 100 + at + later))
    assert plan.phase(one) <= plan.phase(two)
    assert plan.phase(kill - 0.1) is Phase.OVER and plan.until <= plan.over < plan.back
    assert not any(plan.ends(100 + k / 9) for k in range(5)) or hastened or longest < 0.6
    assert plan.ends(plan.until) and (plan.over - plan.until >= 0.09 or hastened or longest < 0.1)


def test_answers_part_from_clients_by_and_by() -> None:
    plans = [Departure(0.0, 3.0, seed) for seed in range(400)]
    begins = plans[0].until - Times().parting
    ended = [sum(p.ends(begins + k * Times().parting / 4) for p in plans) / 400 for k in range(4)]
    assert ended[0] == 0 and all(abs(ended[k] - k / 4) < 0.08 for k in range(4)), ended


def test_by_a_plan_connections_that_rest_go_evenly_and_none_is_left_for_the_end() -> None:
    """Else what comes in the last moments would be refused, though others of the fleet serve."""
    for planned, gone in ((False, [0, 0, 0, 400]), (True, [0, 133, 267, 400])):
        plan, left, seen = Departure(0.0, 3.0, 7, planned=planned), 400, list[int]()
        for look in range(400):
            now = look / 100
            if now in (0.5, 1.5, 2.5, 3.5):  # the listener closes at 0.6, and it is over at 3.58
                seen.append(400 - left)
            left -= sum(plan.sheds(now, 0.01) for _ in range(left))
        assert all(abs(was - is_) < 45 for was, is_ in zip(gone, seen, strict=True)), (planned, seen)


@pytest.mark.parametrize(
    "changes, sends, verdict",
    [
        ({}, True, AnswerStatus.REJECTED),  # may be repeated: coming again is harmless
        ({"class_index": 1, "write": True}, True, AnswerStatus.FAILED),  # it may have run
        ({"class_index": 1, "write": True}, False, AnswerStatus.REJECTED),  # never sent
    ],
)
def test_at_the_end_everybody_who_is_owed_an_answer_gets_one(
    changes: dict[str, object], sends: bool, verdict: AnswerStatus
) -> None:
    bench = Bench(None if sends else lambda now, events: [])  # a module that keeps silent
    once = replace(WRITE, repeat_safety=RepeatSafety.AT_MOST_ONCE)
    bench.core.settings = replace(SETTINGS, classes=(SETTINGS.classes[0], once))
    rid = bench.ask(**changes)
    assert bool(bench.started) is sends
    bench.core.scheduler.handle = lambda now_ms, events: []  # type: ignore[method-assign]
    bench.core.shut_down_by(bench.now + 100, bench.now + 1e6)
    bench.wait(99)
    assert not bench.answers
    bench.wait(1)
    assert bench.answers == [Answer(verdict, retry_after_ms=SETTINGS.max_retry_after_ms)]
    bench.ask(client_request_id="late")  # what still comes is answered within a look
    bench.wait(10)
    assert [a.status for a in bench.answers[1:]] == [AnswerStatus.REJECTED] and not bench.core.unanswered
    assert not invariants.violations and (not sends or bench.core._open[rid].out)


def test_what_cannot_be_finished_is_refused_at_once_and_not_begun() -> None:
    rig = Rig(scheduler_count=1)
    for _ in range(20):  # an answer takes 100 ms
        rig.end(rig.ask(), took=100)
        rig.wait(100)
    held = [rig.ask() for _ in range(40)]
    rig.scheduler.shut_down_by(rig.now + 150)
    rig.wait(20)
    early = [r for r in held if rig.answers(r)]
    rig.wait(90)
    late = rig.ask()
    rig.wait(20)
    assert early and not rig.sends(late) and rig.answers(late)
    assert all(
        job.full_value_until_ms <= rig.scheduler.context.shutdown_at_ms
        for job in rig.scheduler.requests.requests.values()
    )


async def leave(rig: Program) -> asyncio.Task[None]:
    rig.server._times = SHORT
    rig.server.leave()
    return asyncio.create_task(rig.server.finish())


async def say(writer: Writer, n: object) -> None:
    writer.write(ONE.replace("i{}", f"i{n}").encode())


def test_open_connections_are_served_on_and_end_with_an_answer() -> None:
    """The listener closes; who is connected is served until the end, and no answer is missing."""

    async def story(rig: Program) -> None:
        lines = [await asyncio.open_connection("127.0.0.1", rig.port) for _ in range(8)]
        end, loop = await leave(rig), asyncio.get_running_loop()
        began = loop.time()

        async def client(line: tuple[Reader, Writer], k: int) -> tuple[float, bool, list[int]]:
            said, last = [], False
            for n in range(10_000):
                await say(line[1], f"{k}-{n}")
                first, headers, _ = await read_http(line[0])
                said.append(int(first.split()[1]))
                if last := headers.get("connection") == "close":
                    break
                await asyncio.sleep(0.02)
            assert await line[0].read() == b""
            return loop.time() - began, last, said

        ends = await asyncio.gather(*(client(line, k) for k, line in enumerate(lines)))
        await end
        assert all(last and set(said) <= {200, 503} and said[0] == 200 for _, last, said in ends)
        assert sum(s == 200 for _, _, said in ends for s in said) > 8 * 10
        with pytest.raises(OSError):
            await asyncio.open_connection("127.0.0.1", rig.port)

    play(story)


def test_what_a_hanging_box_holds_is_answered_before_the_end() -> None:
    async def story(rig: Program) -> None:
        asked, _ = held_back(rig)  # never let go
        texts = [GET.format(1, "r", INFO), PUT.format(1, "w", INFO + "Content-Length: 0\n")]
        owed = [asyncio.create_task(ask(rig.port, text)) for text in texts]
        await asked.wait()
        while rig.server.core.unanswered < 2:
            await asyncio.sleep(0.01)
        await (await leave(rig))
        assert [status for status, _, _ in await asyncio.gather(*owed)] == [503, 500]

    play(story)


@pytest.mark.parametrize("kind", ["pipelines", "never reads", "a byte at a time", "sends after the last"])
def test_who_makes_it_hard_neither_holds_up_the_end_nor_harms_the_others(kind: str) -> None:
    async def story(rig: Program) -> None:
        async def big(_: Writer) -> bytes | None:
            return http(200, b"x" * 40_000)

        rig.http.answer = big
        good = await asyncio.open_connection("127.0.0.1", rig.port)
        bad, writer = await asyncio.open_connection("127.0.0.1", rig.port)
        end, n = await leave(rig), 0

        async def nuisance() -> None:
            for k in range(10_000):
                if kind == "a byte at a time":
                    writer.write(ONE.encode()[k : k + 1])
                else:
                    await say(writer, f"bad{k}")
                if kind == "sends after the last":
                    first = (await read_http(bad))[0]
                    assert first.split()[1] in ("200", "503")
                await asyncio.sleep(0.005 if kind != "a byte at a time" else 0.1)

        other = asyncio.create_task(nuisance())
        while not end.done():
            await say(good[1], f"good{n}")
            n += 1
            try:
                first, headers, _ = await read_http(good[0])
            except asyncio.IncompleteReadError:
                break  # closed between requests, once nothing is begun any more
            assert first.split()[1] in ("200", "503")
            if headers.get("connection") == "close":
                break
            await asyncio.sleep(0.02)
        async with asyncio.timeout(2 * 1.5):
            await end
        other.cancel()
        writer.transport.abort()
        assert n > 10 and not rig.server.core.unanswered

    play(story)


@pytest.mark.parametrize("what", ["again", "reload", "quiesced before", "resumed meanwhile"])
def test_what_else_is_asked_of_it_while_it_leaves(what: str) -> None:
    async def story(rig: Program) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
        await say(writer, 0)
        assert (await read_http(reader))[0].split()[1] == "200"
        if what == "quiesced before":
            rig.server.quiesce()
            assert await reader.read() == b""  # an idle connection ended with the drain
            reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
        end = await leave(rig)
        began = asyncio.get_running_loop().time()
        await asyncio.sleep(0.2)  # the listener is closed by now
        if what == "again":
            rig.server.leave()
            rig.server.leave()
            plan, now = rig.server._departure, asyncio.get_running_loop().time()
            assert plan is not None and plan.over <= now + SHORT.haste  # and not the second time from anew
        elif what == "reload":
            rig.config = replace(rig.config, settings=replace(rig.config.settings, max_attempts=2))
            rig.server.reload()
            assert rig.server.core.settings.max_attempts == 2 and not rig.server.listeners
        elif what == "resumed meanwhile":
            rig.server.resume()
        await say(writer, 1)
        first, headers, _ = await read_http(reader)
        assert first.split()[1] == "200"  # whatever it was: who is connected is served
        assert (headers.get("connection") == "close") >= (what == "quiesced before")
        assert not rig.server.takes_clients
        await end
        took = asyncio.get_running_loop().time() - began
        assert took < {"again": 1.0, "quiesced before": 1.0}.get(what, 3.0)

    play(story)


def test_told_to_end_before_its_doors_are_open_it_opens_none() -> None:
    async def story(rig: Program) -> None:
        new = Server(replace(rig.config, name="young"), None, BRISK)
        run = asyncio.create_task(new.run())
        await asyncio.sleep(0)
        new.leave()
        async with asyncio.timeout(1):
            await run
        assert not new.listeners
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().remove_signal_handler(number)

    play(story)


@pytest.mark.parametrize(
    "in_turn, down, knows", [(True, False, True), (True, True, False), (False, False, False)]
)
def test_who_comes_back_in_its_turn_has_the_list_before_its_doors_open(
    in_turn: bool, down: bool, knows: bool
) -> None:
    """Others ask by chance within seconds, as many may start together; nobody waits for a discovery that
    cannot be called.
    """

    async def run() -> None:
        found, part = Discovery(), Extension()
        await found.open()
        found.add("plain", 1, 0)
        settings = replace(DEPLOYMENT, scheduler_count=64)
        here = ("127.0.0.1", 1 if down else found.port)
        server = Server(Config("n0", ("127.0.0.1", 0), here, 1, 256, 1 << 22, None, settings), None, SHORT)
        part.waits_for_budget = in_turn
        server.parts.append(part)
        ends = asyncio.create_task(server.run())
        while not server.listeners:
            await asyncio.sleep(0.001)
        assert (b"plain" in server.core.nodes) is knows
        server.leave()
        await ends
        found.die()

    asyncio.run(asyncio.wait_for(run(), 60))
