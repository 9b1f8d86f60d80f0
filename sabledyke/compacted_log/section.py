"""Reads the operator's section ``[board]``: the storage and the compaction of the compacted log.

The section is validated as a whole, and each error is reported as one line.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Any

from msgspec import Meta

from sabledyke.compacted_log.compaction import CompactionPolicy
from sabledyke.compacted_log.reader import MAX_KEYS
from sabledyke.compacted_log.records import Backend
from sabledyke.errors import OperatorError
from sabledyke.protocol.discovery import parse_address
from sabledyke.toml_tables import Table, convert, require_library

DEFAULT_POLICY = CompactionPolicy()
DEFAULT_COMPACTION_INTERVAL_S = 5.0
RESERVED_TOPICS = ("fleet", "beats", "homes", "shares")  # topics that the fleet itself writes
MAX_TOPICS = 16
MAX_TOPIC_CHARS = 64


@dataclass(slots=True, frozen=True)
class LogSection:
    """The validated settings of ``[board]``.

    Attributes:
        path: The log's SQLite file, or "".
        etcd_endpoints: Addresses of the etcd servers, or none.
        prefix: The prefix of all keys in etcd.
        compaction: The compaction policy for all topics.
        max_keys: The maximum number of keys that a reader may retain.
        compaction_interval_s: The time between two checks of whether a topic is worth compacting.
        topics: Topics of the operator's own programs; the fleet compacts them too.
    """

    path: str = ""
    etcd_endpoints: tuple[str, ...] = ()
    prefix: str = "sabledyke/"
    compaction: CompactionPolicy = DEFAULT_POLICY
    max_keys: int = MAX_KEYS
    compaction_interval_s: float = DEFAULT_COMPACTION_INTERVAL_S
    topics: tuple[str, ...] = ()

    def __str__(self) -> str:
        """Return the log's file or the addresses of its etcd servers."""
        return self.path or f"etcd at {', '.join(self.etcd_endpoints)}"

    def create_backend(self) -> Backend:
        """Create the backend; the etcd driver is imported only if the section names etcd."""
        if self.path:
            from sabledyke.compacted_log.sqlite_backend import SqliteBackend

            return SqliteBackend(self.path)
        from sabledyke.compacted_log.etcd_backend import EtcdBackend

        return EtcdBackend(self.etcd_endpoints, self.prefix)


class LogTable(Table, frozen=True, kw_only=True):
    """The keys of ``[board]`` in the operator's file, with their limits and defaults."""

    path: str = ""
    etcd: tuple[str, ...] = ()
    prefix: str = "sabledyke/"
    lag: Annotated[int, Meta(ge=1, le=1_000_000)] = DEFAULT_POLICY.min_lag_messages
    tomb_s: Annotated[float, Meta(ge=0, le=1e7)] = DEFAULT_POLICY.tombstone_retention_ms / 1000
    dirty: Annotated[float, Meta(ge=0.01, le=1)] = DEFAULT_POLICY.min_dirty_ratio
    bytes_s: Annotated[float, Meta(ge=1e3, le=1e12)] = DEFAULT_POLICY.max_bytes_per_s
    most_keys: Annotated[int, Meta(ge=1, le=10_000_000)] = MAX_KEYS
    clean_s: Annotated[float, Meta(ge=0.1, le=3600)] = DEFAULT_COMPACTION_INTERVAL_S
    topics: tuple[str, ...] = ()


def read(data: dict[str, Any]) -> LogSection | None:
    """Read and validate the section.

    Returns:
        The settings; None if the section is missing or empty.

    Raises:
        OperatorError: The section is invalid.
        ListError: An etcd address in the section is invalid.
    """
    if not data:
        return None
    table = convert(data, LogTable, "board")
    if bool(table.path) == bool(table.etcd):
        raise OperatorError("board names either path, a SQLite file, or etcd, a list of host:port")
    if table.etcd:
        require_library("board", "aiohttp", "etcd")
    for endpoint in table.etcd:
        parse_address(endpoint)
    _check_topics(table.topics)
    return LogSection(
        path=table.path,
        etcd_endpoints=table.etcd,
        prefix=table.prefix,
        compaction=CompactionPolicy(
            min_lag_messages=table.lag,
            tombstone_retention_ms=1000 * table.tomb_s,
            min_dirty_ratio=table.dirty,
            max_bytes_per_s=table.bytes_s,
        ),
        max_keys=table.most_keys,
        compaction_interval_s=table.clean_s,
        topics=table.topics,
    )


def _check_topics(topics: tuple[str, ...]) -> None:
    for topic in topics:
        if topic in RESERVED_TOPICS or not _is_topic_name(topic):
            raise OperatorError(
                f"board.topics: {topic!r} is reserved for the fleet, "
                "or has characters other than letters, digits, - and _"
            )
    if len(set(topics)) < len(topics) or len(topics) > MAX_TOPICS:
        raise OperatorError(f"board.topics lists a topic twice, or more than {MAX_TOPICS} topics")


def _is_topic_name(topic: str) -> bool:
    return len(topic) <= MAX_TOPIC_CHARS and topic.replace("-", "").replace("_", "").isalnum()
