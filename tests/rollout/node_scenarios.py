"""Storage nodes and sites that go out under a fleet of processes that serves clients."""

from __future__ import annotations

import asyncio

import pytest

from sabledyke.errors import PlanError
from sabledyke.rollout import (
    disruption_budget,
    node_drain,
)
from sabledyke.rollout.records import (
    MemberState,
    Plan,
    PlanStage,
)
from sabledyke.testbed.fleet_release import Fleet
from tests.rollout.release_scenarios import release_everybody
from tests.rollout.support import READY, RETIRED


def nobody_lost_anything(made: Fleet) -> None:
    """Every request had its one end, none was cut off, and no key ran twice.

    On a busy machine a few may find a door that closes, or nobody in time; none may get half an answer or a
    wrong one.
    """
    ends = made.count.ends
    assert not ends["cut"] and not ends["wrong"] and ends["served"] > ends.total() / 2, ends
    assert ends["closed"] + ends["silence"] + ends["nobody"] <= 0.05 * ends.total(), ends
    assert not made.boxes.beyond and not made.boxes.late and made.boxes.pressed < 1
    assert made.setting.copies > 1 or max(made.boxes.ran.values()) == 1
    assert all(made.boxes.ran[key] for key in made.count.keys)


async def release_under_load(made: Fleet) -> None:
    await release_everybody(made)
    nobody_lost_anything(made)


async def retire_site(made: Fleet) -> None:
    """A site hands its clients over and goes for good; its volumes move once each."""
    await made.until(lambda v: len(made.homes()) >= 20)
    gone = ("box0", "box5")
    await made.begin(Plan("p", ("n0", "n2"), retiring_site="s0", nodes_removed_next=gone))
    seen = await made.until(lambda v: v.plans["p"].stage is PlanStage.DONE)
    await made.until(lambda v: v.plans["p.boxes"].stage is PlanStage.DONE)
    assert made.replaced == list(gone) and not {"box0", "box5"} & {h["host"] for h in made.boxes.hosts()}
    assert {m.name: m.state for m in seen.members.values()} == {
        "n0": RETIRED,
        "n1": READY,
        "n2": RETIRED,
        "n3": READY,
    }
    assert not disruption_budget.members_out(seen) and {h.site for h in made.homes().values()} == {"s1"}
    assert all(h.move_count == (h.origin_site == "s0") for h in made.homes().values())
    nobody_lost_anything(made)
    with pytest.raises(PlanError, match="no such member: n7"):
        await made.begin(Plan("q", ("n7",)))


async def retirement_taken_back(made: Fleet) -> None:
    """A retirement that an operator takes back in the middle: all volumes are at home again, nobody went."""
    await made.until(lambda v: len(made.homes()) >= 20)
    await made.begin(Plan("p", ("n0", "n2"), retiring_site="s0"))
    await made.until(lambda v: v.plans["p"].step >= 2)
    await made.word("p", PlanStage.ROLLING_BACK)
    await made.until(lambda v: v.plans["p"].stage is PlanStage.ROLLED_BACK)
    await made.until(lambda v: all(h.site == h.origin_site for h in made.homes().values()))
    assert {h.move_count for h in made.homes().values()} == {0, 2} and made.most_out() == 0
    assert [one.starts for one in made.cluster.instances] == [1, 1, 1, 1]
    nobody_lost_anything(made)


async def drain_nodes(made: Fleet, *faults: tuple[str, bool, float]) -> None:
    """Boxes are taken away one after the other of a kind, as long as all members agree."""
    names = ("box0", "box1", "box4", "box5")
    await made.begin(Plan("p", (), max_out=2, nodes=names))
    await made.until(lambda v: len(v.plans["p"].released) >= 1)
    leads = await made.coordinator()
    other = (leads + 1) % made.setting.size
    await asyncio.gather(*(made.fault(what, leads if lead else other, lasts) for what, lead, lasts in faults))
    seen = await made.until(lambda v: v.plans["p"].stage is PlanStage.DONE)
    assert sorted(made.replaced) == sorted(names) == sorted(seen.plans["p"].released) and not seen.drains
    assert made.most_out() <= len(faults)
    nobody_lost_anything(made)


async def drain_with_partitioned_member(made: Fleet) -> None:
    """A member that cannot hear of a drain still sends there: the box is not taken away before it can."""
    who = (await made.coordinator() + 1) % made.setting.size
    made.proxies[who].partition()
    await made.until(lambda v: v.members[f"n{who}"].state is MemberState.SILENT)
    await made.begin(Plan("p", (), nodes=("box0",)))
    await made.until(
        lambda v: node_drain.unacknowledged_by(v, v.drains["box0"]) == [f"n{who}"] if v.drains else False
    )
    asked = made.boxes.asked
    await asyncio.sleep(1)
    assert made.boxes.asked > asked and not made.replaced
    made.proxies[who].heal()
    await made.until(lambda v: v.plans["p"].stage is PlanStage.DONE)
    nobody_lost_anything(made)
