"""Authority in etcd version 3.

The lease of a leader task is a key that its holder creates in a transaction, if it does not exist yet. The
key is bound to an etcd lease, and etcd deletes it when that lease expires. The token is the key's create
revision, which only rises. Etcd expires leases by its own clock, and restarts their whole duration when it
restarts or its leader changes.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import ceil

from sabledyke.lease.etcd_gateway import EtcdGateway, JsonObject, decode_base64, encode_base64
from sabledyke.lease.types import (
    UNACQUIRED_STATUS,
    Acquire,
    Granted,
    Inspect,
    LeaseReply,
    LeaseRequest,
    LeaseStatus,
    LeaseSummary,
    LeaseVersion,
    Release,
    Renew,
    Renewed,
)

NO_ETCD_LEASE = "0"


class EtcdAuthority:
    """Authority in etcd."""

    tracks_expiry = True

    def __init__(self, endpoints: Sequence[str], prefix: str, ttl_ms: float, timeout_ms: float) -> None:
        """Create an authority; connections are opened by the first request.

        Args:
            endpoints: Addresses (host:port) of the etcd servers.
            prefix: Prefix of all keys.
            ttl_ms: Duration of leases; rounded up to whole seconds, the unit of etcd.
            timeout_ms: Time limit for one call to etcd; a request makes up to three calls.
        """
        self._prefix = prefix
        self._ttl_s = ceil(ttl_ms / 1000)
        self._gateway = EtcdGateway(endpoints, timeout_ms)
        self._etcd_leases: dict[str, str] = {}  # etcd lease of each held lease, by task name

    async def open(self) -> None:
        """Do nothing: the first request connects, and requests are retried while etcd is unavailable."""

    async def request(self, task_name: str, holder_id: str, request: LeaseRequest) -> LeaseReply:
        """Execute a request by up to three calls to etcd."""
        match request:
            case Inspect():
                return await self._inspect(task_name, holder_id)
            case Acquire():
                return await self._acquire(task_name, holder_id)
            case Renew(token):
                return await self._renew(task_name, holder_id, token)
            case Release():
                await self._revoke(self._etcd_leases.pop(task_name, NO_ETCD_LEASE))
                return await self._inspect(task_name, holder_id)

    async def record_completion(self, task_name: str, token: int, at_unix_ms: int) -> bool:
        """Store the completion time under a key of its own if the token is the latest one."""
        put = _put(self._completion_key(task_name), str(at_unix_ms))
        result = await self._transact([_created_at(self._lease_key(task_name), token)], [put], [])
        return bool(result.get("succeeded"))

    async def last_completed_unix_ms(self, task_name: str) -> int:
        """Return the stored completion time; 0 for never."""
        found = _key_values(await self._range(self._completion_key(task_name)))
        return int(_decode_text(found[0]["value"])) if found else 0

    async def list_leases(self) -> list[LeaseSummary]:
        """Return all held leases, with the remaining time by etcd's clock."""
        first = f"{self._prefix}lease/"
        after_last = f"{self._prefix}lease{chr(ord('/') + 1)}"
        found = await self._range(_encode_text(first), _encode_text(after_last))
        return [
            await self._summarize(_decode_text(entry["key"]).removeprefix(first), entry)
            for entry in _key_values(found)
        ]

    async def recall(self, task_name: str, *, at_once: bool) -> bool:
        """Create the recall key, or revoke the etcd lease immediately."""
        key = self._lease_key(task_name)
        found = _key_values(await self._range(key))
        if not found:
            return False
        token = int(found[0]["create_revision"])
        etcd_lease = found[0].get("lease", NO_ETCD_LEASE)
        if at_once:
            await self._revoke(etcd_lease)
            return True
        put = _put(self._recall_key(task_name), str(token), etcd_lease)
        result = await self._transact([_created_at(key, token)], [put], [])
        return bool(result.get("succeeded"))

    async def close(self) -> None:
        """Close the connections to etcd."""
        await self._gateway.close()

    async def _inspect(self, task_name: str, holder_id: str) -> LeaseStatus:
        return self._status(task_name, holder_id, await self._range(self._lease_key(task_name)))

    async def _acquire(self, task_name: str, holder_id: str) -> LeaseReply:
        granted = await self._gateway.call("lease/grant", {"TTL": str(self._ttl_s)})
        etcd_lease = str(granted["ID"])
        key = self._lease_key(task_name)
        put = _put(key, holder_id, etcd_lease)
        result = await self._transact([_created_at(key, 0)], [put], [_read(key)])
        if result.get("succeeded"):
            self._etcd_leases[task_name] = etcd_lease
            return Granted(int(result["header"]["revision"]))
        await self._revoke(etcd_lease)
        return self._status(task_name, holder_id, result["responses"][0]["response_range"])

    async def _renew(self, task_name: str, holder_id: str, token: int) -> LeaseReply:
        """Extend the etcd lease, then check that the key is still held: an operator may have freed it."""
        etcd_lease = self._etcd_leases.get(task_name, NO_ETCD_LEASE)
        response = await self._gateway.call("lease/keepalive", {"ID": etcd_lease})
        if int(response.get("result", {}).get("TTL", 0)) <= 0:
            return await self._inspect(task_name, holder_id)
        key = self._lease_key(task_name)
        recall = _read(self._recall_key(task_name))
        result = await self._transact([_created_at(key, token)], [recall], [_read(key)])
        found = result["responses"][0]["response_range"]
        if not result.get("succeeded"):
            return self._status(task_name, holder_id, found)
        return Renewed(recalled=_names_token(found, token))

    async def _summarize(self, task_name: str, entry: JsonObject) -> LeaseSummary:
        token = int(entry["create_revision"])
        etcd_lease = entry.get("lease", NO_ETCD_LEASE)
        remaining = await self._gateway.call("lease/timetolive", {"ID": etcd_lease})
        recall = await self._range(self._recall_key(task_name))
        return LeaseSummary(
            task_name=task_name,
            holder=_decode_text(entry["value"]),
            token=token,
            remaining_ms=max(0.0, 1000.0 * int(remaining.get("TTL", 0))),
            recalled=_names_token(recall, token),
            last_completed_unix_ms=await self.last_completed_unix_ms(task_name),
        )

    def _status(self, task_name: str, holder_id: str, found: JsonObject) -> LeaseStatus:
        entries = _key_values(found)
        if not entries:
            return UNACQUIRED_STATUS
        holder = _decode_text(entries[0].get("value", ""))
        if holder == holder_id:  # after a grant whose reply was lost, this etcd lease is the one to renew
            self._etcd_leases[task_name] = str(entries[0].get("lease", NO_ETCD_LEASE))
        version = LeaseVersion(int(entries[0]["create_revision"]), 0)
        return LeaseStatus(version, holder, is_free=False)

    async def _revoke(self, etcd_lease: str) -> None:
        await self._gateway.call("lease/revoke", {"ID": etcd_lease})

    async def _range(self, key: str, range_end: str = "") -> JsonObject:
        body = {"key": key, "range_end": range_end} if range_end else {"key": key}
        return await self._gateway.call("kv/range", body)

    async def _transact(
        self, compare: list[JsonObject], success: list[JsonObject], failure: list[JsonObject]
    ) -> JsonObject:
        body = {"compare": compare, "success": success, "failure": failure}
        return await self._gateway.call("kv/txn", body)

    def _lease_key(self, task_name: str) -> str:
        return _encode_text(f"{self._prefix}lease/{task_name}")

    def _recall_key(self, task_name: str) -> str:
        return _encode_text(f"{self._prefix}recall/{task_name}")

    def _completion_key(self, task_name: str) -> str:
        return _encode_text(f"{self._prefix}done/{task_name}")


def _key_values(found: JsonObject) -> Sequence[JsonObject]:
    """Return the entries of a range; the field is missing if there are none."""
    entries: Sequence[JsonObject] = found.get("kvs", ())
    return entries


def _names_token(recall: JsonObject, token: int) -> bool:
    """Return whether the response to a read of the recall key contains this token."""
    return any(_decode_text(entry.get("value", "")) == str(token) for entry in _key_values(recall))


def _created_at(key: str, revision: int) -> JsonObject:
    """Return a condition on a key's create revision, which is 0 for a key that does not exist."""
    return {"key": key, "target": "CREATE", "result": "EQUAL", "create_revision": str(revision)}


def _read(key: str) -> JsonObject:
    return {"request_range": {"key": key}}


def _put(key: str, value: str, etcd_lease: str = "") -> JsonObject:
    entry = {"key": key, "value": _encode_text(value)}
    if etcd_lease:
        entry["lease"] = etcd_lease
    return {"request_put": entry}


def _encode_text(text: str) -> str:
    return encode_base64(text.encode())


def _decode_text(data: str) -> str:
    return decode_base64(data).decode(errors="replace")
