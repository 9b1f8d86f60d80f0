"""An etcd of version 3 as the authority, over its published JSON gateway (/v3/lease, /v3/kv).

A duty is a key that its holder creates in a transaction on its create revision, bound to an etcd lease:
when that runs out, etcd deletes the key. The token is the key's create revision, which only rises. Etcd
counts leases out by its own clock, and gives them their whole time again when it starts anew or its leader
changes. Plain HTTP; the JSON form has 64-bit numbers as strings, bytes in base64, and leaves out what is 0,
false or empty.
"""

from __future__ import annotations

import base64
from collections.abc import Sequence
from math import ceil
from typing import Any

import aiohttp
import orjson

from sabledyke.lease.types import (
    NOBODY,
    Ask,
    AuthorityError,
    Granted,
    Look,
    Release,
    Renew,
    Renewed,
    Reply,
    Sight,
    Standing,
    Take,
)

MOST = 1 << 20  # bytes of an answer
JSON = {"Content-Type": "application/json"}
NOT_FOUND = 5  # gRPC's code


class Gateway:
    """Calls to one of the endpoints; after one that failed the next goes to the next endpoint.

    ``patience`` in ms is for one call. An AuthorityError where it got no answer that can be used. Connections
    are kept between calls: a new one for each costs three to four times the CPU, on both sides.
    """

    def __init__(self, endpoints: Sequence[str], patience: float) -> None:
        self._endpoints, self._patience = list(endpoints), aiohttp.ClientTimeout(total=patience / 1000)
        self._client: aiohttp.ClientSession | None = None  # made in the loop that it is used in

    async def call(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """The answer's object; {} for what is not found."""
        if self._client is None:
            self._client = aiohttp.ClientSession(timeout=self._patience)
        try:
            url = f"http://{self._endpoints[0]}/v3/{path}"
            async with self._client.post(url, data=orjson.dumps(body), headers=JSON) as answer:
                text = await _bounded(answer)
            said = orjson.loads(text) if answer.status != 404 else {}
            if not isinstance(said, dict):
                raise AuthorityError(f"etcd: {path}: status {answer.status}, and no object")
            if answer.status == 404 or said.get("code") == NOT_FOUND:
                return {}  # of a lease that is gone: an answer like others
            if answer.status == 200:
                return said
            raise AuthorityError(f"etcd: {path}: status {answer.status}, {str(said.get('message'))[:100]}")
        except TimeoutError:
            fault: Exception = AuthorityError(f"etcd: {path}: no answer in time")
        except (aiohttp.ClientError, OSError, orjson.JSONDecodeError) as told:
            fault = AuthorityError(f"etcd: {path}: {told}")
        except AuthorityError as told:
            fault = told
        self._endpoints.append(self._endpoints.pop(0))
        raise fault from None

    async def close(self) -> None:
        """End what is open."""
        if self._client is not None:
            await self._client.close()


async def _bounded(answer: aiohttp.ClientResponse) -> bytes:
    text = bytearray()
    async for part in answer.content.iter_any():
        text += part
        if len(text) > MOST:
            raise AuthorityError(f"etcd: an answer over {MOST} bytes")
    return bytes(text)


class EtcdAuthority:
    """See ``terms.Authority``.

    ``ttl`` in ms is rounded up to whole seconds, as etcd counts them; ``patience`` in ms is for one call, of
    which an ask makes up to three.
    """

    counts = True

    def __init__(self, endpoints: Sequence[str], prefix: str, ttl: float, patience: float) -> None:
        self._prefix, self._ttl, self._gateway = prefix, ceil(ttl / 1000), Gateway(endpoints, patience)
        self._leases: dict[str, str] = {}  # by duty, the etcd lease that this instance holds it by

    async def open(self) -> None:
        """Nothing is needed ahead: an etcd that is down is asked again."""

    async def ask(self, duty: str, me: str, ask: Ask) -> Reply:
        """See ``terms.Authority``."""
        match ask:
            case Look():
                return self._sight(duty, me, await self._range(self._key(duty)))
            case Take():
                return await self._take(duty, me)
            case Renew(token):
                return await self._renew(duty, me, token)
            case Release():
                return await self._release(duty, me)

    async def _take(self, duty: str, me: str) -> Reply:
        granted = await self._gateway.call("lease/grant", {"TTL": str(self._ttl)})
        lease, key = str(granted["ID"]), self._key(duty)
        put = {"request_put": {"key": key, "value": _bytes(me), "lease": lease}}
        done = await self._txn([_created(key, 0)], [put], [_read(key)])
        if done.get("succeeded"):
            self._leases[duty] = lease
            return Granted(int(done["header"]["revision"]))
        await self._gateway.call("lease/revoke", {"ID": lease})
        return self._sight(duty, me, done["responses"][0]["response_range"])

    async def _renew(self, duty: str, me: str, token: int) -> Reply:
        """Its time first, then whether it is still this one: an operator may have freed it meanwhile."""
        lease, key = self._leases.get(duty, "0"), self._key(duty)
        kept = (await self._gateway.call("lease/keepalive", {"ID": lease})).get("result", {})
        if int(kept.get("TTL", 0)) <= 0:
            return self._sight(duty, me, await self._range(key))
        recall = _read(self._key(duty, "recall"))
        done = await self._txn([_created(key, token)], [recall], [_read(key)])
        found = done["responses"][0]["response_range"]
        if not done.get("succeeded"):
            return self._sight(duty, me, found)
        return Renewed(any(_text(kv.get("value", "")) == str(token) for kv in found.get("kvs", ())))

    async def _release(self, duty: str, me: str) -> Reply:
        await self._gateway.call("lease/revoke", {"ID": self._leases.pop(duty, "0")})
        return self._sight(duty, me, await self._range(self._key(duty)))

    async def done(self, duty: str, token: int, at: int) -> bool:
        """See ``terms.Authority``."""
        put = {"request_put": {"key": self._key(duty, "done"), "value": _bytes(str(at))}}
        return bool((await self._txn([_created(self._key(duty), token)], [put], [])).get("succeeded"))

    async def last(self, duty: str) -> int:
        """See ``terms.Authority``."""
        found = (await self._range(self._key(duty, "done"))).get("kvs", ())
        return int(_text(found[0]["value"])) if found else 0

    async def standing(self) -> list[Standing]:
        """See ``terms.Authority``."""
        first = f"{self._prefix}lease/"
        found = await self._range(_bytes(first), _bytes(first[:-1] + chr(ord("/") + 1)))
        out = []
        for kv in found.get("kvs", ()):
            duty, token = _text(kv["key"]).removeprefix(first), int(kv["create_revision"])
            left = await self._gateway.call("lease/timetolive", {"ID": kv.get("lease", "0")})
            recall = (await self._range(self._key(duty, "recall"))).get("kvs", ())
            recalled = any(_text(r.get("value", "")) == str(token) for r in recall)
            remains = max(0.0, 1000.0 * int(left.get("TTL", 0)))
            out.append(Standing(duty, _text(kv["value"]), token, remains, recalled, await self.last(duty)))
        return out

    async def recall(self, duty: str, *, at_once: bool) -> bool:
        """See ``terms.Authority``."""
        key = self._key(duty)
        found = (await self._range(key)).get("kvs", ())
        if not found:
            return False
        token, lease = found[0]["create_revision"], found[0].get("lease", "0")
        if at_once:
            await self._gateway.call("lease/revoke", {"ID": lease})
            return True
        put = {"request_put": {"key": self._key(duty, "recall"), "value": _bytes(str(token)), "lease": lease}}
        return bool((await self._txn([_created(key, int(token))], [put], [])).get("succeeded"))

    async def close(self) -> None:
        """See ``terms.Authority``."""
        await self._gateway.close()

    def _key(self, duty: str, what: str = "lease") -> str:
        return _bytes(f"{self._prefix}{what}/{duty}")

    def _sight(self, duty: str, me: str, found: dict[str, Any]) -> Sight:
        if not found.get("kvs"):
            return Sight(NOBODY, "", True)
        held = found["kvs"][0]
        holder = _text(held.get("value", ""))
        if holder == me:  # a grant whose answer was lost: this is the etcd lease to keep it by
            self._leases[duty] = str(held.get("lease", "0"))
        return Sight((int(held["create_revision"]), 0), holder, False)

    async def _range(self, key: str, end: str = "") -> dict[str, Any]:
        return await self._gateway.call("kv/range", {"key": key, **({"range_end": end} if end else {})})

    async def _txn(
        self, compare: list[dict[str, Any]], success: list[dict[str, Any]], failure: list[dict[str, Any]]
    ) -> dict[str, Any]:
        whole = {"compare": compare, "success": success, "failure": failure}
        return await self._gateway.call("kv/txn", whole)


def _created(key: str, revision: int) -> dict[str, Any]:
    """Compares a key's create revision; 0 for a key that is not there."""
    return {"key": key, "target": "CREATE", "result": "EQUAL", "create_revision": str(revision)}


def _read(key: str) -> dict[str, Any]:
    return {"request_range": {"key": key}}


def encoded(data: bytes) -> str:
    """Bytes as the gateway has them."""
    return base64.b64encode(data).decode()


def decoded(text: str) -> bytes:
    """The bytes of what the gateway says."""
    return base64.b64decode(text)


def _bytes(text: str) -> str:
    return encoded(text.encode())


def _text(data: str) -> str:
    return decoded(data).decode(errors="replace")
