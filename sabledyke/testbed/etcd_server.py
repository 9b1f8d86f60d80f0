"""A stand-in of etcd's lease and transaction API over its JSON gateway, written from the published API.

One member, in memory, with a clock that may run fast or slow. ``restart`` does what a member that leads
anew does: keys stay, connections are reset, and every lease has its whole time again. Bounded by the duties
of the experiment.
"""

from __future__ import annotations

import asyncio
import base64
import time
from bisect import bisect_left, insort
from dataclasses import dataclass, field
from typing import Any

import orjson

from sabledyke.testbed.http_service import Service


@dataclass(slots=True)
class _Key:
    value: str
    created: int
    modified: int
    version: int
    lease: str


@dataclass(slots=True)
class _Lease:
    ttl: int
    ends: float
    keys: set[str] = field(default_factory=set)


class Etcd(Service):
    """Grant, keep-alive, revoke and time-to-live of leases; range and txn on keys."""

    def __init__(self, rate: float = 1.0) -> None:
        super().__init__()
        self._rate, self._revision, self._ids = rate, 1, 1000
        self._keys: dict[str, _Key] = {}
        self._names: list[tuple[bytes, str]] = []  # raw and encoded, in the order of their bytes
        self._leases: dict[str, _Lease] = {}
        self.calls = 0

    def _now(self) -> float:
        return time.monotonic() * self._rate

    async def restart(self, down_s: float) -> None:
        """End, and come back after so long."""
        await self.close()
        await asyncio.sleep(down_s)
        await self.come_back()

    async def come_back(self) -> None:
        """After ``close``: keys are as they were, leases have their whole time again."""
        for lease in self._leases.values():
            lease.ends = self._now() + lease.ttl
        await self.open()

    async def answer(self, path: str, headers: dict[str, str], body: bytes) -> tuple[int, bytes]:
        """See ``Service``."""
        self.calls += 1
        self._expire()
        try:
            said = self._do(path, orjson.loads(body))
        except KeyError as fault:
            return 404, orjson.dumps({"code": 5, "message": f"not found: {fault}"})
        return 200, orjson.dumps(said)

    def _do(self, path: str, ask: dict[str, Any]) -> dict[str, Any]:
        match path.removeprefix("/v3/"):
            case "lease/grant":
                self._ids += 1
                ttl = int(ask["TTL"])
                self._leases[str(self._ids)] = _Lease(ttl, self._now() + ttl)
                return self._headed({"ID": str(self._ids), "TTL": str(ttl)})
            case "lease/keepalive":
                lease = self._leases.get(str(ask["ID"]))
                if lease is None:  # as published: an answer without TTL, not an error
                    return {"result": self._headed({"ID": str(ask["ID"])})}
                lease.ends = self._now() + lease.ttl
                return {"result": self._headed({"ID": str(ask["ID"]), "TTL": str(lease.ttl)})}
            case "lease/revoke":
                self._drop(str(ask["ID"]))
                return self._headed({})
            case "lease/timetolive":
                lease = self._leases[str(ask["ID"])]
                return self._headed({"TTL": str(int(lease.ends - self._now()))})
            case "kv/range":
                return self._range(ask)
            case "kv/txn":
                return self._txn(ask)
        raise KeyError(path)

    def _range(self, ask: dict[str, Any]) -> dict[str, Any]:
        first, last = ask["key"], ask.get("range_end", "")
        names = [first] if first in self._keys else []
        if last:  # in the order of their bytes
            begin, end = (bisect_left(self._names, (_raw(at), "")) for at in (first, last))
            names = [n for _, n in self._names[begin:end]]
        kvs = [
            {
                "key": n,
                "value": k.value,
                "create_revision": str(k.created),
                "mod_revision": str(k.modified),
                "version": str(k.version),
                "lease": k.lease,
            }
            for n in names[: int(ask.get("limit", 0)) or None]
            for k in (self._keys[n],)
        ]
        return self._headed({"kvs": kvs, "count": str(len(kvs))} if kvs else {})

    def _txn(self, ask: dict[str, Any]) -> dict[str, Any]:
        well = all(self._compare(c) for c in ask.get("compare", ()))
        operations = ask.get("success" if well else "failure", ())
        dropped = [o["request_delete_range"]["key"] for o in operations if "request_delete_range" in o]
        if any("request_put" in o for o in operations) or any(key in self._keys for key in dropped):
            self._revision += 1
        answers = [self._operate(o) for o in operations]
        return self._headed({**({"succeeded": True} if well else {}), "responses": answers})

    def _compare(self, compare: dict[str, Any]) -> bool:
        key = self._keys.get(compare["key"])
        if compare["target"] not in ("CREATE", "MOD") or compare["result"] != "EQUAL":
            raise KeyError(f"{compare['target']} {compare['result']}")
        if compare["target"] == "MOD":
            return (key.modified if key else 0) == int(compare["mod_revision"])
        return (key.created if key else 0) == int(compare["create_revision"])

    def _operate(self, operation: dict[str, Any]) -> dict[str, Any]:
        if "request_range" in operation:
            return {"response_range": self._range(operation["request_range"])}
        if "request_delete_range" in operation:
            gone = self._forget(operation["request_delete_range"]["key"])
            return {"response_delete_range": self._headed({"deleted": "1"} if gone else {})}
        put = operation["request_put"]
        name, lease, old = put["key"], str(put.get("lease", "0")), self._keys.get(put["key"])
        if lease != "0":
            self._leases[lease].keys.add(name)
        created, version = (old.created, old.version + 1) if old else (self._revision, 1)
        if not old:
            insort(self._names, (_raw(name), name))
        self._keys[name] = _Key(put["value"], created, self._revision, version, lease)
        return {"response_put": self._headed({})}

    def _expire(self) -> None:
        for name in [n for n, lease in self._leases.items() if lease.ends <= self._now()]:
            self._drop(name)

    def _drop(self, name: str) -> None:
        lease = self._leases.pop(name)
        self._revision += bool(lease.keys)
        for key in lease.keys:
            self._forget(key)

    def _forget(self, key: str) -> bool:
        if self._keys.pop(key, None) is None:
            return False
        del self._names[bisect_left(self._names, (_raw(key), key))]
        return True

    def _headed(self, answer: dict[str, Any]) -> dict[str, Any]:
        return {"header": {"revision": str(self._revision)}, **answer}


def _raw(key: str) -> bytes:
    return base64.b64decode(key)
