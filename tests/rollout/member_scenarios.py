"""Scenarios of members that crash or switch their settings."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from sabledyke.errors import PlanError
from sabledyke.rollout.records import MemberState, Plan, PlanStage
from sabledyke.testbed.fleet import Fleet, plan_for_all
from sabledyke.testbed.fleet_faults import FleetFault


async def member_never_returns(fleet: Fleet) -> None:
    """A member that never returns blocks its plan until an operator forgets it."""
    await fleet.add_plan(plan_for_all("p", 3, target="2", previous="1"))
    await fleet.wait_until(lambda view: view.plans["p"].released)
    coordinator = await fleet.coordinator()
    number = 2 - (coordinator == 2)
    last = f"n{number}"
    fleet.supervisor.suspended.add(number)
    await fleet.inject(FleetFault.KILL, number)
    with pytest.raises(PlanError, match="only a member that is out of service"):
        await fleet.forget_member("n0")
    await fleet.wait_until(lambda view: view.members[last].state is MemberState.UNRESPONSIVE)
    assert (await fleet.read_view()).plans["p"].stage is not PlanStage.DONE
    await fleet.forget_member(last)
    if (await fleet.read_view()).plans["p"].stage is PlanStage.HALTED:
        await fleet.change_stage("p", PlanStage.RUNNING)
    view = await fleet.wait_until(lambda view: view.plans["p"].stage is PlanStage.DONE)
    assert len(view.plans["p"].released) == 2
    assert last not in view.members


async def coordinator_killed_midway(fleet: Fleet) -> None:
    """The coordinator is killed while another member is out; the transcript names members by their roles."""
    number = await fleet.coordinator()
    first_number, then_number = (i for i in range(3) if i != number)
    coordinator, first, then = f"n{number}", f"n{first_number}", f"n{then_number}"
    fleet.transcript_names = {first: "first", then: "then", coordinator: "coordinator"}
    fleet.supervisor.suspended.add(first_number)
    await fleet.add_plan(Plan("p", (first, then, coordinator), target="2", previous="1"))
    await fleet.wait_until(lambda view: first in view.tickets and view.tickets[first].used)
    incarnation = (await fleet.read_view()).members[coordinator].incarnation
    await fleet.inject(FleetFault.KILL, number)
    await fleet.wait_until(
        lambda view: view.members[coordinator].incarnation > incarnation
        and view.members[coordinator].state is MemberState.READY
    )
    fleet.supervisor.suspended.clear()
    await fleet.wait_until(lambda view: view.plans["p"].stage is PlanStage.DONE)
    assert fleet.max_out() <= 2


async def switch_settings(fleet: Fleet) -> None:
    """A switch of settings halts at a member with an invalid file, and succeeds once that is corrected."""
    files = [instance.folder / "config.json" for instance in fleet.cluster.instances]
    old = read_all(files)
    new = [text.replace(b'"sockets":128', b'"sockets":160') for text in old]
    for number, file in enumerate(files):
        file.with_name("config.json.7").write_bytes(old[number])
        file.with_name("config.json.8").write_bytes(new[number] if number != 1 else b"{")
    change: dict[str, Any] = {"settings": True, "target": "8", "previous": "7"}
    await fleet.add_plan(plan_for_all("p", 3, **change))
    view = await fleet.wait_until(lambda view: view.plans["p"].stage is PlanStage.HALTED)
    assert view.plans["p"].released == ("n0",)
    assert "n1 did not take on 8" in view.plans["p"].reason
    assert read_all(files) == [new[0], old[1], old[2]]
    await fleet.change_stage("p", PlanStage.ROLLING_BACK)
    await fleet.wait_until(lambda view: view.plans["p"].stage is PlanStage.ROLLED_BACK)
    assert read_all(files) == old
    files[1].with_name("config.json.8").write_bytes(new[1])
    await fleet.add_plan(plan_for_all("q", 3, **change))
    await fleet.wait_until(lambda view: view.plans["q"].stage is PlanStage.DONE)
    assert read_all(files) == new
    assert fleet.max_out() == 0
    assert [instance.starts for instance in fleet.cluster.instances] == [1, 1, 1]
    logs = [(instance.folder / "log.1").read_text() for instance in fleet.cluster.instances]
    assert all("160 descriptors" in log for log in logs)


def read_all(files: list[Path]) -> list[bytes]:
    """Return the bytes of all files."""
    return [file.read_bytes() for file in files]
