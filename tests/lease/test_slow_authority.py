"""Leases with an etcd that answers slowly, or with an unresponsive server among several."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Iterator

import pytest

from sabledyke.lease import section
from sabledyke.lease.etcd_gateway import EtcdGateway
from sabledyke.lease.extension import create_authority
from sabledyke.lease.manager import LeaseManager
from sabledyke.testbed.etcd_server import Etcd
from tests.lease.support import CALL, TIMEOUT_S, etcd_server

RENEW_INTERVAL_MS = 800
ANSWER_TIME_S = 0.24  # a request of two calls leaves a third of the interval as margin on a busy machine
GRANT_TIMEOUT_S = 20.0
CALL_CANCELLED_AFTER_S = 0.2


class SlowEtcd(Etcd):
    """Etcd server that delays each answer by ``ANSWER_TIME_S``."""

    async def answer(self, path: str, headers: dict[str, str], body: bytes) -> tuple[int, bytes]:
        await asyncio.sleep(ANSWER_TIME_S)
        return await super().answer(path, headers, body)


@contextlib.asynccontextmanager
async def unresponsive_server() -> AsyncIterator[str]:
    """Run a server that reads and never answers; yield its address."""

    async def read_on(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            while await reader.read(1 << 16):
                pass
        writer.close()

    server = await asyncio.start_server(read_on, "127.0.0.1", 0)
    async with server:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


@contextlib.contextmanager
def grant_timeout() -> Iterator[None]:
    try:
        yield
    except TimeoutError:
        pytest.fail(f"no lease in {GRANT_TIMEOUT_S} s, though the authority answers")


async def hold_lease(*endpoints: str) -> None:
    """Acquire a lease with the production timeouts, and wait for one renewal."""
    times = {"ttl_ms": 2000, "renew_ms": RENEW_INTERVAL_MS, "margin_ms": 300}
    settings = section.read({"etcd": list(endpoints), "duty": [CALL], **times}, None)
    assert settings is not None
    authority = create_authority(settings)
    manager = LeaseManager("d", "n0.life", authority, settings.times, 1)
    task = asyncio.create_task(manager.run())
    try:
        with grant_timeout():
            async with asyncio.timeout(GRANT_TIMEOUT_S):
                await manager.leading.wait()
                granted_until_ms = manager.state.may_operate_until_ms
                while manager.state.may_operate_until_ms <= granted_until_ms:
                    await asyncio.sleep(0.01)
        assert manager.current_token() == manager.state.token
    finally:
        await manager.stop()
        await task
        await authority.close()


def test_a_lease_is_acquired_if_two_calls_fit_into_the_time_of_a_request() -> None:
    """Guards against calls that time out before their request does, so that no instance gets the lease."""

    async def run() -> None:
        etcd = SlowEtcd()
        await etcd.open()
        try:
            await hold_lease(f"127.0.0.1:{etcd.port}")
        finally:
            await etcd.close()

    asyncio.run(asyncio.wait_for(run(), TIMEOUT_S))


@pytest.mark.parametrize("hanging_first", [True, False])
def test_a_lease_is_acquired_if_one_of_the_servers_is_unresponsive(*, hanging_first: bool) -> None:
    async def run() -> None:
        async with unresponsive_server() as hanging, etcd_server() as etcd:
            endpoints = [hanging, f"127.0.0.1:{etcd.port}"]
            await hold_lease(*(endpoints if hanging_first else reversed(endpoints)))

    asyncio.run(asyncio.wait_for(run(), TIMEOUT_S))


def test_the_call_after_a_cancelled_one_goes_to_another_server() -> None:
    async def run() -> None:
        async with unresponsive_server() as hanging, etcd_server() as etcd:
            gateway = EtcdGateway([hanging, f"127.0.0.1:{etcd.port}"], TIMEOUT_S * 1000)
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(CALL_CANCELLED_AFTER_S):
                    await gateway.call("lease/grant", {"TTL": "1"})
            assert "ID" in await gateway.call("lease/grant", {"TTL": "1"})
            await gateway.close()

    asyncio.run(asyncio.wait_for(run(), TIMEOUT_S))
