"""File format of experiments on shared limits: a fleet, the limit of its volumes, and faults."""

from __future__ import annotations

from typing import Annotated, Any, Literal

from msgspec import Meta

from sabledyke.toml_tables import Table, convert, load_file, parse_toml

UNBOUNDED = 1e9


class FaultRow(Table, frozen=True, kw_only=True):
    """A fault in the file's format.

    Attributes:
        at: Time from the start of the run to the fault, in seconds.
        what: The kind of fault; ``hang``: the storage node of the spread volume answers no request.
        who: The affected member: the one that the leaning volume's clients use, or another.
        for_s: The duration in seconds.
        share: The fraction of the members that are killed at the same time.
    """

    at: Annotated[float, Meta(ge=0, le=600)]
    what: Literal["kill", "kill_part", "pause", "stall", "part", "part_to", "part_from", "hang"]
    who: Literal["leaning", "other"] = "other"
    for_s: Annotated[float, Meta(ge=0, le=60)] = 0.0
    share: Annotated[float, Meta(gt=0, lt=1)] = 0.42


class Experiment(Table, frozen=True, kw_only=True):
    """An experiment in the file's format.

    Attributes:
        name: The experiment's name.
        limit: The limit of each volume in units per second.
        instances: The number of members.
        backend: The storage of the members' log.
        shares: True to share the limit by demand, False for the platform's rule of an even share each.
        beat_ms: The interval of a member's publications of its demand.
        length_s: The duration of the run in seconds.
        moves_s: The time after which the leaning volume's clients use another member, in seconds.
        least: The smallest fraction of its limit that must be served to the leaning volume.
        most_tried: The largest allowed rate of requests to a hung node, per second, after half of the hang.
        back_s: The largest allowed time until the node serves its volume again, in seconds.
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
    """Read an experiment's file.

    Raises:
        OperatorError: The file cannot be read, or its content is invalid; the message has one line.
    """
    return load_file(path, lambda text: read(parse_toml(text)))


def read(data: dict[str, Any]) -> Experiment:
    """Convert a file's data to an experiment."""
    return convert(data, Experiment, "file")
