"""A stand-in for etcd's lease and transaction API over its JSON gateway, written from the published API.

It is one member, keeps its data in memory, and has a clock that may run fast or slow. ``restart`` behaves
like the election of a new leader: keys stay, connections are reset, and every lease has its full time to
live again. Its load is bounded by the leader tasks of the experiment.
"""

from __future__ import annotations

import asyncio
import base64
import time
from bisect import bisect_left, insort
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import orjson

from sabledyke.testbed.http_service import Service

GRPC_NOT_FOUND = 5


@dataclass(slots=True)
class _Key:
    value: str
    create_revision: int
    mod_revision: int
    version: int
    lease: str

    def encode(self, name: str) -> dict[str, Any]:
        return {
            "key": name,
            "value": self.value,
            "create_revision": str(self.create_revision),
            "mod_revision": str(self.mod_revision),
            "version": str(self.version),
            "lease": self.lease,
        }


@dataclass(slots=True)
class _Lease:
    ttl_s: int
    expires_at_s: float
    keys: set[str] = field(default_factory=set)


class Etcd(Service):
    """Serves grant, keep-alive, revoke and time-to-live of leases, and range and txn on keys.

    Attributes:
        calls: The number of requests received.
        before_answer: Called with each request's body after its execution and before its answer.
    """

    def __init__(self, clock_rate: float = 1.0) -> None:
        super().__init__()
        self.calls = 0
        self.before_answer: Callable[[bytes], None] | None = None
        self._clock_rate = clock_rate
        self._revision = 1
        self._last_lease_id = 1000
        self._keys: dict[str, _Key] = {}
        self._names: list[tuple[bytes, str]] = []  # decoded and encoded names, sorted by their bytes
        self._leases: dict[str, _Lease] = {}

    async def restart(self, down_s: float) -> None:
        """Stop the server, and start it again after ``down_s`` seconds."""
        await self.close()
        await asyncio.sleep(down_s)
        await self.reopen()

    async def reopen(self) -> None:
        """Start again after ``close`` with the same keys; each lease has its full time to live again."""
        for lease in self._leases.values():
            lease.expires_at_s = self._now_s() + lease.ttl_s
        await self.open()

    async def answer(self, path: str, _headers: dict[str, str], body: bytes) -> tuple[int, bytes]:
        """Execute one call of the API, and answer it in JSON."""
        self.calls += 1
        self._expire_leases()
        status, response = self._execute(path, body)
        if self.before_answer is not None:
            self.before_answer(body)
        return status, orjson.dumps(response)

    def _execute(self, path: str, body: bytes) -> tuple[int, dict[str, Any]]:
        try:
            return 200, self._dispatch(path, orjson.loads(body))
        except KeyError as error:
            return 404, {"code": GRPC_NOT_FOUND, "message": f"not found: {error}"}

    def _dispatch(self, path: str, request: dict[str, Any]) -> dict[str, Any]:
        match path.removeprefix("/v3/"):
            case "lease/grant":
                return self._grant(int(request["TTL"]))
            case "lease/keepalive":
                return {"result": self._keep_alive(str(request["ID"]))}
            case "lease/revoke":
                self._revoke(str(request["ID"]))
                return self._with_header({})
            case "lease/timetolive":
                lease = self._leases[str(request["ID"])]
                return self._with_header({"TTL": str(int(lease.expires_at_s - self._now_s()))})
            case "kv/range":
                return self._range(request)
            case "kv/txn":
                return self._commit(request)
        raise KeyError(path)

    def _grant(self, ttl_s: int) -> dict[str, Any]:
        self._last_lease_id += 1
        lease_id = str(self._last_lease_id)
        self._leases[lease_id] = _Lease(ttl_s, self._now_s() + ttl_s)
        return self._with_header({"ID": lease_id, "TTL": str(ttl_s)})

    def _keep_alive(self, lease_id: str) -> dict[str, Any]:
        lease = self._leases.get(lease_id)
        if lease is None:  # etcd's API answers without a TTL here, not with an error
            return self._with_header({"ID": lease_id})
        lease.expires_at_s = self._now_s() + lease.ttl_s
        return self._with_header({"ID": lease_id, "TTL": str(lease.ttl_s)})

    def _revoke(self, lease_id: str) -> None:
        lease = self._leases.pop(lease_id)
        self._revision += bool(lease.keys)
        for name in lease.keys:
            self._delete(name)

    def _expire_leases(self) -> None:
        expired = [
            lease_id for lease_id, lease in self._leases.items() if lease.expires_at_s <= self._now_s()
        ]
        for lease_id in expired:
            self._revoke(lease_id)

    def _range(self, request: dict[str, Any]) -> dict[str, Any]:
        first = request["key"]
        end = request.get("range_end", "")
        limit = int(request.get("limit", 0)) or None
        names = [first] if first in self._keys else []
        if end:
            begin_index, end_index = (bisect_left(self._names, (_decode(name), "")) for name in (first, end))
            names = [name for _, name in self._names[begin_index:end_index]]
        rows = [self._keys[name].encode(name) for name in names[:limit]]
        return self._with_header({"kvs": rows, "count": str(len(rows))} if rows else {})

    def _commit(self, request: dict[str, Any]) -> dict[str, Any]:
        succeeded = all(self._compare(compare) for compare in request.get("compare", ()))
        operations = request.get("success" if succeeded else "failure", ())
        if any(self._changes_data(operation) for operation in operations):
            self._revision += 1
        responses = [self._operate(operation) for operation in operations]
        return self._with_header({**({"succeeded": True} if succeeded else {}), "responses": responses})

    def _changes_data(self, operation: dict[str, Any]) -> bool:
        if "request_delete_range" in operation:
            return operation["request_delete_range"]["key"] in self._keys
        return "request_put" in operation

    def _compare(self, compare: dict[str, Any]) -> bool:
        key = self._keys.get(compare["key"])
        if compare["target"] not in ("CREATE", "MOD") or compare["result"] != "EQUAL":
            raise KeyError(f"{compare['target']} {compare['result']}")
        if compare["target"] == "MOD":
            return (key.mod_revision if key else 0) == int(compare["mod_revision"])
        return (key.create_revision if key else 0) == int(compare["create_revision"])

    def _operate(self, operation: dict[str, Any]) -> dict[str, Any]:
        if "request_range" in operation:
            return {"response_range": self._range(operation["request_range"])}
        if "request_delete_range" in operation:
            deleted = self._delete(operation["request_delete_range"]["key"])
            return {"response_delete_range": self._with_header({"deleted": "1"} if deleted else {})}
        put = operation["request_put"]
        self._put(put["key"], put["value"], str(put.get("lease", "0")))
        return {"response_put": self._with_header({})}

    def _put(self, name: str, value: str, lease_id: str) -> None:
        previous = self._keys.get(name)
        if lease_id != "0":
            self._leases[lease_id].keys.add(name)
        if previous is None:
            insort(self._names, (_decode(name), name))
            self._keys[name] = _Key(value, self._revision, self._revision, 1, lease_id)
            return
        self._keys[name] = _Key(
            value, previous.create_revision, self._revision, previous.version + 1, lease_id
        )

    def _delete(self, name: str) -> bool:
        """Delete a key, and return True if it existed."""
        if self._keys.pop(name, None) is None:
            return False
        del self._names[bisect_left(self._names, (_decode(name), name))]
        return True

    def _now_s(self) -> float:
        return time.monotonic() * self._clock_rate

    def _with_header(self, response: dict[str, Any]) -> dict[str, Any]:
        return {"header": {"revision": str(self._revision)}, **response}


def _decode(name: str) -> bytes:
    return base64.b64decode(name)
