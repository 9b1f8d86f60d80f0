"""What the holder of a lease does: work on the record, or a call to somebody who does the work.

Each step asks the keeper for its token just before it acts, and what takes the effect is fenced: the record's
database refuses a step under an older token than one it has seen (``fence``), a called service answers 409.
"""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from tornado.httpclient import AsyncHTTPClient, HTTPError

from sabledyke import log
from sabledyke.errors import FencedError as FencedError
from sabledyke.lease import fencing
from sabledyke.lease.http_calls import post
from sabledyke.lease.manager import Keeper, LeaseLostError
from sabledyke.lease.section import Duty
from sabledyke.lease.types import Authority, AuthorityError
from sabledyke.store import maintenance
from sabledyke.store.connect import connect
from sabledyke.store.database_errors import Kind, StoreError, StoreFault
from sabledyke.store.section import Target

PATIENCE = 10.0  # seconds that a called service may take for one act
AGAIN = 0.5  # seconds before a step that failed is tried again

Act = Callable[[Keeper], Awaitable[None]]


async def pass_fence(target: Target, duty: str, token: int) -> None:
    """Show the record's database this token; Refused where it has seen a later one."""
    session = await connect(target, create=False)
    try:
        await session.transact([*fencing.steps(duty, token)])
    except StoreFault as fault:
        if fault.kind is Kind.FENCED:
            raise FencedError(f"{duty}: the record has seen a token after {token}") from None
        if fault.kind is not Kind.SCHEMA:
            raise
        await session.script([fencing.TABLE])  # the first duty on this record
        await session.transact([*fencing.steps(duty, token)])
    finally:
        await session.close()


def act_of(duty: Duty, record: Target | None) -> Act:
    """What is done under this duty's lease, once."""
    if duty.kind == "call":
        return lambda keeper: _call(duty, keeper)
    assert record is not None
    if duty.kind == "backup":
        return lambda keeper: _backup(duty, record, keeper)
    work = maintenance.audit if duty.kind == "audit" else maintenance.reconcile
    return lambda keeper: _look_through(duty, record, keeper, work)


async def _look_through(
    duty: Duty, record: Target, keeper: Keeper, work: Callable[[Target, maintenance.Say], Awaitable[bool]]
) -> None:
    """Audit or reconcile: its findings count only if nobody else has begun meanwhile."""
    found: list[str] = []
    await pass_fence(record, duty.name, keeper.token())
    well = await work(record, found.append)
    token = keeper.token()
    await pass_fence(record, duty.name, token)
    verdict = "all is well" if well else f"NOT well: {'; '.join(found[:4])}"
    log.emit("duty", f"{duty.name}: {verdict}", duty=duty.name, token=token, well=int(well))


async def _backup(duty: Duty, record: Target, keeper: Keeper) -> None:
    """A copy under a name of its own.

    It is there, and older ones go, only once the fence has let it through.
    """
    folder, token = Path(duty.folder), keeper.token()
    await pass_fence(record, duty.name, token)
    folder.mkdir(parents=True, exist_ok=True)
    made = folder / f"{duty.name}.{token}.{time.time_ns() // 1_000_000}.sqlite3"
    work = made.with_suffix(".working")
    try:
        well = await maintenance.backup(record, str(work), lambda _: None)
        token = keeper.token()
        await pass_fence(record, duty.name, token)
        os.replace(work, made)
    finally:
        work.unlink(missing_ok=True)
    there = sorted(folder.glob(f"{duty.name}.*.*.sqlite3"), key=lambda f: int(f.name.split(".")[-2]))
    for old in there[: -duty.keep]:
        keeper.token()
        old.unlink(missing_ok=True)
    said = made.name if well else f"{made.name}, whose record does not pass its audit"
    log.emit("duty", f"{duty.name}: {said}", duty=duty.name, token=token, well=int(well))


async def _call(duty: Duty, keeper: Keeper) -> None:
    """One POST.

    Its headers name the duty, the holder and the token, and 409 says that a later one was seen.
    """
    host, port, path = duty.call
    client = AsyncHTTPClient()
    token = keeper.token()
    headers = {"Lease-Duty": duty.name, "Lease-Token": str(token), "Lease-Holder": keeper.me}
    try:
        await post(client, f"http://{host}:{port}{path}", b"", PATIENCE, headers)
    except HTTPError as fault:
        if fault.code == 409:
            raise FencedError(f"{duty.name}: the called service has seen a token after {token}") from None
        raise


async def perform(duty: Duty, act: Act, keeper: Keeper, authority: Authority) -> None:
    """Do it whenever it is due and the lease is held, until cancelled.

    When it was last done is kept by the authority, so that a new holder goes on where the last one was.
    """
    while True:
        await keeper.held.wait()
        try:
            waits = await authority.last(duty.name) + duty.every - time.time() * 1000
            if waits > 0:
                await asyncio.sleep(min(waits / 1000, duty.every / 1000))
                continue
            token = keeper.token()
            await act(keeper)
            await authority.done(duty.name, token, int(time.time() * 1000))
        except LeaseLostError:
            keeper.notice()
        except FencedError as refused:
            log.emit("duty", str(refused))
            keeper.fenced(token)
        except (AuthorityError, StoreFault, StoreError, HTTPError, OSError) as fault:
            log.emit("duty", f"{duty.name}: not done, it is tried again: {fault}", duty=duty.name)
            await asyncio.sleep(AGAIN)
