"""Definition of experiments on leases, and their TOML files.

Processes of the program share one lease authority and send the operations of a leader task to one resource,
while faults are injected. ``lease_run`` runs the experiment.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated, Literal

from msgspec import Meta

from sabledyke.testbed.cluster import MAX_PROCESSES
from sabledyke.toml_tables import Table, convert, load_file, parse_toml

MAX_LENGTH_S = 600.0
HOLDER = "holder"  # a fault's target in a file: the instance whose operation was accepted last


class FaultKind(StrEnum):
    """Kinds of faults; the values are used in files."""

    PAUSE = "pause"
    KILL = "kill"
    TERMINATE = "term"
    PARTITION = "part"
    PARTITION_REQUESTS = "part_to"  # holds back requests to the authority
    PARTITION_ANSWERS = "part_from"  # holds back answers from the authority
    SLOW_NETWORK = "slow"
    RESET_CONNECTION = "cut"
    RESTART_AUTHORITY = "restart_authority"
    DELAY_OPERATIONS = "hold_acts"
    OPERATION_AFTER_TAKEOVER = "late"
    STOP_IN_TRANSACTION = "lock"


@dataclass(slots=True, frozen=True)
class Fault:
    """A fault of the experiment.

    Attributes:
        kind: The kind of fault.
        at_s: Time from the first operation to the start of the fault, in seconds.
        duration_s: The duration in seconds.
        target: The number of the affected instance; None for the one whose operation was accepted last.
    """

    kind: FaultKind
    at_s: float
    duration_s: float = 0.0
    target: int | None = None


@dataclass(slots=True, frozen=True)
class Experiment:
    """An experiment on leases.

    Attributes:
        name: The experiment's name.
        instance_count: The number of processes.
        length_s: The running time after the first operation, in seconds.
        authority: The storage of the leases, ``table`` or ``etcd``.
        ttl_ms: The lease's time to live.
        renew_interval_ms: The time between two renewals.
        safety_margin_ms: The time before a lease's expiry at which its holder stops its operations.
        max_clock_drift: The largest difference between the rates of clocks.
        operation_duration_ms: The time that the resource takes for an operation.
        operation_interval_s: The time between two operations of a holder, in seconds.
        fenced: True if the resource checks the fencing token.
        clock_offsets_ms: The offset of each instance's clock; () for 0 each.
        clock_rates: The rate of each instance's clock; () for 1 each.
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
    operation_duration_ms: float = 20.0
    operation_interval_s: float = 0.05
    fenced: bool = True
    clock_offsets_ms: tuple[float, ...] = ()
    clock_rates: tuple[float, ...] = ()
    faults: tuple[Fault, ...] = ()


DEFAULTS = Experiment("")
Seconds = Annotated[float, Meta(ge=0, le=MAX_LENGTH_S)]


def load(path: str) -> Experiment:
    """Read an experiment's file.

    Raises:
        OperatorError: The file cannot be read, or its content is invalid.
    """
    return load_file(path, read)


def read(text: str) -> Experiment:
    """Read the text of an experiment's file.

    Raises:
        OperatorError: The text is invalid.
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
        operation_duration_ms=table.act_ms,
        operation_interval_s=table.every_s,
        fenced=table.fenced,
        clock_offsets_ms=tuple(clock_offsets_ms),
        clock_rates=tuple(clock_rates),
        faults=tuple(row.to_fault() for row in table.fault),
    )


class ClockRow(Table, frozen=True, kw_only=True):
    """An instance's clock in the file's format."""

    who: Annotated[int, Meta(ge=0, lt=MAX_PROCESSES)]
    offset_ms: Annotated[float, Meta(ge=-1e9, le=1e9)] = 0.0
    rate: Annotated[float, Meta(ge=0.5, le=2)] = 1.0


class FaultRow(Table, frozen=True, kw_only=True):
    """A fault in the file's format."""

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
        """Convert the row to a fault."""
        target = self.who if isinstance(self.who, int) else None
        return Fault(FaultKind(self.what), self.at_s, self.for_s, target)


class ExperimentTable(Table, frozen=True, kw_only=True):
    """An experiment in the file's format."""

    name: str
    instances: Annotated[int, Meta(ge=1, le=MAX_PROCESSES)] = DEFAULTS.instance_count
    length_s: Annotated[float, Meta(ge=1, le=MAX_LENGTH_S)] = DEFAULTS.length_s
    authority: Literal["table", "etcd"]
    ttl_ms: Annotated[int, Meta(ge=100, le=60_000)] = DEFAULTS.ttl_ms
    renew_ms: Annotated[int, Meta(ge=10, le=60_000)] = DEFAULTS.renew_interval_ms
    margin_ms: Annotated[int, Meta(ge=1, le=60_000)] = DEFAULTS.safety_margin_ms
    drift: Annotated[float, Meta(ge=0, le=0.2)] = DEFAULTS.max_clock_drift
    act_ms: Annotated[float, Meta(ge=0, le=10_000)] = DEFAULTS.operation_duration_ms
    every_s: Annotated[float, Meta(ge=0.01, le=3600)] = DEFAULTS.operation_interval_s
    fenced: bool = True
    clock: tuple[ClockRow, ...] = ()
    fault: tuple[FaultRow, ...] = ()

    def __post_init__(self) -> None:
        known = {HOLDER, *range(self.instances)}
        named = {row.who for row in self.fault} | {row.who for row in self.clock}
        if not named <= known:
            raise ValueError(f"who must be holder, or a number below {self.instances}")
