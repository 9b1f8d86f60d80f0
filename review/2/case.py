"""A configuration file that lacks a key is taken, and a keyed write then runs at two storage nodes."""

from __future__ import annotations

import copy
import signal
import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (  # noqa: E402
    TROUBLE,
    CannotRunError,
    Discovery,
    HttpReader,
    Record,
    Scheduler,
    Service,
    play,
    response,
    settings,
)

QUIET_S = 1.5  # no SIGHUP comes within the first second
BINDING_S = 1.5  # new settings bind from 1.2 s after SIGHUP
BOXES = 5  # one of them dies: 20%, where up to 22% die at once
WRITES = 10
WORK_S = 0.15  # a write's mean work is 97 to 150 ms
DIES_AT_WRITES = 8  # one node dies when so many writes have run and are not answered
LONGEST_WAIT_S = 5.0
DEADLINE_S = 6.0
DEDUPLICATION_S = 6.0


class Box(Service):
    """A storage node that drops repeats of a key for 6 s, and may die.

    A write takes effect when its last byte has come, and is answered after its work.
    """

    def __init__(self, record: Record, name: str, runs: dict[str, list[str]]) -> None:
        self._record = record
        self.name = name
        self.working = 0
        self._dead = False
        self._runs = runs
        self._kept: dict[str, float] = {}
        self._lock = threading.Lock()
        super().__init__()

    def serve(self, sock: socket.socket) -> None:
        """Run the requests of a connection."""
        reader = HttpReader(sock)
        while True:
            first_line, headers, _ = reader.message()
            key = headers.get("idempotency-key", "")
            request = headers.get("req-id", "")
            now = time.monotonic()
            with self._lock:
                if self._dead:
                    return
                repeat = key in self._kept and now - self._kept[key] < DEDUPLICATION_S
                if not repeat:
                    self._kept[key] = now
                    self._runs.setdefault(key, []).append(self.name)
                self.working += 1
                did = "drops the repeat of" if repeat else "runs"
                self._record(self.name, f"{did} {first_line} Req-Id {request} key {key}")
            time.sleep(WORK_S)
            with self._lock:
                self.working -= 1
            sock.sendall(response(200, f"{request} done".encode()))

    def die(self) -> None:
        """Die as a process does: connections are reset, and new ones are refused."""
        with self._lock:
            self._dead = True
            self._record(self.name, f"dies with {self.working} writes that have run and are not answered")
        self.stop()


def put(record: Record, port: int, number: int) -> None:
    """Write one new object."""
    request, key = f"{number:016x}", f"{number + 0xABC000:016x}"
    body = b"receipt"
    lines = [
        f"PUT /api/00000003b4d60021/{number:016x} HTTP/1.1",
        "Host: service.internal",
        f"Req-Id: {request}",
        "Req-Kind: scontrino",
        "Tier: cassa-prima",
        f"Req-Deadline: {DEADLINE_S:.3f}",
        f"Idempotency-Key: {key}",
        "IO-Info: units=1,shard=-1,hosts=1",
        f"Content-Length: {len(body)}",
        "",
        "",
    ]
    with socket.create_connection(("127.0.0.1", port), timeout=DEADLINE_S + 1) as sock:
        sock.sendall("\r\n".join(lines).encode() + body)
        try:
            status = int(HttpReader(sock).message()[0].split()[1])
        except (OSError, EOFError):
            status = 0
    record("client", f"scontrino {request} key {key}: answered {status}")


def case(record: Record, folder: Path, schedulers: list[Scheduler]) -> bool:
    """Play the case; return whether each write ran in one cell only."""
    runs: dict[str, list[str]] = {}
    discovery = Discovery(record)
    boxes = [Box(record, f"s-0000000{block}", runs) for block in range(BOXES)]
    for block, box in enumerate(boxes):
        discovery.add(box.name, box.port, block)
    plan = settings()
    scheduler = Scheduler(record, folder, plan, discovery)
    schedulers.append(scheduler)
    scheduler.start()
    time.sleep(QUIET_S)
    if TROUBLE:
        short = copy.deepcopy(plan)
        del short["profiles"][1]["group"]
        scheduler.write_config(short)
        record("platform", "replaces the configuration by one that lacks profiles[1].group")
        scheduler.signal(signal.SIGHUP)
        time.sleep(BINDING_S)
        _, figures = scheduler.console("GET /admin/stats")
        taken = [line for line in figures.splitlines() if "reload" in line]
        record("platform", f"figures: {' '.join(taken)}")
    clients = [
        threading.Thread(target=put, args=(record, scheduler.port, number)) for number in range(1, WRITES + 1)
    ]
    for client in clients:
        client.start()
    deadline = time.monotonic() + LONGEST_WAIT_S
    while sum(box.working for box in boxes) < DIES_AT_WRITES and time.monotonic() < deadline:
        time.sleep(0.001)
    busiest = max(boxes, key=lambda box: box.working)
    if not busiest.working:
        raise CannotRunError("no write was at a storage node")
    busiest.die()
    for client in clients:
        client.join()
    twice = {key: cells for key, cells in runs.items() if len(set(cells)) > 1}
    for key, cells in twice.items():
        record("case", f"key {key} ran in {len(set(cells))} cells: {' '.join(cells)}")
    return not twice


if __name__ == "__main__":
    play(Path(__file__).resolve().parent, case)
