"""Stores the compacted log in etcd version 3, for fleets on several machines.

Each cell is a key, with its ``mod_revision`` as the version, and each commit a transaction.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from typing import Any

from sabledyke.compacted_log.records import Cell
from sabledyke.errors import AuthorityError, CompactedLogError
from sabledyke.lease.etcd_gateway import EtcdGateway, JsonObject, decode_base64, encode_base64

DEFAULT_TIMEOUT_MS = 1000.0


class EtcdBackend:
    """Implements ``records.Backend`` on etcd."""

    def __init__(self, endpoints: Sequence[str], prefix: str, timeout_ms: float = DEFAULT_TIMEOUT_MS) -> None:
        """Make a backend.

        Args:
            endpoints: Addresses (host:port) of the etcd servers.
            prefix: The prefix of all keys.
            timeout_ms: The time limit for one call.
        """
        self._gateway = EtcdGateway(endpoints, timeout_ms)
        self._prefix = f"{prefix}board/"

    async def open(self) -> None:
        """Do nothing: an etcd that is unavailable now is no error, because later calls try it again."""

    async def get(self, keys: Sequence[str]) -> dict[str, Cell]:
        """Read the cells in one transaction without conditions, and so as of one revision."""
        reads = [{"request_range": {"key": self._encode_key(key)}} for key in keys]
        result = await self._call("kv/txn", {"compare": [], "success": reads, "failure": []})
        found = [response["response_range"].get("kvs", ()) for response in result["responses"]]
        return {key: _decode_cell(entries[0]) for key, entries in zip(keys, found, strict=True) if entries}

    async def scan(self, first: str, end: str, limit: int) -> list[tuple[str, Cell]]:
        """Read a range of cells in one request."""
        body = {
            "key": self._encode_key(first),
            "range_end": self._encode_key(end),
            "limit": str(limit),
        }
        found = await self._call("kv/range", body)
        return [(self._decode_key(entry["key"]), _decode_cell(entry)) for entry in found.get("kvs", ())]

    async def commit(
        self, checks: Mapping[str, int], puts: Mapping[str, bytes], deletes: Collection[str] = ()
    ) -> bool:
        """Compare versions and write cells in one transaction."""
        compare = [
            {
                "key": self._encode_key(key),
                "target": "MOD",
                "result": "EQUAL",
                "mod_revision": str(version),
            }
            for key, version in checks.items()
        ]
        writes: list[JsonObject] = [
            {"request_delete_range": {"key": self._encode_key(key)}} for key in deletes
        ]
        writes += [
            {"request_put": {"key": self._encode_key(key), "value": encode_base64(data)}}
            for key, data in puts.items()
        ]
        result = await self._call("kv/txn", {"compare": compare, "success": writes, "failure": []})
        return bool(result.get("succeeded"))

    async def close(self) -> None:
        """Close the connections to etcd."""
        await self._gateway.close()

    def _encode_key(self, key: str) -> str:
        return encode_base64((self._prefix + key).encode())

    def _decode_key(self, data: str) -> str:
        return decode_base64(data).decode()[len(self._prefix) :]

    async def _call(self, path: str, body: JsonObject) -> JsonObject:
        try:
            return await self._gateway.call(path, body)
        except AuthorityError as error:
            raise CompactedLogError(str(error)) from error


def _decode_cell(entry: dict[str, Any]) -> Cell:
    return Cell(int(entry["mod_revision"]), decode_base64(entry.get("value", "")))
