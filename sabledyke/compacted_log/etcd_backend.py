"""A shelf in etcd v3, over its published JSON gateway: a key a cell, ``mod_revision`` its version, a txn a
commit.

For fleets on several machines. Calls go through the endpoints and faults of ``lease.etcd.Gateway``.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from typing import Any

from sabledyke.compacted_log.records import Cell
from sabledyke.errors import AuthorityError, CompactedLogError
from sabledyke.lease.etcd_authority import Gateway, decoded, encoded


class EtcdShelf:
    """See ``terms.Shelf``; ``patience`` in ms is for one call."""

    def __init__(self, endpoints: Sequence[str], prefix: str, patience: float = 1000.0) -> None:
        self._gateway, self._prefix = Gateway(endpoints, patience), f"{prefix}board/"

    async def open(self) -> None:
        """Nothing is needed ahead: an etcd that is down is asked again."""

    async def get(self, keys: Sequence[str]) -> dict[str, Cell]:
        """See ``terms.Shelf``: one transaction without a condition reads all of them as of one revision."""
        asks = [{"request_range": {"key": self._key(key)}} for key in keys]
        done = await self._call("kv/txn", {"compare": [], "success": asks, "failure": []})
        answers = [answer["response_range"].get("kvs", ()) for answer in done["responses"]]
        return {key: _cell(kvs[0]) for key, kvs in zip(keys, answers, strict=True) if kvs}

    async def scan(self, first: str, end: str, most: int) -> list[tuple[str, Cell]]:
        """See ``terms.Shelf``."""
        ask = {"key": self._key(first), "range_end": self._key(end), "limit": str(most)}
        found = await self._call("kv/range", ask)
        cut = len(self._prefix)
        return [(decoded(kv["key"]).decode()[cut:], _cell(kv)) for kv in found.get("kvs", ())]

    async def commit(
        self, checks: Mapping[str, int], puts: Mapping[str, bytes], drops: Collection[str] = ()
    ) -> bool:
        """See ``terms.Shelf``."""
        compare = [
            {"key": self._key(key), "target": "MOD", "result": "EQUAL", "mod_revision": str(version)}
            for key, version in checks.items()
        ]
        writes: list[dict[str, Any]] = [{"request_delete_range": {"key": self._key(key)}} for key in drops]
        writes += [{"request_put": {"key": self._key(k), "value": encoded(v)}} for k, v in puts.items()]
        done = await self._call("kv/txn", {"compare": compare, "success": writes, "failure": []})
        return bool(done.get("succeeded"))

    def _key(self, key: str) -> str:
        return encoded((self._prefix + key).encode())

    async def _call(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        try:
            return await self._gateway.call(path, body)
        except AuthorityError as fault:
            raise CompactedLogError(str(fault)) from None

    async def close(self) -> None:
        """See ``terms.Shelf``."""
        await self._gateway.close()


def _cell(kv: dict[str, Any]) -> Cell:
    return Cell(int(kv["mod_revision"]), decoded(kv.get("value", "")))
