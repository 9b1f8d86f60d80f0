"""The file of an experiment on shared limits: a fleet, the limit of its volumes, and faults."""

from __future__ import annotations

from typing import Annotated, Any, Literal

from msgspec import Meta

from sabledyke.toml_tables import Table, convert, load_file, parse_toml

UNBOUNDED = 1e9


class FaultRow(Table, frozen=True, kw_only=True):
    """A fault, as the file has it.

    Attributes:
        at: Seconds after the start.
        what: What happens; ``hang``: the storage node that holds the spread volume answers nobody.
        who: The member that it happens to: the one that clients lean on, or another.
        for_s: How long it lasts.
        share: Fraction of the members that are killed at once.
    """

    at: Annotated[float, Meta(ge=0, le=600)]
    what: Literal["kill", "kill_part", "pause", "stall", "part", "part_to", "part_from", "hang"]
    who: Literal["leaning", "other"] = "other"
    for_s: Annotated[float, Meta(ge=0, le=60)] = 0.0
    share: Annotated[float, Meta(gt=0, lt=1)] = 0.42


class Experiment(Table, frozen=True, kw_only=True):
    """An experiment, as the file has it.

    Attributes:
        name: Its name.
        limit: Units a second, of each volume.
        instances: Members of the fleet.
        backend: Where their log is.
        shares: Members share the limit by demand; else each has an even share, as the platform has it.
        beat_ms: Between changes of what a member publishes.
        length_s: How long it runs.
        moves_s: After so long clients lean on another member.
        least: Fraction of its limit that must be served to the leaning volume.
        most_tried: Requests a second that may come to a node which has hung for a while.
        back_s: Time in which work must come back to that node.
        fault: The faults.
    """

    name: str
    limit: Annotated[float, Meta(ge=4, le=1000)]
    instances: Annotated[int, Meta(ge=1, le=64)] = 10
    backend: Literal["table", "etcd"] = "table"
    shares: bool = True
    beat_ms: Annotated[int, Meta(ge=50, le=10_000)] = 500
    length_s: Annotated[float, Meta(ge=1, le=600)] = 30.0
    moves_s: Annotated[float, Meta(ge=1, le=600)] = 10.0
    least: Annotated[float, Meta(ge=0, le=1)] = 0.0
    most_tried: Annotated[float, Meta(gt=0)] = UNBOUNDED
    back_s: Annotated[float, Meta(gt=0)] = UNBOUNDED
    fault: tuple[FaultRow, ...] = ()


def load(path: str) -> Experiment:
    """Read a file.

    Raises:
        OperatorError: It cannot be used; one line says why.
    """
    return load_file(path, lambda text: read(parse_toml(text)))


def read(data: dict[str, Any]) -> Experiment:
    """Return the experiment of a file's data."""
    return convert(data, Experiment, "file")
