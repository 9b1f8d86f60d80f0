"""Members that die or switch their settings, and a topic that is not the fleet's."""

from __future__ import annotations

import asyncio
import contextlib
from random import Random
from typing import Any

import pytest

from sabledyke.compacted_log.client import CompactedLog
from sabledyke.compacted_log.reader import KeyRemoved, KeyUpdated, LogReader
from sabledyke.compacted_log.records import Draft
from sabledyke.compacted_log.subscription import subscribe_to_topic
from sabledyke.errors import CompactedLogError, PlanError
from sabledyke.rollout import (
    disruption_budget,
)
from sabledyke.rollout.fleet_view import FleetView
from sabledyke.rollout.records import (
    MemberState,
    Plan,
    PlanStage,
)
from sabledyke.testbed.fleet_release import Fleet, plan


async def member_never_returns(made: Fleet) -> None:
    """A member that never comes back holds its plan up until an operator says that it is gone."""
    await made.begin(plan("p", 3, target="2", previous="1"))
    await made.until(lambda v: v.plans["p"].released)
    leads = await made.coordinator()
    last = f"n{2 - (leads == 2)}"
    made.held.add(int(last[1:]))
    await made.fault("kill", int(last[1:]))
    with pytest.raises(PlanError, match="only who is out"):
        await made.forget("n0")
    await made.until(lambda v: v.members[last].state is MemberState.SILENT)
    assert (await made.look()).plans["p"].stage is not PlanStage.DONE
    await made.forget(last)
    if (await made.look()).plans["p"].stage is PlanStage.HALTED:
        await made.word("p", PlanStage.RUNNING)
    seen = await made.until(lambda v: v.plans["p"].stage is PlanStage.DONE)
    assert len(seen.plans["p"].released) == 2 and last not in seen.members


async def coordinator_killed_midway(made: Fleet) -> None:
    """The coordinator is killed while another is out; who that was is told by their parts."""
    leads = await made.coordinator()
    first, then = (i for i in range(3) if i != leads)
    made.parts = {f"n{first}": "first", f"n{then}": "then", f"n{leads}": "coordinator"}
    made.held.add(first)
    await made.begin(Plan("p", (f"n{first}", f"n{then}", f"n{leads}"), target="2", previous="1"))
    await made.until(lambda v: f"n{first}" in v.tickets and v.tickets[f"n{first}"].used)
    life = (await made.look()).members[f"n{leads}"].incarnation
    await made.fault("kill", leads)
    await made.until(
        lambda v: v.members[f"n{leads}"].incarnation > life
        and v.members[f"n{leads}"].state is MemberState.READY
    )
    made.held.clear()
    await made.until(lambda v: v.plans["p"].stage is PlanStage.DONE)
    assert made.most_out() <= 2


async def switch_settings(made: Fleet) -> None:
    """New settings in service: one member cannot read its own, all go back; once mended, all take them on."""
    files = [one.folder / "config.json" for one in made.cluster.instances]
    old = [file.read_bytes() for file in files]
    new = [text.replace(b'"sockets":128', b'"sockets":160') for text in old]
    for i, file in enumerate(files):
        file.with_name("config.json.7").write_bytes(old[i])
        file.with_name("config.json.8").write_bytes(new[i] if i != 1 else b"{")
    of: dict[str, Any] = {"settings": True, "target": "8", "previous": "7"}
    await made.begin(plan("p", 3, **of))
    seen = await made.until(lambda v: v.plans["p"].stage is PlanStage.HALTED)
    assert seen.plans["p"].released == ("n0",) and "n1 did not take on 8" in seen.plans["p"].reason
    assert [file.read_bytes() for file in files] == [new[0], old[1], old[2]]
    await made.word("p", PlanStage.ROLLING_BACK)
    await made.until(lambda v: v.plans["p"].stage is PlanStage.ROLLED_BACK)
    assert [file.read_bytes() for file in files] == old
    files[1].with_name("config.json.8").write_bytes(new[1])
    await made.begin(plan("q", 3, **of))
    await made.until(lambda v: v.plans["q"].stage is PlanStage.DONE)
    assert [file.read_bytes() for file in files] == new and made.most_out() == 0
    assert [one.starts for one in made.cluster.instances] == [1, 1, 1]
    logs = [(one.folder / "log.1").read_text() for one in made.cluster.instances]
    assert all("160 descriptors" in log for log in logs)


async def topic_of_an_operator(made: Fleet) -> None:
    """A topic of an operator's own: who joins late or was long away sees what holds, whoever cleans it."""
    random, model, views = Random(made.setting.size), dict[str, bytes](), list[dict[str, bytes | None]]()
    topic, said = "prices", 0

    async def publish() -> None:
        nonlocal said
        pen = await made.board.claim_writer(topic, "shop")
        while said < 300:
            key, value = f"article-{random.randrange(30)}", None if random.random() < 0.2 else b"%d" % said
            with contextlib.suppress(CompactedLogError):  # it stands still: the same again
                await pen.append([Draft(key, value)])
                said += 1
                model.pop(key, None)
                if value is not None:
                    model[key] = value
            await asyncio.sleep(0.02)

    async def subscribe(away: float) -> None:
        view, shelf = dict[str, bytes | None](), made.shelf()
        views.append(view)
        try:
            async for news in subscribe_to_topic(CompactedLog(shelf), topic, LogReader(), 0.2, 7):
                for one in news:
                    if isinstance(one, KeyUpdated):
                        view[one.message.key] = one.message.value
                    elif isinstance(one, KeyRemoved):
                        view.pop(one.key, None)
                await asyncio.sleep(away)
                away = 0.0
        finally:
            await shelf.close()

    async def joins() -> None:
        for i in range(8):
            readers.append(asyncio.create_task(subscribe(5.0 * (i % 2))))
            await asyncio.sleep(0.7)

    readers = [asyncio.create_task(joins())]
    shop = asyncio.create_task(publish())
    for who in range(made.setting.size):
        seen = await made.look()
        await made.fault("kill", who)
        before = seen.members[f"n{who}"].incarnation

        def again(v: FleetView, name: str = f"n{who}", before: int = before) -> bool:
            return v.members[name].incarnation > before and not disruption_budget.members_out(v)

        await made.until(again)
    await made.fault("pause", await made.coordinator(), 2.5)
    await made.fault("stall", 0, 3.0)
    await shop
    async with asyncio.timeout(120):
        while len(views) < 8 or any(view != model for view in views):
            await asyncio.sleep(0.05)
        while len(await made.board.read_page(topic, 1, 1000)) > 120:
            await asyncio.sleep(0.1)  # 30 articles, the newest 20, and as much again that is superseded
    late = LogReader()
    await made.board.catch_up(topic, late)
    assert {key: m.value for key, m in late.latest.items()} == model and late.position > 300
    for reader in readers:
        reader.cancel()
    await asyncio.gather(*readers, return_exceptions=True)
