"""The operator's section ``[board]``: where the board stands, and how it is cleaned. Checked whole, in plain
lines.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Any

from msgspec import Meta

from sabledyke.compacted_log.compaction import Policy
from sabledyke.compacted_log.records import Shelf
from sabledyke.errors import OperatorError
from sabledyke.protocol.discovery import parse_address
from sabledyke.toml_tables import Table, convert, wants

PLAIN = Policy()
OURS = ("fleet", "beats", "homes", "shares")  # topics that are the fleet's own
MOST_TOPICS = 16


@dataclass(slots=True, frozen=True)
class Section:
    """What ``[board]`` says."""

    path: str = ""
    etcd: tuple[str, ...] = ()
    prefix: str = "sabledyke/"
    policy: Policy = Policy()
    most_keys: int = 100_000
    clean: float = 5.0  # seconds between looks at whether cleaning is worth it
    topics: tuple[str, ...] = ()  # of the operator's own, which the fleet cleans

    def __str__(self) -> str:
        return self.path or f"etcd at {', '.join(self.etcd)}"

    def shelf(self) -> Shelf:
        """What it stands on; the driver for etcd is loaded only where it is named."""
        if self.path:
            from sabledyke.compacted_log.sqlite_backend import TableShelf

            return TableShelf(self.path)
        from sabledyke.compacted_log.etcd_backend import EtcdShelf

        return EtcdShelf(self.etcd, self.prefix)


class BoardTable(Table, frozen=True, kw_only=True):
    """As the file has it."""

    path: str = ""
    etcd: tuple[str, ...] = ()
    prefix: str = "sabledyke/"
    lag: Annotated[int, Meta(ge=1, le=1_000_000)] = PLAIN.lag
    tomb_s: Annotated[float, Meta(ge=0, le=1e7)] = PLAIN.tomb_ms / 1000
    dirty: Annotated[float, Meta(ge=0.01, le=1)] = PLAIN.dirty
    bytes_s: Annotated[float, Meta(ge=1e3, le=1e12)] = PLAIN.bytes_s
    most_keys: Annotated[int, Meta(ge=1, le=10_000_000)] = 100_000
    clean_s: Annotated[float, Meta(ge=0.1, le=3600)] = 5.0
    topics: tuple[str, ...] = ()


def read(data: dict[str, Any]) -> Section | None:
    """The section, checked; None where there is none."""
    if not data:
        return None
    said = convert(data, BoardTable, "board")
    if bool(said.path) == bool(said.etcd):
        raise OperatorError("board names either path, a SQLite file, or etcd, a list of host:port")
    if said.etcd:
        wants("board", "aiohttp", "etcd")
    for endpoint in said.etcd:
        parse_address(endpoint)
    policy = Policy(lag=said.lag, tomb_ms=1000 * said.tomb_s, dirty=said.dirty, bytes_s=said.bytes_s)
    section = Section(said.path, said.etcd, said.prefix, policy, said.most_keys, said.clean_s, said.topics)
    for topic in section.topics:
        if topic in OURS or len(topic) > 64 or not topic.replace("-", "").replace("_", "").isalnum():
            raise OperatorError(f"board.topics: {topic!r} is the fleet's, or not of letters, digits, - and _")
    if len(set(section.topics)) < len(section.topics) or len(section.topics) > MOST_TOPICS:
        raise OperatorError(f"board.topics names one twice, or more than {MOST_TOPICS}")
    return section
