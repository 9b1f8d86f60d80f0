"""A crowd of clients in a process of its own: ``python -m tests.support.crowd PORT CLIENTS HABIT SECONDS``.

A process of its own keeps the crowd from delaying the clients that a test looks at.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import resource
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from random import Random

from tests.standins import Reader, Writer
from tests.transcripts.support import ROOT, request

RECONNECT_PAUSE_S = 0.01
END_TIMEOUT_S = 10.0
LARGE_BODY = b"x" * 65_000
STOPPED_BODY = request("PUT", ident="crowd", body=LARGE_BODY)[:-1_000]
SHORT_FIELDS = request(
    "PUT", "/api/1/2", *(f"{number:x}:" for number in range(2_300)), ident="crowd", body=LARGE_BODY
)[:-1_000]
HALF_REQUEST = b"GET /api/1/2 HTTP/1.1\r\nReq-Id: half"
Habit = Callable[[Reader, Writer, str], Awaitable[None]]


async def _leave_at_once(_reader: Reader, _writer: Writer, _ident: str) -> None:
    return


async def _stay_silent(reader: Reader, _writer: Writer, _ident: str) -> None:
    await reader.read()


async def _stop_half_way(reader: Reader, writer: Writer, _ident: str) -> None:
    writer.write(HALF_REQUEST)
    await reader.read()


async def _ask_once(reader: Reader, writer: Writer, ident: str) -> None:
    writer.write(request(ident=ident).replace(b"Deadline: 20.0", b"Deadline: 2.0"))
    await reader.read()


async def _send_nonsense(reader: Reader, writer: Writer, _ident: str) -> None:
    writer.write(b"?\r\n\r\n")
    await reader.read()


async def _stop_within_a_body(reader: Reader, writer: Writer, ident: str) -> None:
    writer.write(STOPPED_BODY.replace(b"crowd", ident.encode()))
    await reader.read()


async def _send_short_fields(reader: Reader, writer: Writer, ident: str) -> None:
    writer.write(SHORT_FIELDS.replace(b"crowd", ident.encode()))
    await reader.read()


HABITS: dict[str, Habit] = {
    "leave": _leave_at_once,
    "silent": _stay_silent,
    "half": _stop_half_way,
    "once": _ask_once,
    "nonsense": _send_nonsense,
    "body": _stop_within_a_body,
    "fields": _send_short_fields,
}
MIXED = "mixed"


async def _be_client(port: int, number: int, habit: str) -> None:
    """Open one connection after another, and use each as the habit says."""
    random = Random(number)
    await asyncio.sleep(random.random())
    for count in itertools.count():
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            use = HABITS[random.choice(list(HABITS)) if habit == MIXED else habit]
            with contextlib.suppress(OSError):
                await use(reader, writer, f"crowd{number}-{count}")
            writer.transport.abort()
        await asyncio.sleep(RECONNECT_PAUSE_S)


async def _run(port: int, clients: int, habit: str, seconds: float) -> None:
    _, most_descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most_descriptors, most_descriptors))
    tasks = [asyncio.create_task(_be_client(port, number, habit)) for number in range(clients)]
    await asyncio.wait(tasks, timeout=seconds)


@contextlib.asynccontextmanager
async def crowd(port: int, clients: int, habit: str, seconds: float) -> AsyncIterator[None]:
    """Run a crowd beside the block, for at most a number of seconds."""
    arguments = (str(port), str(clients), habit, str(seconds))
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "tests.support.crowd", *arguments, cwd=ROOT
    )
    try:
        yield
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.terminate()
        await asyncio.wait_for(process.wait(), END_TIMEOUT_S)


if __name__ == "__main__":
    asyncio.run(_run(int(sys.argv[1]), int(sys.argv[2]), sys.argv[3], float(sys.argv[4])))
