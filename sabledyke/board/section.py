"""The operator's section ``[board]``: where the board stands, and how it is cleaned. Checked whole, in plain
lines.
"""

from __future__ import annotations

from dataclasses import dataclass

from sabledyke.board.compaction import Policy
from sabledyke.board.terms import Shelf
from sabledyke.protocol.discovery import address
from sabledyke.tables import OperatorError, Table, wants

OURS = ("fleet", "beats", "homes")  # topics that are the fleet's own
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
            from sabledyke.board.table import TableShelf

            return TableShelf(self.path)
        from sabledyke.board.etcd import EtcdShelf

        return EtcdShelf(self.etcd, self.prefix)


def read(table: Table) -> Section | None:
    """The section, checked; None where there is none."""
    if table.empty:
        return None
    path, etcd, plain = table.take("path", str, ""), table.words("etcd"), Policy()
    if bool(path) == bool(etcd):
        raise OperatorError("board names either path, a SQLite file, or etcd, a list of host:port")
    if etcd:
        wants("board", "aiohttp", "etcd")
    for endpoint in etcd:
        address(endpoint)
    section = Section(
        path,
        etcd,
        table.take("prefix", str, "sabledyke/"),
        Policy(
            lag=table.whole("lag", 1, 1_000_000, plain.lag),
            tomb_ms=1000 * table.number("tomb_s", 0.0, 1e7, plain.tomb_ms / 1000),
            dirty=table.number("dirty", 0.01, 1.0, plain.dirty),
            bytes_s=table.number("bytes_s", 1e3, 1e12, plain.bytes_s),
        ),
        table.whole("most_keys", 1, 10_000_000, 100_000),
        table.number("clean_s", 0.1, 3600.0, 5.0),
        table.words("topics"),
    )
    table.end()
    for topic in section.topics:
        if topic in OURS or len(topic) > 64 or not topic.replace("-", "").replace("_", "").isalnum():
            raise OperatorError(f"board.topics: {topic!r} is the fleet's, or not of letters, digits, - and _")
    if len(set(section.topics)) < len(section.topics) or len(section.topics) > MOST_TOPICS:
        raise OperatorError(f"board.topics names one twice, or more than {MOST_TOPICS}")
    return section
