"""Compatibility of leases and the compacted log in etcd: keys, values and calls to its JSON gateway."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Awaitable, Callable

import orjson
import pytest

from tests.compatibility.files import DATA
from tests.compatibility.program import lease, log
from tests.compatibility.program.values import values

CELLS = {"fleet/h": b"[3,0,86,0,0]", "fleet/k/ask/n1": b"[1,51,false]", "fleet/k/ask/n2": b"[2,51,false]"}
STORED = {  # state while the lease "nightly" is held and recalled
    "sabledyke/lease/nightly": "n1.aaaaaaaaaaaa",
    "sabledyke/recall/nightly": "2",
    "sabledyke/done/nightly": "1700000000123",
}


class RecordingEtcd(lease.Etcd):
    """The testbed's stand-in for etcd, which records all calls.

    Attributes:
        recorded_calls: Path and body of each call of the program.
    """

    def __init__(self) -> None:
        super().__init__()
        self.recorded_calls: list[str] = []

    async def answer(self, path: str, headers: dict[str, str], body: bytes) -> tuple[int, bytes]:
        self.recorded_calls.append(f"{path} {body.decode()}")
        return await super().answer(path, headers, body)

    async def call(self, path: str, **body: object) -> dict[str, object]:
        """Execute a call of the test itself, which is not recorded."""
        status, data = await super().answer(path, {}, orjson.dumps(body))
        assert status == 200
        answer: dict[str, object] = orjson.loads(data)
        return answer

    async def stored(self) -> dict[str, str]:
        """Return all keys and values as text."""
        kvs = (await self.call("/v3/kv/range", key=_encoded("a"), range_end=_encoded("~")))["kvs"]
        assert isinstance(kvs, list)
        return {_decoded(kv["key"]): _decoded(kv["value"]) for kv in kvs}

    async def put(self, key: str, value: str, lease: str = "0") -> None:
        """Store a value as another version of the program would."""
        put = {"request_put": {"key": _encoded(key), "value": _encoded(value), "lease": lease}}
        assert (await self.call("/v3/kv/txn", compare=[], success=[put], failure=[]))["succeeded"]


def _encoded(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


def _decoded(text: str) -> str:
    return base64.b64decode(text).decode()


def _play(scenario: Callable[[RecordingEtcd, str], Awaitable[None]]) -> list[str]:
    """Run a scenario with an etcd and its address; return the recorded calls of the program."""

    async def run() -> list[str]:
        etcd = RecordingEtcd()
        await etcd.open()
        try:
            await scenario(etcd, f"127.0.0.1:{etcd.port}")
        finally:
            await etcd.close()
        return etcd.recorded_calls

    return asyncio.run(run())


async def _lease_scenario(etcd: RecordingEtcd, address: str) -> None:
    authority = lease.etcd_authority(address)
    assert values(await lease.inspect(authority, "nightly")) == [[0, 0], "", True, 0.0]
    assert values(await lease.acquire(authority, "nightly", (0, 0))) == [2]
    assert values(await lease.acquire(authority, "nightly", (0, 0))) == [
        [2, 0],
        "n1.aaaaaaaaaaaa",
        False,
        0.0,
    ]
    assert await authority.record_completion("nightly", 2, 1700000000123)
    assert await authority.last_completion("nightly") == 1700000000123
    assert values(await lease.renew(authority, "nightly", 2)) == [False]
    assert await authority.recall("nightly", at_once=False)
    assert values(await lease.renew(authority, "nightly", 2)) == [True]
    assert await etcd.stored() == STORED
    (summary,) = await authority.list_leases()
    task_name, holder, token, _, recalled, last_completed = values(summary)
    assert (task_name, holder, token, recalled, last_completed) == (
        "nightly",
        "n1.aaaaaaaaaaaa",
        2,
        True,
        1700000000123,
    )
    assert values(await lease.release(authority, "nightly", 2)) == [[0, 0], "", True, 0.0]
    assert not await authority.recall("nightly", at_once=False)
    assert values(await lease.acquire(authority, "nightly", (0, 0))) == [6]
    assert await authority.recall("nightly", at_once=True)
    assert await etcd.stored() == {"sabledyke/done/nightly": "1700000000123"}
    await authority.close()


async def _log_scenario(etcd: RecordingEtcd, address: str) -> None:
    backend = log.EtcdLogBackend([address], "sabledyke/", 20_000.0)
    assert await backend.commit({key: 0 for key in CELLS}, CELLS)
    assert not await backend.commit({"fleet/h": 0}, {"fleet/h": b"lost"})
    cells = await backend.get(["fleet/h", "fleet/none"])
    assert {key: values(cell) for key, cell in cells.items()} == {"fleet/h": [2, b"[3,0,86,0,0]"]}
    scanned = await backend.scan("fleet/k/", "fleet/k/~", 100)
    assert {key: values(cell) for key, cell in scanned} == {
        key: [2, data] for key, data in CELLS.items() if key.startswith("fleet/k/")
    }
    assert await backend.commit({"fleet/h": 2}, {"fleet/h": b"[4,0,86,0,0]"}, ["fleet/k/ask/n1"])
    assert await etcd.stored() == {
        "sabledyke/board/fleet/h": "[4,0,86,0,0]",
        "sabledyke/board/fleet/k/ask/n2": "[2,51,false]",
    }
    await backend.close()


@pytest.mark.parametrize(("name", "scenario"), [("etcd_lease", _lease_scenario), ("etcd_log", _log_scenario)])
def test_calls_to_the_gateway_and_stored_values_are_unchanged(
    name: str, scenario: Callable[[RecordingEtcd, str], Awaitable[None]]
) -> None:
    assert _play(scenario) == (DATA / f"{name}_calls.txt").read_text().splitlines()


def test_a_lease_that_another_version_stored_is_read() -> None:
    async def scenario(etcd: RecordingEtcd, address: str) -> None:
        granted = str((await etcd.call("/v3/lease/grant", TTL="60"))["ID"])
        for key, value in STORED.items():
            await etcd.put(key, value, "0" if "done" in key else granted)
        authority = lease.etcd_authority(address)
        (summary,) = await authority.list_leases()
        task_name, holder, token, remaining_ms, recalled, last_completed = values(summary)
        assert (task_name, holder, token, recalled, last_completed) == (
            "nightly",
            "n1.aaaaaaaaaaaa",
            2,
            True,
            1700000000123,
        )
        assert 0 < remaining_ms <= 60_000
        assert values(await lease.inspect(authority, "nightly")) == [[2, 0], holder, False, 0.0]
        assert values(await lease.renew(authority, "nightly", 2)) == [True]
        await authority.close()

    _play(scenario)


def test_a_log_that_another_version_stored_is_read() -> None:
    async def scenario(etcd: RecordingEtcd, address: str) -> None:
        message = '["ask/n1","n1",1,1,false]\n{"name":"n1","plan":"p1","life":3,"number":5}'
        await etcd.put("sabledyke/board/fleet/h", "[2,0,51,0,0]")
        await etcd.put("sabledyke/board/fleet/k/ask/n1", "[1,51,false]")
        await etcd.put("sabledyke/board/fleet/m/0000000000000001", message)
        await etcd.put("sabledyke/board/fleet/w/n1", '[1,"aaaaaaaaaaaa",1,[1]]')
        await etcd.put("sabledyke/board/beats/r/n1", "[3,120,4,86400123]")
        backend = log.EtcdLogBackend([address], "sabledyke/", 20_000.0)
        values, offsets = await log.read_topic(backend, "fleet")
        assert values == {"ask/n1": message.partition("\n")[2].encode()}
        assert offsets == {"ask/n1": 1}
        assert await log.read_registers(backend, "beats") == {"n1": b"[3,120,4,86400123]"}
        assert await log.claim_writer(backend, "fleet", "n1", "bbbbbbbbbbbb") == ("n1", 2, "bbbbbbbbbbbb")
        await backend.close()

    _play(scenario)
