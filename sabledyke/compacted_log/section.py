"""The operator's section ``[board]``: where the board stands, and how it is cleaned. Checked whole, in plain
lines.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Any

from msgspec import Meta

from sabledyke.compacted_log.compaction import CompactionPolicy
from sabledyke.compacted_log.records import Backend
from sabledyke.errors import OperatorError
from sabledyke.protocol.discovery import address
from sabledyke.toml_tables import Table, convert, wants

DEFAULT_POLICY = CompactionPolicy()
RESERVED_TOPICS = ("fleet", "beats", "homes", "shares")  # topics that are the fleet's own
MAX_TOPICS = 16


@dataclass(slots=True, frozen=True)
class LogSection:
    """What ``[board]`` says."""

    path: str = ""
    etcd_endpoints: tuple[str, ...] = ()
    prefix: str = "sabledyke/"
    compaction: CompactionPolicy = CompactionPolicy()
    max_keys: int = 100_000
    compaction_interval_s: float = 5.0  # seconds between looks at whether cleaning is worth it
    topics: tuple[str, ...] = ()  # of the operator's own, which the fleet cleans

    def __str__(self) -> str:
        return self.path or f"etcd at {', '.join(self.etcd_endpoints)}"

    def create_backend(self) -> Backend:
        """What it stands on; the driver for etcd is loaded only where it is named."""
        if self.path:
            from sabledyke.compacted_log.sqlite_backend import SqliteBackend

            return SqliteBackend(self.path)
        from sabledyke.compacted_log.etcd_backend import EtcdBackend

        return EtcdBackend(self.etcd_endpoints, self.prefix)


class LogTable(Table, frozen=True, kw_only=True):
    """As the file has it."""

    path: str = ""
    etcd: tuple[str, ...] = ()
    prefix: str = "sabledyke/"
    lag: Annotated[int, Meta(ge=1, le=1_000_000)] = DEFAULT_POLICY.min_lag_messages
    tomb_s: Annotated[float, Meta(ge=0, le=1e7)] = DEFAULT_POLICY.tombstone_retention_ms / 1000
    dirty: Annotated[float, Meta(ge=0.01, le=1)] = DEFAULT_POLICY.min_dirty_ratio
    bytes_s: Annotated[float, Meta(ge=1e3, le=1e12)] = DEFAULT_POLICY.max_bytes_per_s
    most_keys: Annotated[int, Meta(ge=1, le=10_000_000)] = 100_000
    clean_s: Annotated[float, Meta(ge=0.1, le=3600)] = 5.0
    topics: tuple[str, ...] = ()


def read(data: dict[str, Any]) -> LogSection | None:
    """The section, checked; None where there is none."""
    if not data:
        return None
    said = convert(data, LogTable, "board")
    if bool(said.path) == bool(said.etcd):
        raise OperatorError("board names either path, a SQLite file, or etcd, a list of host:port")
    if said.etcd:
        wants("board", "aiohttp", "etcd")
    for endpoint in said.etcd:
        address(endpoint)
    policy = CompactionPolicy(
        min_lag_messages=said.lag,
        tombstone_retention_ms=1000 * said.tomb_s,
        min_dirty_ratio=said.dirty,
        max_bytes_per_s=said.bytes_s,
    )
    section = LogSection(said.path, said.etcd, said.prefix, policy, said.most_keys, said.clean_s, said.topics)
    for topic in section.topics:
        if (
            topic in RESERVED_TOPICS
            or len(topic) > 64
            or not topic.replace("-", "").replace("_", "").isalnum()
        ):
            raise OperatorError(f"board.topics: {topic!r} is the fleet's, or not of letters, digits, - and _")
    if len(set(section.topics)) < len(section.topics) or len(section.topics) > MAX_TOPICS:
        raise OperatorError(f"board.topics names one twice, or more than {MAX_TOPICS}")
    return section
