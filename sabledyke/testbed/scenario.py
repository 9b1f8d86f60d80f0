"""What a scenario of a release is, and how it is read from a TOML file.

Processes of the program work through one plan, with commands of an operator and faults on the way. The
scenario is played by ``scenario_run``.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import StrEnum
from typing import Annotated, Any, Literal

from msgspec import Meta

from sabledyke.rollout.plan_file import plan_of
from sabledyke.rollout.records import Plan
from sabledyke.testbed.fleet_settings import FleetSettings
from sabledyke.toml_tables import Table, convert, load_file, parse_toml


class StepKind(StrEnum):
    """What a step does; the values stand in files."""

    KILL = "kill"
    KILL_THIRD = "kill_third"  # of the members, at once
    PAUSE = "pause"
    STALL_LOG = "stall"
    PARTITION = "part"
    PARTITION_REQUESTS = "part_to"
    PARTITION_ANSWERS = "part_from"
    HALT = "halt"
    RESUME = "resume"
    ROLL_BACK = "back"


PARTITIONS = (StepKind.PARTITION, StepKind.PARTITION_REQUESTS, StepKind.PARTITION_ANSWERS)


@dataclass(slots=True, frozen=True)
class Step:
    """A fault, or a command of the operator.

    Attributes:
        after: How many members or nodes must have been released before.
        kind: What happens.
        on_coordinator: Whether it happens to the coordinator, else to another member.
        duration_s: For how long.
    """

    after: int
    kind: StepKind
    on_coordinator: bool = True
    duration_s: float = 0.0


@dataclass(slots=True, frozen=True)
class Scenario:
    """A scenario.

    Attributes:
        name: Its name.
        settings: The settings of the fleet.
        plan: The plan.
        steps: What happens on the way.
        max_out: How many members may be out at any time, by the probes.
        length_s: How long the plan may take.
    """

    name: str
    settings: FleetSettings
    plan: Plan
    steps: tuple[Step, ...] = ()
    max_out: int = 1
    length_s: float = 120.0


@dataclass(slots=True)
class Report:
    """The result of an experiment.

    Attributes:
        lines: What is printed for people.
        wrong: What did not hold, a line each.
    """

    lines: list[str] = field(default_factory=list)
    wrong: list[str] = field(default_factory=list)


def load(path: str) -> Scenario:
    """Read a scenario's file.

    Raises:
        OperatorError: It cannot be used.
    """
    return load_file(path, lambda text: read(parse_toml(text)))


def read(data: dict[str, Any]) -> Scenario:
    """Read the data of a scenario's file.

    Raises:
        OperatorError: It cannot be used.
    """
    table = convert(data, ScenarioTable, "file")
    steps = tuple(row.to_step() for row in table.step)
    plan = plan_of({"name": "p", **table.plan})
    if not (plan.members or plan.nodes or plan.retiring_site):
        plan = replace(plan, members=tuple(f"n{number}" for number in range(table.instances)))
    return Scenario(
        name=table.name,
        settings=_fleet_settings(table, has_proxies=any(step.kind in PARTITIONS for step in steps)),
        plan=plan,
        steps=steps,
        max_out=table.most_out,
        length_s=table.length_s,
    )


DEFAULTS = FleetSettings()
MillisecondsUpTo10Min = Annotated[int, Meta(ge=100, le=600_000)]


class StepRow(Table, frozen=True, kw_only=True):
    """A step, as the file has it."""

    what: Literal[
        "kill", "kill_third", "pause", "stall", "part", "part_to", "part_from", "halt", "resume", "back"
    ]
    after: Annotated[int, Meta(ge=0, le=1000)] = 0
    who: Literal["coordinator", "other"] = "coordinator"
    for_s: Annotated[float, Meta(ge=0, le=600)] = 0.0

    def to_step(self) -> Step:
        """Return the step."""
        return Step(self.after, StepKind(self.what), self.who == "coordinator", self.for_s)


class TimesTable(Table, frozen=True, kw_only=True):
    """The times of the fleet's members and storage nodes, as the file has them."""

    ttl_ms: MillisecondsUpTo10Min = 3000
    every_ms: Annotated[int, Meta(ge=10, le=60_000)] = 100
    silent_ms: MillisecondsUpTo10Min = 4000
    back_ms: MillisecondsUpTo10Min = 60_000
    soak_ms: Annotated[int, Meta(ge=0, le=600_000)] = DEFAULTS.canary_soak_ms
    warm_ms: Annotated[int, Meta(ge=1, le=600_000)] = DEFAULTS.node_warm_up_ms


class ScenarioTable(Table, frozen=True, kw_only=True):
    """A scenario, as the file has it."""

    name: str
    plan: dict[str, Any]
    instances: Annotated[int, Meta(ge=1, le=64)] = DEFAULTS.size
    backend: Literal["table", "etcd"] = "table"
    sites: Annotated[int, Meta(ge=1, le=8)] = DEFAULTS.site_count
    clients: Annotated[int, Meta(ge=0, le=64)] = DEFAULTS.client_count
    copies: Annotated[int, Meta(ge=1, le=4)] = DEFAULTS.nodes_per_shard
    times: TimesTable = TimesTable()
    step: tuple[StepRow, ...] = ()
    most_out: Annotated[int, Meta(ge=0, le=64)] = 1
    length_s: Annotated[float, Meta(ge=1, le=600)] = 120.0


def _fleet_settings(table: ScenarioTable, *, has_proxies: bool) -> FleetSettings:
    return FleetSettings(
        size=table.instances,
        backend=table.backend,
        site_count=table.sites,
        client_count=table.clients,
        nodes_per_shard=table.copies,
        lease_ttl_ms=table.times.ttl_ms,
        poll_interval_ms=table.times.every_ms,
        heartbeat_timeout_ms=table.times.silent_ms,
        return_timeout_ms=table.times.back_ms,
        canary_soak_ms=table.times.soak_ms,
        node_warm_up_ms=table.times.warm_ms,
        has_proxies=has_proxies,
    )
