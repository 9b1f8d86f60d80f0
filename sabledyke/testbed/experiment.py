"""What an experiment on leases is, and how it is read from a TOML file.

Processes of the program share one lease authority and act on one resource, with faults between them. The
experiment is played by ``lease_run``.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated, Literal

from msgspec import Meta

from sabledyke.testbed.cluster import MAX_PROCESSES
from sabledyke.toml_tables import Table, convert, load_file, parse_toml

MAX_LENGTH_S = 600.0
HOLDER = "holder"  # in a file: the instance that acted last


class FaultKind(StrEnum):
    """What a fault does; the values stand in files."""

    PAUSE = "pause"
    KILL = "kill"
    TERMINATE = "term"
    PARTITION = "part"
    PARTITION_REQUESTS = "part_to"  # to the authority
    PARTITION_ANSWERS = "part_from"  # from the authority
    SLOW_NETWORK = "slow"
    RESET_CONNECTION = "cut"
    RESTART_AUTHORITY = "restart_authority"
    DELAY_ACTS = "hold_acts"
    ACT_AFTER_TAKEOVER = "late"
    STOP_IN_TRANSACTION = "lock"


@dataclass(slots=True, frozen=True)
class Fault:
    """A fault of the experiment.

    Attributes:
        kind: What happens.
        at_s: When, from the first act on.
        duration_s: For how long.
        target: The number of the instance that it happens to; None for the one that acted last.
    """

    kind: FaultKind
    at_s: float
    duration_s: float = 0.0
    target: int | None = None


@dataclass(slots=True, frozen=True)
class Experiment:
    """An experiment on leases.

    Attributes:
        name: Its name.
        instance_count: How many processes there are.
        length_s: How long it runs after the first act.
        authority: What the leases are stored in, ``table`` or ``etcd``.
        ttl_ms: The lease's time to live.
        renew_interval_ms: The time between two renewals.
        safety_margin_ms: How long before its expiry a holder stops acting.
        max_clock_drift: By how much the rates of clocks may differ.
        act_duration_ms: How long the resource takes for an act.
        act_interval_s: The time between two acts of a holder.
        fenced: Whether the resource checks the fencing token.
        clock_offsets_ms: By how much each instance's clock is ahead; () for not at all.
        clock_rates: How fast each instance's clock goes; () for 1 each.
        faults: The faults.
    """

    name: str
    instance_count: int = 5
    length_s: float = 8.0
    authority: str = "table"
    ttl_ms: int = 2000
    renew_interval_ms: int = 400
    safety_margin_ms: int = 500
    max_clock_drift: float = 0.02
    act_duration_ms: float = 20.0
    act_interval_s: float = 0.05
    fenced: bool = True
    clock_offsets_ms: tuple[float, ...] = ()
    clock_rates: tuple[float, ...] = ()
    faults: tuple[Fault, ...] = ()


DEFAULTS = Experiment("")
Seconds = Annotated[float, Meta(ge=0, le=MAX_LENGTH_S)]


def load(path: str) -> Experiment:
    """Read an experiment's file.

    Raises:
        OperatorError: It cannot be used.
    """
    return load_file(path, read)


def read(text: str) -> Experiment:
    """Read the text of an experiment's file.

    Raises:
        OperatorError: It cannot be used.
    """
    table = convert(parse_toml(text), ExperimentTable, "file")
    clock_offsets_ms = [0.0] * table.instances
    clock_rates = [1.0] * table.instances
    for row in table.clock:
        clock_offsets_ms[row.who] = row.offset_ms
        clock_rates[row.who] = row.rate
    return Experiment(
        name=table.name,
        instance_count=table.instances,
        length_s=table.length_s,
        authority=table.authority,
        ttl_ms=table.ttl_ms,
        renew_interval_ms=table.renew_ms,
        safety_margin_ms=table.margin_ms,
        max_clock_drift=table.drift,
        act_duration_ms=table.act_ms,
        act_interval_s=table.every_s,
        fenced=table.fenced,
        clock_offsets_ms=tuple(clock_offsets_ms),
        clock_rates=tuple(clock_rates),
        faults=tuple(row.to_fault() for row in table.fault),
    )


class ClockRow(Table, frozen=True, kw_only=True):
    """How an instance's clock goes, as the file has it."""

    who: Annotated[int, Meta(ge=0, lt=MAX_PROCESSES)]
    offset_ms: Annotated[float, Meta(ge=-1e9, le=1e9)] = 0.0
    rate: Annotated[float, Meta(ge=0.5, le=2)] = 1.0


class FaultRow(Table, frozen=True, kw_only=True):
    """A fault, as the file has it."""

    what: Literal[
        "pause",
        "kill",
        "term",
        "part",
        "part_to",
        "part_from",
        "slow",
        "cut",
        "restart_authority",
        "hold_acts",
        "late",
        "lock",
    ]
    who: int | str = HOLDER
    at_s: Seconds = 0.0
    for_s: Seconds = 0.0

    def to_fault(self) -> Fault:
        """Return the fault."""
        target = self.who if isinstance(self.who, int) else None
        return Fault(FaultKind(self.what), self.at_s, self.for_s, target)


class ExperimentTable(Table, frozen=True, kw_only=True):
    """An experiment, as the file has it."""

    name: str
    instances: Annotated[int, Meta(ge=1, le=MAX_PROCESSES)] = DEFAULTS.instance_count
    length_s: Annotated[float, Meta(ge=1, le=MAX_LENGTH_S)] = DEFAULTS.length_s
    authority: Literal["table", "etcd"]
    ttl_ms: Annotated[int, Meta(ge=100, le=60_000)] = DEFAULTS.ttl_ms
    renew_ms: Annotated[int, Meta(ge=10, le=60_000)] = DEFAULTS.renew_interval_ms
    margin_ms: Annotated[int, Meta(ge=1, le=60_000)] = DEFAULTS.safety_margin_ms
    drift: Annotated[float, Meta(ge=0, le=0.2)] = DEFAULTS.max_clock_drift
    act_ms: Annotated[float, Meta(ge=0, le=10_000)] = DEFAULTS.act_duration_ms
    every_s: Annotated[float, Meta(ge=0.01, le=3600)] = DEFAULTS.act_interval_s
    fenced: bool = True
    clock: tuple[ClockRow, ...] = ()
    fault: tuple[FaultRow, ...] = ()

    def __post_init__(self) -> None:
        known = {HOLDER, *range(self.instances)}
        named = {row.who for row in self.fault} | {row.who for row in self.clock}
        if not named <= known:
            raise ValueError(f"who is holder, or a number below {self.instances}")
