"""Discovery's endpoint lists: targets of the requests, and parsing of the responses."""

from __future__ import annotations

from dataclasses import dataclass
from math import isfinite
from typing import Any, NamedTuple

import orjson

from sabledyke.errors import ListError as ListError
from sabledyke.policy.nodes import EndpointList, ListKind, NodeEntry, NodeId, NodeState
from sabledyke.policy.settings import Settings
from sabledyke.protocol import platform_names as names

LIST_PATH = "/catalog/members"

_MAX_PORT = 65535
_INVALID = (KeyError, TypeError, ValueError, OverflowError, AttributeError)
_STATES = {
    names.STATE_READY: NodeState.READY,
    names.STATE_DRAINING: NodeState.DRAINING,
    names.STATE_REMOVED: NodeState.GONE,
}


class Address(NamedTuple):
    """Address at which a server listens."""

    host: str
    port: int


@dataclass(slots=True, frozen=True)
class EndpointListing:
    """An endpoint list, and the addresses of its nodes.

    Attributes:
        update: The full list, or the changes to it.
        addresses: Addresses of its nodes, without the removed ones.
        error: Reason why an invalid entry was left out; empty if no entry was.
    """

    update: EndpointList
    addresses: dict[NodeId, Address]
    error: str = ""


def list_target(since_version: int | None, wait_ms: int) -> str:
    """Return the target of a request for the list.

    Args:
        since_version: Requests the changes since this version; None requests the full list.
        wait_ms: Longest time that discovery waits for a change, in milliseconds.
    """
    if since_version is None:
        return LIST_PATH
    return f"{LIST_PATH}?since={since_version}&timeout_ms={wait_ms}"


def parse_address(text: str) -> Address:
    """Return the address that a text of the form ``host:port`` states.

    Raises:
        ListError: The text is not an address.
    """
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 < int(port) <= _MAX_PORT:
        raise ListError(f"no address: {text!r}")
    return Address(host.strip("[]"), int(port))


def parse_listing(text: bytes, settings: Settings) -> EndpointListing:
    """Parse the endpoint list in the body of a response.

    Raises:
        ListError: The body is not an endpoint list.
    """
    try:
        document = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise ListError(f"the list is not valid JSON: {error}") from None
    return read_listing(document, settings)


def read_listing(document: object, settings: Settings, *, cached: bool = False) -> EndpointListing:
    """Return the endpoint list in a decoded JSON document.

    A cached list must be valid as a whole. Invalid entries of a list from discovery are left out, and the
    list counts as a change. Guards against an invalid entry that hides the drain of another node, and against
    treating the node of the invalid entry as removed.

    Args:
        document: The decoded document.
        settings: The settings, which name zones and node kinds.
        cached: Whether the list comes from the configuration instead of discovery.

    Raises:
        ListError: The document is not an endpoint list.
    """
    try:
        if not isinstance(document, dict):
            raise ListError("the list is no object")
        return _read_document(document, settings, cached=cached)
    except _INVALID as error:
        raise ListError(f"the list lacks or garbles {error}") from None


def _read_document(document: dict[str, Any], settings: Settings, *, cached: bool) -> EndpointListing:
    kind = ListKind.FULL if document[names.LIST_IS_FULL] else ListKind.DELTA
    entries: list[NodeEntry] = []
    addresses: dict[NodeId, Address] = {}
    invalid_entry = ""
    for fields in document[names.LIST_NODES]:
        try:
            entry = _read_entry(fields, settings, complete=cached)
            if entry.state is not NodeState.GONE:
                addresses[entry.node_id] = parse_address(fields[names.NODE_ADDRESS])
            entries.append(entry)
        except (*_INVALID, ListError) as error:
            if cached:
                raise
            invalid_entry = f"an entry of the list has a missing or invalid field: {error}"
            kind = ListKind.DELTA
    if cached:
        kind = ListKind.CACHED
    update = EndpointList(kind, int(document[names.LIST_VERSION]), tuple(entries))
    return EndpointListing(update, addresses, invalid_entry)


def _read_entry(fields: dict[str, Any], settings: Settings, *, complete: bool) -> NodeEntry:
    """Return a node; a KeyError if a field is missing, or zone or kind although it must be complete."""
    zone = fields[names.NODE_ZONE] if complete else fields.get(names.NODE_ZONE)
    kind = fields[names.NODE_KIND] if complete else fields.get(names.NODE_KIND)
    started_ms = float(fields[names.NODE_STARTED_MS])
    # NaN differs from itself, so that each list would look like a restart of the node.
    if not (isfinite(started_ms) and started_ms >= 0):
        raise ValueError(f"{names.NODE_STARTED_MS}: {started_ms}")
    return NodeEntry(
        node_id=fields[names.NODE_ID].encode(),
        shard=int(fields[names.NODE_SHARD]),
        zone=settings.zones.index(zone) if zone in settings.zones else -1,
        kind=settings.node_kinds.index(kind) if kind in settings.node_kinds else -1,
        started_ms=started_ms,
        weight=float(fields[names.NODE_WEIGHT]),
        state=_STATES[fields[names.NODE_STATE]],
    )
