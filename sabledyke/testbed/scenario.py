"""Definition of release scenarios, and their TOML files.

A fleet of processes executes one plan under faults and an operator's commands. ``scenario_run`` runs the
scenario.
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
    """Kinds of steps; the values are used in files."""

    KILL = "kill"
    KILL_THIRD = "kill_third"  # kills a third of the members at the same time
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
        after: The number of releases of members or nodes that must precede the step.
        kind: The kind of step.
        on_coordinator: True if a fault affects the coordinator, False for another member.
        duration_s: The duration of a fault in seconds.
    """

    after: int
    kind: StepKind
    on_coordinator: bool = True
    duration_s: float = 0.0


@dataclass(slots=True, frozen=True)
class Scenario:
    """A plan of a fleet, and the steps during its execution.

    Attributes:
        name: The scenario's name.
        settings: The settings of the fleet.
        plan: The plan that the fleet executes.
        steps: The faults and commands, in order.
        max_out: The largest allowed number of simultaneous outages, by the probes.
        length_s: The largest allowed duration of the plan in seconds.
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
        lines: The lines to print.
        violations: The rules that the run violated, one per line.
    """

    lines: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)


def load(path: str) -> Scenario:
    """Read a scenario's file.

    Raises:
        OperatorError: The file cannot be read, or its content is invalid.
    """
    return load_file(path, lambda text: read(parse_toml(text)))


def read(data: dict[str, Any]) -> Scenario:
    """Read the data of a scenario's file.

    Raises:
        OperatorError: The data is invalid.
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
    """A step in the file's format."""

    what: Literal[
        "kill", "kill_third", "pause", "stall", "part", "part_to", "part_from", "halt", "resume", "back"
    ]
    after: Annotated[int, Meta(ge=0, le=1000)] = 0
    who: Literal["coordinator", "other"] = "coordinator"
    for_s: Annotated[float, Meta(ge=0, le=600)] = 0.0

    def to_step(self) -> Step:
        """Convert the row to a step."""
        return Step(self.after, StepKind(self.what), self.who == "coordinator", self.for_s)


class TimesTable(Table, frozen=True, kw_only=True):
    """The times of the fleet's members and storage nodes in the file's format."""

    ttl_ms: MillisecondsUpTo10Min = 3000
    every_ms: Annotated[int, Meta(ge=10, le=60_000)] = 100
    silent_ms: MillisecondsUpTo10Min = 4000
    back_ms: MillisecondsUpTo10Min = 60_000
    soak_ms: Annotated[int, Meta(ge=0, le=600_000)] = DEFAULTS.canary_soak_ms
    warm_ms: Annotated[int, Meta(ge=1, le=600_000)] = DEFAULTS.node_warm_up_ms


class ScenarioTable(Table, frozen=True, kw_only=True):
    """A scenario in the file's format."""

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
