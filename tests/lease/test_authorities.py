"""Comparison of both authorities with a minimal reference implementation, under random requests."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sabledyke.lease.etcd_authority import EtcdAuthority
from sabledyke.lease.sql_authority import SqlAuthority
from sabledyke.lease.types import (
    Acquire,
    Authority,
    Granted,
    Inspect,
    LeaseReply,
    LeaseRequest,
    LeaseStatus,
    Release,
    Renew,
)
from sabledyke.store.section import Target
from tests.lease.support import TIMEOUT_S, etcd_server
from tests.support.generated_bytes import FIXED

HOLDERS = "abc"
REQUESTS = st.tuples(st.sampled_from(HOLDERS), st.sampled_from([Inspect, Acquire, Renew, Release]))


class ReferenceAuthority:
    """Minimal authority for one lease, which only tracks the holder and the token."""

    def __init__(self) -> None:
        self.holder = ""
        self.token = 0

    def request(self, holder_id: str, request: LeaseRequest) -> str:
        mine = (
            isinstance(request, Renew | Release) and self.holder == holder_id and request.token == self.token
        )
        if isinstance(request, Acquire) and not self.holder:
            self.holder = holder_id
            self.token += 1
            return "granted"
        if isinstance(request, Renew) and mine:
            return "renewed"
        if isinstance(request, Release) and mine:
            self.holder = ""
        return f"held by {self.holder}"


@pytest.mark.parametrize("backend", ["table", "etcd"])
@FIXED
@given(st.lists(REQUESTS, max_size=30))
def test_an_authority_answers_like_the_reference_implementation(
    tmp_path_factory: pytest.TempPathFactory, backend: str, requests: list[tuple[str, type]]
) -> None:
    async def run() -> None:
        async with etcd_server() as etcd:
            file = tmp_path_factory.mktemp("lease") / "l"
            authorities = {holder: authority_on(backend, file, etcd.port) for holder in HOLDERS}
            for authority in authorities.values():
                await authority.open()
            await _compare(authorities, requests)
            for authority in authorities.values():
                await authority.close()

    asyncio.run(asyncio.wait_for(run(), TIMEOUT_S))


def authority_on(backend: str, file: Path, etcd_port: int) -> Authority:
    if backend == "etcd":
        return EtcdAuthority([f"127.0.0.1:{etcd_port}"], "x/", 5000, 5000)
    return SqlAuthority(Target(path=str(file)), 5000)


async def _compare(authorities: dict[str, Authority], requests: list[tuple[str, type]]) -> None:
    reference = ReferenceAuthority()
    tokens = [0]
    for holder, kind in requests:
        seen = await authorities[holder].request("d", holder, Inspect())
        assert isinstance(seen, LeaseStatus)
        assert _described(seen) == reference.request(holder, Inspect())
        if kind is Acquire and not seen.is_free:
            continue  # a manager acquires only a free lease, or one that it saw unchanged
        request = _request(kind, seen, token=tokens[-1])
        reply = await authorities[holder].request("d", holder, request)
        assert _described(reply) == reference.request(holder, _request(kind, seen, token=reference.token))
        if isinstance(reply, Granted):
            assert reply.token > tokens[-1]  # tokens only rise
            tokens.append(reply.token)


def _request(kind: type, seen: LeaseStatus, *, token: int) -> LeaseRequest:
    if kind is Inspect:
        return Inspect()
    if kind is Acquire:
        return Acquire(seen.version)
    return Renew(token) if kind is Renew else Release(token)


def _described(reply: LeaseReply) -> str:
    if isinstance(reply, LeaseStatus):
        assert reply.is_free == (reply.holder == "")
        return f"held by {reply.holder}"
    return "granted" if isinstance(reply, Granted) else "renewed"
