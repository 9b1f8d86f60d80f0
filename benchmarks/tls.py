"""What TLS towards boxes costs; figures for docs/design/tls.md.

    python benchmarks/tls.py [--seconds N]

Handshakes: CPU of the client's side, full and resumed, through the program's layer against the bare library,
both on memory buffers, in turn. Resumption: the share of reconnections through the program that resume. Kept
connections: requests a second and p99 with TLS against plain, over the same links in one process, in turn.
The returning box: in simulated time, 20 schedulers with 40 attempts each come to a box that has just started,
with admission and without.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import ssl
import statistics
import sys
import tempfile
import time
from dataclasses import replace
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from benchmarks import store  # noqa: E402
from sabledyke.policy.nodes import NodeEntry, NodeState  # noqa: E402
from sabledyke.tls import contexts  # noqa: E402
from sabledyke.tls.connector import TlsConnector  # noqa: E402
from sabledyke.tls.handshake_admission import HandshakeAdmission, HandshakeBudget  # noqa: E402
from sabledyke.tls.key_material import KeyFiles  # noqa: E402
from sabledyke.tls.keyring import Keyring  # noqa: E402
from sabledyke.tls.section import KeyPaths, TlsSection  # noqa: E402
from sabledyke.tls.tls_machine import TlsMachine  # noqa: E402
from tests.standins import http  # noqa: E402
from tests.standins.keys import Authority  # noqa: E402
from tests.standins.tls import TlsNode, server_context  # noqa: E402

AUTHORITY = Authority()
SERVER = server_context(*AUTHORITY.issue("box"))
ENTRY = NodeEntry(b"box", 0, 0, 0, 0.0, 1.0, NodeState.READY)
FREE = HandshakeBudget(scheduler_count=1, handshake_share=1.0, cores=1000.0)


def keys() -> Keyring:
    """A keyring with the authority's root."""
    made = Keyring(0)
    made.offer(time.time() * 1000, KeyFiles(roots=AUTHORITY.root))
    return made


def handshakes(count: int, *, resume: bool, layered: bool) -> float:
    """CPU microseconds of the client's side of a handshake and one answer, on memory buffers."""
    context, spent = contexts.client_context(keys().generation), 0.0
    session: ssl.SSLSession | None = None
    for _ in range(count):
        there, back = ssl.MemoryBIO(), ssl.MemoryBIO()
        server = SERVER.wrap_bio(there, back, True)
        began = time.process_time()
        make = Ours if layered else Bare
        client = make(context, session if resume else None)
        out = client.start()
        spent += time.process_time() - began
        there.write(out)
        with contextlib.suppress(ssl.SSLWantReadError):
            server.do_handshake()
        data = back.read()
        began = time.process_time()
        out = client.take(data)
        spent += time.process_time() - began
        there.write(out)
        server.do_handshake()
        server.write(b"x")
        data = back.read()
        began = time.process_time()
        client.take(data)
        session = client.session()
        spent += time.process_time() - began
    return spent / count * 1e6


class Bare:
    """The library alone."""

    def __init__(self, context: ssl.SSLContext, session: ssl.SSLSession | None) -> None:
        self._in, self._out = ssl.MemoryBIO(), ssl.MemoryBIO()
        self._tls = context.wrap_bio(self._in, self._out, False, "box", session)

    def start(self) -> bytes:
        """The first bytes."""
        return self.take(b"")

    def take(self, data: bytes) -> bytes:
        """Go on with these bytes."""
        self._in.write(data)
        try:
            self._tls.do_handshake()
            self._tls.read(10)
        except ssl.SSLWantReadError:
            pass
        return self._out.read()

    def session(self) -> ssl.SSLSession | None:
        """The newest ticket."""
        return self._tls.session


class Ours:
    """The program's layer."""

    def __init__(self, context: ssl.SSLContext, session: ssl.SSLSession | None) -> None:
        self._layer = TlsMachine(context, name="box", session=session)

    def start(self) -> bytes:
        """The first bytes."""
        return self._layer.output

    def take(self, data: bytes) -> bytes:
        """Go on with these bytes."""
        self._layer.feed(data)
        return self._layer.output

    def session(self) -> ssl.SSLSession | None:
        """The newest ticket."""
        return self._layer.ticket


async def resumption(count: int) -> float:
    """The share of reconnections through the program that resume."""
    box = TlsNode(SERVER)
    await box.open()
    connector = TlsConnector(TlsSection(KeyPaths(), name_template="box"), FREE, 1)
    connector.use_generation(keys().generation)
    for n in range(count + 1):
        stream = await connector.connect(ENTRY, ("127.0.0.1", box.port), 1000, 1000)
        await stream.write(b"GET / HTTP/1.1\r\n\r\n")
        await stream.read_bytes(100)
        stream.close()
        if n == 0:
            connector.full_handshakes = connector.resumed_handshakes = 0
    box.die()
    return connector.resumed_handshakes / count


class SlowBox(TlsNode):
    """As the store's boxes, behind TLS."""

    def __init__(self) -> None:
        super().__init__(SERVER)
        self.answer = self._later

    async def _later(self, _: object) -> bytes:
        self.seen.clear()
        await asyncio.sleep(0.005)
        return http(200, b"x" * 64)


async def kept(folder: Path, seconds: float, rounds: int) -> None:
    """The whole program at kept connections, plain and with TLS, in turn."""
    fields = {"plain": store.Field(), "TLS": store.Field()}
    await fields["plain"].open()
    await fields["TLS"].open(__file__, "--boxes", str(folder / "roots.pem"))
    text = {"plain": "", "TLS": f'[tls]\nroots = "{folder}/roots.pem"\nname = "box"\n'}
    rows: dict[str, list[tuple[float, float, float, float]]] = {"plain": [], "TLS": []}
    for _ in range(rounds):
        for variant, field in fields.items():
            program = await field.start(ROOT, folder, text[variant])
            await store.steady(program, 1)
            spent, middle, late = await store.steady_with_tail(program, seconds, store.BUSY)
            rows[variant].append((spent, middle, late, await store.flat_out(program, seconds)))
            await program.end()
    print(f"the program, 4 boxes: CPU us a request, median and p99 ms at {store.BUSY:.0f}/s, flat out/s")
    middles = {v: [statistics.median(r[i] for r in rows[v]) for i in range(4)] for v in rows}
    for variant, (spent, middle, late, most) in middles.items():
        print(f"  {variant:6s} {spent:8.0f} {middle:8.1f} {late:8.1f} {most:8.0f}")
    ratios = [b / a for a, b in zip(middles["plain"], middles["TLS"], strict=True)]
    print("  ratio  " + " ".join(f"{r:8.2f}" for r in ratios))
    for field in fields.values():
        await field.close()


def returning(*, admitted: bool) -> tuple[float, float, float]:
    """Handshakes in the busiest second, most load of 100 ms over what the box can do, s until all are in."""
    terms = HandshakeBudget(
        scheduler_count=20,
        initial_capacity_share=0.21,
        warm_up_ms=17_000,
        handshake_share=0.1,
        cores=2,
        full_handshake_ms=0.5,
    )
    if not admitted:
        terms = replace(terms, handshake_share=1e6)
    schedulers = [HandshakeAdmission(terms, seed) for seed in range(20)]
    begun: list[float] = []
    waiting = [[(n, 0.0) for n in range(40)] for _ in schedulers]
    for ms in range(30_000):
        for one, wanting in zip(schedulers, waiting, strict=True):
            go, late = one.pop_due(ms, b"box")
            begun += [ms] * len(go)
            for _ in go:
                one.on_handshake_completed(ms, b"box", good=True)
            wanting += [(n, ms + 250.0) for n in late]  # the module tries again
            for item in [w for w in wanting if w[1] <= ms]:
                answer = one.request(ms, b"box", 0.0, item[0], ms + 1000, resumes=False)
                wanting.remove(item)
                if answer:
                    begun.append(ms)
                    one.on_handshake_completed(ms, b"box", good=True)
                elif answer is None:
                    wanting.append((item[0], ms + 250.0))
    second = max(sum(t <= b < t + 1000 for b in begun) for t in set(begun))
    real = HandshakeBudget(scheduler_count=1, handshake_share=1.0, cores=2)
    load = max(
        sum(t <= b < t + 100 for b in begun)
        * real.full_handshake_ms
        / (HandshakeAdmission(real, 0).handshake_rate(t, 0.0) * 100)
        for t in set(begun)
    )
    return second, load, max(begun) / 1000


async def main() -> None:
    """All of it."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--count", type=int, default=300)
    parser.add_argument("--boxes", type=Path, help=argparse.SUPPRESS)
    said = parser.parse_args()
    if said.boxes:  # the process of the boxes, which says whom to trust
        said.boxes.write_bytes(AUTHORITY.root)
        return await store.boxes(SlowBox)
    print("CPU us of the client's side of a handshake and one answer: the program's layer, the bare library")
    for resume in (False, True):
        ours, bare = list[float](), list[float]()
        for _ in range(5):
            ours.append(handshakes(said.count, resume=resume, layered=True))
            bare.append(handshakes(said.count, resume=resume, layered=False))
        a, b = statistics.median(ours), statistics.median(bare)
        print(f"  {'resumed' if resume else 'full':8s} {a:6.0f} {b:6.0f}, ratio {a / b:.2f}")
    print(f"reconnections that resume: {await resumption(said.count):.1%}")
    with tempfile.TemporaryDirectory() as folder:
        await kept(Path(folder), said.seconds, 3)
    print("a box back cold, 20 schedulers with 40 attempts each (simulated): handshakes in the")
    print("busiest second, most load of 100 ms over what the box can do then, s until all are in")
    for admitted in (True, False):
        second, load, last = returning(admitted=admitted)
        print(f"  {'with' if admitted else 'without'} admission: {second:.0f} {load:.2f} {last:.1f}")


if __name__ == "__main__":
    asyncio.run(main())
