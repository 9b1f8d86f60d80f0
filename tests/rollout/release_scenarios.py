"""Scenarios of releases of a fleet of processes, with and without faults."""

from __future__ import annotations

import asyncio
import base64
from dataclasses import dataclass
from typing import Any

import orjson
import pytest

from sabledyke.compacted_log.client import RETRY_TIMEOUT_S
from sabledyke.errors import PlanError
from sabledyke.rollout import disruption_budget
from sabledyke.rollout.fleet_view import FleetView
from sabledyke.rollout.records import Plan, PlanStage
from sabledyke.testbed.fleet import Fleet, plan_for_all
from sabledyke.testbed.fleet_faults import FleetFault

LOG_WAIT_S = 120


@dataclass(frozen=True)
class ReleaseFault:
    """A fault during a release, on the coordinator or on another member, with its duration."""

    kind: FleetFault
    on_coordinator: bool = True
    duration_s: float = 0.0


async def inject_all(fleet: Fleet, faults: tuple[ReleaseFault, ...], coordinator: int, other: int) -> None:
    """Inject all faults at once, and wait until they have ended."""
    await asyncio.gather(
        *(
            fleet.inject(fault.kind, coordinator if fault.on_coordinator else other, fault.duration_s)
            for fault in faults
        )
    )


async def release_all_members(fleet: Fleet, name: str = "p", **fields: Any) -> FleetView:
    """Release all members, and wait until the plan is done."""
    await fleet.add_plan(plan_for_all(name, fleet.settings.size, **fields))
    return await fleet.wait_until(lambda view: view.plans[name].stage is PlanStage.DONE)


async def resume_when_all_are_back(fleet: Fleet, name: str) -> None:
    """Resume a halted plan, as an operator does."""
    await fleet.wait_until(lambda view: not disruption_budget.members_out(view))
    await fleet.change_stage(name, PlanStage.RUNNING)


async def release_under_faults(fleet: Fleet, *faults: ReleaseFault, max_out: int) -> None:
    """Release all members, with faults that begin once the second ticket is granted.

    Faults that are not on the coordinator affect the last of the other members.
    """
    size = fleet.settings.size
    await fleet.add_plan(plan_for_all("p", size, target="2", previous="1"))
    await fleet.wait_until(lambda view: view.tickets and view.plans["p"].released)
    coordinator = await fleet.coordinator()
    last = size - 1 - (coordinator == size - 1)
    await inject_all(fleet, faults, coordinator, last)
    view = await fleet.wait_until(lambda view: view.plans["p"].stage is not PlanStage.RUNNING)
    # The plan halts by itself while too many members are out of service.
    while view.plans["p"].stage is PlanStage.HALTED:
        reason = view.plans["p"].reason
        assert "unplanned" in reason or "not back" in reason
        await resume_when_all_are_back(fleet, "p")
        view = await fleet.wait_until(lambda view: view.plans["p"].stage is not PlanStage.RUNNING)
    assert {member.version for member in view.members.values()} == {"2"}
    assert not view.tickets
    assert fleet.max_out() <= max_out, [member.outages for member in fleet.availability]
    assert await fleet.read_view_from_start() == await fleet.read_view()


async def restart_everybody(fleet: Fleet) -> None:
    """A plan without a new version restarts all members, one after the other."""
    view = await release_all_members(fleet)
    assert view.plans["p"].released == ("n0", "n1", "n2")
    assert not view.tickets
    assert [instance.starts for instance in fleet.cluster.instances] == [2, 2, 2]
    assert fleet.max_out() == 1


async def roll_back_canary(fleet: Fleet) -> None:
    """An operator halts after the canary and rolls back; each command is sent twice and takes effect once."""
    await fleet.add_plan(plan_for_all("p", 3, target="2", previous="1", canary=True))
    view = await fleet.wait_until(lambda view: view.plans["p"].released)
    assert [member.version for _, member in sorted(view.members.items())] == ["2", "1", "1"]
    for _ in range(2):
        await fleet.change_stage("p", PlanStage.HALTED)
    await asyncio.sleep(1)
    assert not (await fleet.read_view()).tickets
    for _ in range(2):
        await fleet.change_stage("p", PlanStage.ROLLING_BACK)
    view = await fleet.wait_until(lambda view: view.plans["p"].stage is PlanStage.ROLLED_BACK)
    assert {member.version for member in view.members.values()} == {"1"}
    assert fleet.max_out() == 1
    with pytest.raises(PlanError, match="is undone"):
        await fleet.change_stage("p", PlanStage.RUNNING)


async def starter_keeps_old_version(fleet: Fleet) -> None:
    """The supervisor starts the old version again: the plan halts at the first member."""
    fleet.supervisor.ignores_versions = True
    await fleet.add_plan(plan_for_all("p", 3, target="2", previous="1"))
    view = await fleet.wait_until(lambda view: view.plans["p"].stage is PlanStage.HALTED)
    assert view.plans["p"].reason == "n0 came back as 1, not 2"
    assert [instance.starts for instance in fleet.cluster.instances] == [2, 1, 1]
    assert sum(member.outage_count for member in fleet.availability) <= 1


async def killed_while_log_stalls(fleet: Fleet) -> None:
    """Members that are killed while the log stalls wait for it, and return at their first restart."""
    incarnations = {name: member.incarnation for name, member in (await fleet.read_view()).members.items()}
    logs = [fleet.cluster.instances[number].folder / "log.2" for number in (1, 2)]
    async with fleet.storage.stalled(), asyncio.timeout(LOG_WAIT_S):
        await asyncio.gather(*(fleet.inject(FleetFault.KILL, number) for number in (1, 2)))
        while not all(log.exists() and "waits for the compacted log" in log.read_text() for log in logs):
            await asyncio.sleep(0.1)
    await fleet.wait_until(
        lambda view: all(view.members[name].incarnation > incarnations[name] for name in ("n1", "n2"))
        and not disruption_budget.members_out(view)
    )
    assert [instance.starts for instance in fleet.cluster.instances] == [1, 2, 2]


async def members_without_request(fleet: Fleet) -> None:
    """Members that cannot write their version file delay no others, and follow once they can write it."""
    blocked = [fleet.cluster.instances[number].folder / "wants.working" for number in (0, 1)]
    for path in blocked:
        path.mkdir()
    await fleet.add_plan(plan_for_all("p", 4, target="2", previous="1"))
    view = await fleet.wait_until(lambda view: len(view.plans["p"].released) == 2)
    assert set(view.plans["p"].released) == {"n2", "n3"}
    assert {"n0", "n1"} <= set(view.plans["p"].deferred)
    assert all('"code":"wants"' in path.with_name("log.1").read_text().replace(": ", ":") for path in blocked)
    for path in blocked:
        path.rmdir()
    view = await fleet.wait_until(lambda view: view.plans["p"].stage is PlanStage.DONE)
    assert {member.version for member in view.members.values()} == {"2"}
    assert fleet.max_out() == 1


async def answer_of_used_ticket_lost(fleet: Fleet) -> None:
    """A member writes the use of its ticket, and gets no answer for longer than it retries."""
    member = fleet.settings.size - 1
    was_written = asyncio.Event()

    def hold_back_answer(request: bytes) -> None:
        if not was_written.is_set() and uses_ticket(request, member):
            fleet.storage.proxies[member].partition(to_server=False)
            was_written.set()

    fleet.storage.etcd.before_answer = hold_back_answer
    await fleet.add_plan(plan_for_all("p", fleet.settings.size, target="2", previous="1"))
    await was_written.wait()
    await asyncio.sleep(RETRY_TIMEOUT_S + 3)
    assert (await fleet.read_view()).tickets[f"n{member}"].used
    assert fleet.cluster.instances[member].starts == 1
    fleet.storage.proxies[member].heal()
    view = await fleet.wait_until(lambda view: view.plans["p"].stage is not PlanStage.RUNNING)
    assert view.plans["p"].stage is PlanStage.DONE
    assert fleet.max_out() == 1


def uses_ticket(request: bytes, member: int) -> bool:
    """Return whether a request to etcd writes that this member uses its ticket."""
    operations = orjson.loads(request).get("success", ())
    puts = [operation.get("request_put", {}) for operation in operations]
    values = [base64.b64decode(put.get("value", "")) for put in puts]
    return any(b'"going":true' in value and b'"name":"n%d"' % member in value for value in values)


async def two_plans_at_once(fleet: Fleet) -> None:
    """Two concurrent plans stay within one budget."""
    for name, members in (("p", ("n0", "n1")), ("q", ("n2", "n3"))):
        await fleet.add_plan(Plan(name, members))
    await fleet.wait_until(lambda view: all(plan.stage is PlanStage.DONE for plan in view.plans.values()))
    assert fleet.max_out() == 1


async def all_killed_midway(fleet: Fleet) -> None:
    """All members are killed during a release, and the release completes after their return."""
    await fleet.add_plan(plan_for_all("p", 4))
    await fleet.wait_until(lambda view: view.plans["p"].released)
    await asyncio.gather(*(fleet.inject(FleetFault.KILL, number) for number in range(4)))
    view = await fleet.wait_until(lambda view: view.plans["p"].stage is not PlanStage.RUNNING)
    if view.plans["p"].stage is PlanStage.HALTED:
        await resume_when_all_are_back(fleet, "p")
    await fleet.wait_until(lambda view: view.plans["p"].stage is PlanStage.DONE)
