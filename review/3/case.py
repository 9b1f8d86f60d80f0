"""A drain by the operators closes the queues of NVMe hosts under commands that were taken."""

from __future__ import annotations

import contextlib
import socket
import struct
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
    free_port,
    play,
    response,
    settings,
)

VOLUME = "00000003b4d60021"
SUBSYSTEM = "nqn.2026-12.example:magazzino-lodi"
HOST = "nqn.2026-12.example:casse"
BLOCK_BYTES = 512
HOSTS = 3
COMMANDS = 4  # writes of each host that are in flight at the drain
WORK_S = 0.4
DRAIN_AFTER_S = 0.2
DEADLINE_S = 6.0

IC_REQ, IC_RESP, COMMAND, RESPONSE = 0, 1, 4, 5
FABRICS, WRITE, SET_FEATURES = 0x7F, 0x01, 0x09
PROPERTY_SET, CONNECT, PROPERTY_GET = 0, 1, 4


class Box(Service):
    """A storage node with HTTP; each write takes ``WORK_S``."""

    def __init__(self, record: Record, name: str) -> None:
        self._record = record
        self.name = name
        self.run_count = 0
        self._lock = threading.Lock()
        super().__init__()

    def serve(self, sock: socket.socket) -> None:
        """Run the requests of a connection."""
        reader = HttpReader(sock)
        while True:
            first_line, headers, _ = reader.message()
            with self._lock:
                self.run_count += 1
            key = headers.get("idempotency-key", "")
            self._record(self.name, f"runs {first_line} key {key}")
            time.sleep(WORK_S)
            sock.sendall(response(200, b""))
            self._record(self.name, f"has answered the write with key {key}")


def exactly(sock: socket.socket, count: int) -> bytes:
    """Receive exactly so many bytes."""
    data = b""
    while len(data) < count:
        part = sock.recv(count - len(data))
        if not part:
            raise EOFError
        data += part
    return data


def pdu(kind: int, header: bytes, data: bytes = b"") -> bytes:
    """Return a PDU of NVMe/TCP."""
    size = {IC_REQ: 128, COMMAND: 72}[kind]
    start = struct.pack("<BBBBI", kind, 0, size, size if data else 0, size + len(data))
    return (start + header).ljust(size, b"\0") + data


def command(
    opcode: int, number: int, nsid: int, key: int, words: tuple[int, ...], data: bytes = b""
) -> bytes:
    """Return a command capsule with its data inside."""
    kind = 1 if data else 0x5A
    entry = struct.pack("<BBHIQQQI3xB", opcode, 0x40, number, nsid, key, 0, 0, len(data), kind)
    return pdu(COMMAND, entry + struct.pack(f"<{len(words)}I", *words), data)


def completion(sock: socket.socket) -> tuple[int, int, int]:
    """Receive a response; return its command, status and result."""
    kind, _, _, _, size = struct.unpack("<BBBBI", exactly(sock, 8))
    body = exactly(sock, size - 8)
    if kind != RESPONSE:
        raise CannotRunError(f"a PDU of type {kind} came in place of a response")
    result, _, _, number, status = struct.unpack("<QHHHH", body[:16])
    return number, status >> 1, result


class NvmeHost:
    """A host with an admin queue and one I/O queue."""

    def __init__(self, record: Record, port: int, name: str) -> None:
        self._record = record
        self._name = name
        self._port = port
        self.answered: dict[int, float] = {}
        self.sent: dict[int, float] = {}
        self.closed = False
        self._admin, result = self._queue(0, 0xFFFF)
        self._on_admin(FABRICS, PROPERTY_SET, (0, 0x14, 0x460001))
        if not self._on_admin(FABRICS, PROPERTY_GET, (0, 0x1C)) & 1:
            raise CannotRunError("the controller is not ready")
        self._on_admin(SET_FEATURES, 0, (7, 0))
        self._io, _ = self._queue(1, result & 0xFFFF)
        self._reader = threading.Thread(target=self._read, daemon=True)
        self._reader.start()

    def write(self, number: int, block: int, key: int) -> None:
        """Send a write of one block."""
        self.sent[number] = time.monotonic()
        self._record(self._name, f"sends write {number} of block {block}, key {key:016x}")
        self._io.sendall(command(WRITE, number, 1, key, (block, 0, 0), bytes([number]) * BLOCK_BYTES))

    def wait(self, deadline: float) -> None:
        """Wait until all writes are answered, the queue is closed, or a time has come."""
        while time.monotonic() < deadline and not self.closed and len(self.answered) < len(self.sent):
            time.sleep(0.01)

    def _read(self) -> None:
        with contextlib.suppress(OSError, EOFError):
            while True:
                number, status, _ = completion(self._io)
                self.answered[number] = time.monotonic()
                self._record(self._name, f"write {number} is completed with status {status:#x}")
        missing = len(self.sent) - len(self.answered)
        self._record(self._name, f"the I/O queue was closed, {missing} writes have no completion")
        self.closed = True

    def _on_admin(self, opcode: int, nsid: int, words: tuple[int, ...]) -> int:
        self._admin.sendall(command(opcode, 9, nsid, 0, words))
        _, status, result = completion(self._admin)
        if status:
            raise CannotRunError(f"status {status:#x} on the admin queue")
        return result

    def _queue(self, number: int, controller: int) -> tuple[socket.socket, int]:
        sock = socket.create_connection(("127.0.0.1", self._port), timeout=30)
        sock.sendall(pdu(IC_REQ, b""))
        if exactly(sock, 128)[0] != IC_RESP:
            raise CannotRunError("no ICResp")
        data = bytearray(1024)
        data[0:16] = self._name.encode().ljust(16, b"\0")[:16]
        data[16:18] = controller.to_bytes(2, "little")
        data[256 : 256 + len(SUBSYSTEM)] = SUBSYSTEM.encode()
        data[512 : 512 + len(HOST)] = HOST.encode()
        sock.sendall(command(FABRICS, 1, CONNECT, 0, (number << 16, 31), bytes(data)))
        _, status, result = completion(sock)
        if status:
            raise CannotRunError(f"status {status:#x} for Connect of queue {number}")
        return sock, result


def operator_file(folder: Path, port: int) -> Path:
    """Write the operator's file: the NVMe front, and a volume as a namespace."""
    path = folder / "operator.toml"
    lines = [
        "[nvme]",
        f'listen = "127.0.0.1:{port}"',
        f'nqn = "{SUBSYSTEM}"',
        "connections = 32",
        "[[nvme.volume]]",
        "namespace = 1",
        f'volume = "{VOLUME}"',
        'grade = "cassa-prima"',
        'read_class = "lettura"',
        'write_class = "scontrino"',
        "blocks = 2097152",
        "stripe = [0]",
        "stripe_blocks = 128",
        "hosts = 1",
        "unit_bytes = 8192",
        "read_deadline_ms = 5000",
        f"write_deadline_ms = {DEADLINE_S * 1000:.0f}",
    ]
    path.write_text("\n".join([*lines, ""]), encoding="utf-8")
    return path


def case(record: Record, folder: Path, schedulers: list[Scheduler]) -> bool:
    """Play the case; return whether each write that was taken was completed."""
    discovery = Discovery(record)
    box = Box(record, "s-00000000")
    discovery.add(box.name, box.port, 0)
    port = free_port()
    operator = operator_file(folder, port)
    scheduler = Scheduler(record, folder, settings(), discovery, arguments=f"serve --operator {operator}")
    schedulers.append(scheduler)
    scheduler.start()
    hosts = [NvmeHost(record, port, f"host{number}") for number in range(1, HOSTS + 1)]
    for index, host in enumerate(hosts):
        for number in range(1, COMMANDS + 1):
            host.write(number, 8 * (index * COMMANDS + number), 0xABC000 + 16 * index + number)
    time.sleep(DRAIN_AFTER_S)
    if TROUBLE:
        scheduler.console("POST /admin/quiesce")
    deadline = time.monotonic() + DEADLINE_S
    for host in hosts:
        host.wait(deadline)
    lost = sum(len(host.sent) - len(host.answered) for host in hosts)
    time.sleep(2 * WORK_S)
    sent = sum(len(host.sent) for host in hosts)
    record("case", f"{sent} writes sent, {lost} never answered, {box.run_count} begun at the node")
    if not box.run_count:
        raise CannotRunError("no write reached the node")
    return not lost


if __name__ == "__main__":
    play(Path(__file__).resolve().parent, case)
