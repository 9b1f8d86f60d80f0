"""Releases of a fleet of processes, with faults between them."""

from __future__ import annotations

import asyncio
import base64
from typing import Any

import orjson
import pytest

from sabledyke.compacted_log.client import RETRY_TIMEOUT_S as ASKED_AGAIN
from sabledyke.errors import PlanError
from sabledyke.rollout import (
    disruption_budget,
)
from sabledyke.rollout.fleet_view import FleetView
from sabledyke.rollout.records import (
    Plan,
    PlanStage,
)
from sabledyke.testbed.fleet_release import Fleet, plan


async def release_everybody(made: Fleet, name: str = "p", **of: Any) -> FleetView:
    """Release everybody, and wait for it."""
    await made.begin(plan(name, made.setting.size, **of))
    return await made.until(lambda v: v.plans[name].stage is PlanStage.DONE)


async def release_under_faults(made: Fleet, *faults: tuple[str, bool, float], most: int) -> None:
    """Release everybody with faults that come once the second ticket is out; ``most`` may be out at once.

    A fault is what happens, whether to the coordinator (else to the last member), and for how long.
    """
    await made.begin(plan("p", made.setting.size, target="2", previous="1"))
    await made.until(lambda v: v.tickets and v.plans["p"].released)
    leads = await made.coordinator()
    last = made.setting.size - 1 - (leads == made.setting.size - 1)
    await asyncio.gather(*(made.fault(what, leads if lead else last, lasts) for what, lead, lasts in faults))
    seen = await made.until(lambda v: v.plans["p"].stage is not PlanStage.RUNNING)
    while (
        seen.plans["p"].stage is PlanStage.HALTED
    ):  # by itself, while too many are out: an operator goes on with it
        assert "unplanned" in seen.plans["p"].reason or "not back" in seen.plans["p"].reason
        await made.until(lambda v: not disruption_budget.members_out(v))
        await made.word("p", PlanStage.RUNNING)
        seen = await made.until(lambda v: v.plans["p"].stage is not PlanStage.RUNNING)
    assert {m.version for m in seen.members.values()} == {"2"} and not seen.tickets
    assert made.most_out() <= most, [one.downs for one in made.seen]
    assert await made.late() == await made.look()


async def restart_everybody(made: Fleet) -> None:
    seen = await release_everybody(made)
    assert seen.plans["p"].released == ("n0", "n1", "n2") and not seen.tickets
    assert [one.starts for one in made.cluster.instances] == [2, 2, 2]
    assert made.most_out() == 1


async def roll_back_canary(made: Fleet) -> None:
    """The canary goes, an operator halts and has it go back, twice: each word changes something once."""
    await made.begin(plan("p", 3, target="2", previous="1", canary=True))
    seen = await made.until(lambda v: v.plans["p"].released)
    assert [m.version for _, m in sorted(seen.members.items())] == ["2", "1", "1"]
    for _ in range(2):
        await made.word("p", PlanStage.HALTED)
    await asyncio.sleep(1)
    assert not (await made.look()).tickets
    for _ in range(2):
        await made.word("p", PlanStage.ROLLING_BACK)
    seen = await made.until(lambda v: v.plans["p"].stage is PlanStage.ROLLED_BACK)
    assert {m.version for m in seen.members.values()} == {"1"} and made.most_out() == 1
    with pytest.raises(PlanError, match="is undone"):
        await made.word("p", PlanStage.RUNNING)


async def starter_keeps_old_version(made: Fleet) -> None:
    """Whoever starts them goes on with the old version: the first one shows it, and no other goes out."""
    made.stubborn = True
    await made.begin(plan("p", 3, target="2", previous="1"))
    seen = await made.until(lambda v: v.plans["p"].stage is PlanStage.HALTED)
    assert seen.plans["p"].reason == "n0 came back as 1, not 2"
    assert [one.starts for one in made.cluster.instances] == [2, 1, 1] and sum(made.outs()) <= 1


async def killed_while_log_stalls(made: Fleet) -> None:
    """Members that die while the board stands still wait for it, and come back at their first start."""
    lives = {name: m.incarnation for name, m in (await made.look()).members.items()}
    logs = [made.cluster.instances[i].folder / "log.2" for i in (1, 2)]
    async with made.stalled(), asyncio.timeout(120):
        await asyncio.gather(*(made.fault("kill", i) for i in (1, 2)))
        while not all(log.exists() and "waits for the board" in log.read_text() for log in logs):
            await asyncio.sleep(0.1)
    await made.until(
        lambda v: all(v.members[n].incarnation > lives[n] for n in ("n1", "n2"))
        and not disruption_budget.members_out(v)
    )
    assert [one.starts for one in made.cluster.instances] == [1, 2, 2]


async def members_without_request(made: Fleet) -> None:
    """Members that cannot tell their starter what to start keep nobody, and go once that is mended."""
    blocked = [made.cluster.instances[i].folder / "wants.working" for i in (0, 1)]
    for path in blocked:
        path.mkdir()
    await made.begin(plan("p", 4, target="2", previous="1"))
    seen = await made.until(lambda v: len(v.plans["p"].released) == 2)
    assert set(seen.plans["p"].released) == {"n2", "n3"} and {"n0", "n1"} <= set(seen.plans["p"].deferred)
    assert all('"code":"wants"' in path.with_name("log.1").read_text().replace(": ", ":") for path in blocked)
    for path in blocked:
        path.rmdir()
    seen = await made.until(lambda v: v.plans["p"].stage is PlanStage.DONE)
    assert {m.version for m in seen.members.values()} == {"2"} and made.most_out() == 1


async def answer_of_used_ticket_lost(made: Fleet) -> None:
    """A member's word that it goes is written, and no answer to it comes for longer than it asks again."""
    answer, who, heard = made.etcd.answer, made.setting.size - 1, asyncio.Event()

    async def once(path: str, headers: dict[str, str], body: bytes) -> tuple[int, bytes]:
        said = await answer(path, headers, body)
        puts = [o.get("request_put", {}) for o in orjson.loads(body).get("success", ())]
        values = [base64.b64decode(put.get("value", "")) for put in puts]
        if not heard.is_set() and any(b'"going":true' in v and b'"name":"n%d"' % who in v for v in values):
            made.proxies[who].partition(to_server=False)
            heard.set()
        return said

    setattr(made.etcd, "answer", once)  # noqa: B010
    await made.begin(plan("p", made.setting.size, target="2", previous="1"))
    await heard.wait()
    await asyncio.sleep(ASKED_AGAIN + 3)
    assert (await made.look()).tickets[f"n{who}"].used and made.cluster.instances[who].starts == 1
    made.proxies[who].heal()
    seen = await made.until(lambda v: v.plans["p"].stage is not PlanStage.RUNNING)
    assert seen.plans["p"].stage is PlanStage.DONE and made.most_out() == 1


async def two_plans_at_once(made: Fleet) -> None:
    for name, members in (("p", ("n0", "n1")), ("q", ("n2", "n3"))):
        await made.begin(Plan(name, members))
    await made.until(lambda v: all(p.stage is PlanStage.DONE for p in v.plans.values()))
    assert made.most_out() == 1


async def all_killed_midway(made: Fleet) -> None:
    """All of them are killed in the middle, and come back."""
    await made.begin(plan("p", 4))
    await made.until(lambda v: v.plans["p"].released)
    await asyncio.gather(*(made.fault("kill", i) for i in range(4)))
    seen = await made.until(lambda v: v.plans["p"].stage is not PlanStage.RUNNING)
    if seen.plans["p"].stage is PlanStage.HALTED:
        await made.until(lambda v: not disruption_budget.members_out(v))
        await made.word("p", PlanStage.RUNNING)
    await made.until(lambda v: v.plans["p"].stage is PlanStage.DONE)
