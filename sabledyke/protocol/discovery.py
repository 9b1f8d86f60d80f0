"""Discovery's lists: the calls to make, and what their answers say."""

from __future__ import annotations

from dataclasses import dataclass
from math import isfinite
from typing import Any

import orjson

from sabledyke.errors import ListError as ListError
from sabledyke.policy.nodes import EndpointList, ListKind, NodeEntry, NodeId, NodeState
from sabledyke.policy.settings import Settings

PATH = "/catalog/members"
_GARBLED = (KeyError, TypeError, ValueError, OverflowError, AttributeError)
_STATES = {"ready": NodeState.READY, "draining": NodeState.DRAINING, "gone": NodeState.GONE}


@dataclass(slots=True, frozen=True)
class Listing:
    """A list and where its nodes are to be dialled."""

    news: EndpointList
    dials: dict[NodeId, tuple[str, int]]
    fault: str = ""  # what is wrong with entries that were left out


def target(since: int | None, wait_ms: int) -> str:
    """The call for what is newer than a version, or for the whole list."""
    return PATH if since is None else f"{PATH}?since={since}&timeout_ms={wait_ms}"


def address(text: str) -> tuple[str, int]:
    """A ``host:port``."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ListError(f"no address: {text!r}")
    return host.strip("[]"), int(port)


def read(data: object, settings: Settings, *, cached: bool = False) -> Listing:
    """A list from JSON that is parsed already.

    One that is cached is read whole or not at all. Of one that was told, entries that cannot be read are left
    out and it counts as a change: guards against a garbled entry hiding the drain of another box, and against
    the box that it names being taken for gone.
    """
    try:
        if not isinstance(data, dict):
            raise ListError("the list is no object")
        kind = ListKind.FULL if data["whole"] else ListKind.DELTA
        entries, dials, fault = [], {}, ""
        for host in data["hosts"]:
            try:
                entry = _entry(host, settings)
                if entry.state is not NodeState.GONE:
                    dials[entry.node_id] = address(host["dial"])
                entries.append(entry)
            except (*_GARBLED, ListError) as why:
                if cached:
                    raise
                fault, kind = f"an entry of the list lacks or garbles {why}", ListKind.DELTA
        news = EndpointList(ListKind.CACHED if cached else kind, int(data["seq"]), tuple(entries))
        return Listing(news, dials, fault)
    except _GARBLED as why:
        raise ListError(f"the list lacks or garbles {why}") from None


def parse(text: bytes, settings: Settings) -> Listing:
    """A list from the body of an answer."""
    try:
        return read(orjson.loads(text), settings)
    except orjson.JSONDecodeError as fault:
        raise ListError(f"the list is no JSON: {fault}") from None


def _entry(host: dict[str, Any], settings: Settings) -> NodeEntry:
    zone, kind = host.get("site"), host.get("class")
    started = float(host["born_ms"])
    if not (isfinite(started) and started >= 0):  # what differs from itself would start anew
        raise ValueError(f"born_ms: {started}")
    return NodeEntry(
        node_id=host["host"].encode(),
        shard=int(host["block"]),
        zone=settings.zones.index(zone) if zone in settings.zones else -1,
        kind=settings.node_kinds.index(kind) if kind in settings.node_kinds else -1,
        started_ms=started,
        weight=float(host["share"]),
        state=_STATES[host["health"]],
    )
