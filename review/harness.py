"""Stand-ins and helpers of the review's cases: platform, discovery, storage nodes and clients.

Only the standard library is used, and every address is a loopback address. Stand-ins run as threads of the
case's own process; schedulers run as separate processes, by the ``run`` command of the deploy file.
"""

from __future__ import annotations

import contextlib
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
READY_WAIT_S = 20.0
LONGEST_RUN_S = 110.0


class CannotRunError(Exception):
    """The case could not be played; it says nothing about the rule."""


class Record:
    """The file ``record.txt`` of a case: what was sent, answered and run, one line each."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._start = time.monotonic()

    def __call__(self, who: str, text: str) -> None:
        """Write one line with the milliseconds since the start."""
        with self._lock:
            self._file.write(f"{(time.monotonic() - self._start) * 1000:10.1f} {who:<10} {text}\n")
            self._file.flush()


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment: two classes, three plans, discovery that is asked."""
    plain: dict[str, Any] = {
        "az": 0,
        "ceilings": {
            "cancel": True,
            "conn_idle": 15000.0,
            "connect_timeout": 250.0,
            "max_retry_after": 500.0,
            "max_streams": 1,
            "open_cap": 33333,
            "peers": False,
            "probes": False,
            "retry_after": True,
            "second_copies": True,
            "try_limit": 4,
        },
        "clients": {"marks_retry": True},
        "discovery": "on_request",
        "family": "stores",
        "family_info": {
            "changes_data": [False, True],
            "fair_worth": 0.35,
            "meter_period": 500.0,
            "n_shards": 5,
            "says_others": True,
            "spare_worth": 0.05,
            "units_top": 8,
            "usual_units": 2.14,
            "young_limit": 20.0,
        },
        "grades": [
            grade("base", 2.6, 0.78, 1.0, 0.8),
            grade("standard", 3.9, 3.9, 3.0, 1.0),
            grade("cassa-prima", 6.4, 6.4, 3.0, 1.8),
        ],
        "invariants": {
            "answer_slack": 8.0,
            "ask_every": 10000.0,
            "cold_share": 0.21,
            "fall": 2000.0,
            "stop_sending_within": 2000.0,
            "tip_multiple": 2.0,
            "warm_up": 17000.0,
        },
        "kinds": ["box-grande", "box-piccolo"],
        "layer": 0,
        "me": 0,
        "period": 2.0,
        "profiles": [lettura(), scontrino()],
        "siblings": 1,
        "telemetry": {"fields": ["concurrent", "mean_ms"], "how": "answers"},
        "tiers": ["casse-store"],
        "weights": "none",
        "zones": ["sala-a", "sala-b", "sala-c"],
    }
    return plain | changes


def grade(name: str, rate: float, floor: float, share: float, worth: float) -> dict[str, Any]:
    """Return a plan without a limit."""
    return {
        "ceiling_rate": 0.0,
        "floor_rate": floor,
        "limit_burst": 0.0,
        "name": name,
        "proportion": share,
        "slack": 0.0,
        "usual_rate": rate,
        "worth_factor": worth,
    }


def lettura(name: str = "lettura") -> dict[str, Any]:
    """Return the class of reads, which may be repeated."""
    return {
        "aim": 750.0,
        "credit": 2.0,
        "group": "all",
        "hard_limit": 5000.0,
        "late_worth": 0.1,
        "name": name,
        "semantics": "idempotent",
        "stream": False,
        "window": 5000.0,
    }


def scontrino() -> dict[str, Any]:
    """Return the class of keyed writes; the nodes of one cell drop a repeat for 6 s."""
    return {
        "aim": 1000.0,
        "credit": 3.0,
        "group": "cell",
        "hard_limit": 6000.0,
        "late_worth": 0.1,
        "name": "scontrino",
        "semantics": "deduplicated",
        "stream": False,
        "window": 6000.0,
    }


def free_port() -> int:
    """Return a port of 127.0.0.1 that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class Service:
    """A TCP server on a free loopback port that serves each connection in a thread."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.port = int(self._listener.getsockname()[1])
        self._open: set[socket.socket] = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def serve(self, sock: socket.socket) -> None:
        """Serve a connection until it ends; subclasses implement this."""
        raise NotImplementedError

    def stop(self) -> None:
        """Reset all connections and refuse new ones, as a process that dies."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for sock in list(self._open):
            reset(sock)

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._open.add(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        try:
            with contextlib.suppress(OSError, EOFError):
                self.serve(sock)
        finally:
            self._open.discard(sock)
            sock.close()


class HttpReader:
    """Reads HTTP messages from a socket."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._data = b""

    def message(self) -> tuple[str, dict[str, str], bytes]:
        """Return the first line, the headers and the body of the next message.

        Raises:
            EOFError: The connection ended in good order before the message was complete.
        """
        head = self._until(b"\r\n\r\n").decode("latin-1")
        first_line, *lines = head.split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        size = int(headers.get("content-length", "0"))
        while len(self._data) < size:
            self._more()
        body, self._data = self._data[:size], self._data[size:]
        return first_line, headers, body

    def _until(self, end: bytes) -> bytes:
        while end not in self._data:
            self._more()
        head, _, self._data = self._data.partition(end)
        return head

    def _more(self) -> None:
        data = self._sock.recv(65536)
        if not data:
            raise EOFError
        self._data += data


def response(status: int, body: bytes = b"", *headers: str) -> bytes:
    """Return an HTTP response with a length."""
    lines = [f"HTTP/1.1 {status} Said", f"Content-Length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def reset(sock: socket.socket) -> None:
    """Reset a connection, as that of a process that has died."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.shutdown(socket.SHUT_RD)  # wakes a thread that reads
    sock.close()


class Discovery(Service):
    """Discovery: the whole list, or a watch that waits for something newer."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._changed = threading.Condition()
        self._seq = 41
        self.hosts: list[dict[str, Any]] = []
        super().__init__()

    def add(self, host: str, port: int, block: int, site: str = "sala-a") -> None:
        """List a storage node that has been up for long."""
        entry = {"host": host, "dial": f"127.0.0.1:{port}", "site": site, "class": "box-grande"}
        entry |= {"block": block, "health": "ready", "share": 1.0, "born_ms": 0}
        with self._changed:
            self.hosts.append(entry)
            self._seq += 1
            self._changed.notify_all()

    def whole(self) -> dict[str, Any]:
        """Return the whole list in discovery's form."""
        return {"seq": self._seq, "whole": True, "hosts": self.hosts}

    def serve(self, sock: socket.socket) -> None:
        """Answer calls for the list."""
        reader = HttpReader(sock)
        while True:
            first_line, _, _ = reader.message()
            query = first_line.split()[1].partition("?")[2]
            pairs = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
            with self._changed:
                if "since" in pairs:
                    since = int(pairs["since"])
                    wait_s = min(60_000, int(pairs.get("timeout_ms", "0"))) / 1000
                    self._changed.wait_for(lambda since=since: self._seq > since, wait_s)
                    if self._seq <= since:
                        body = {"seq": self._seq, "whole": False, "hosts": []}
                    else:
                        body = self.whole()
                else:
                    body = self.whole()
                text = json.dumps(body).encode()
            sock.sendall(response(200, text))


class Scheduler:
    """One scheduler process, started by the deploy file's ``run`` with arguments added."""

    def __init__(
        self,
        record: Record,
        folder: Path,
        plan: dict[str, Any],
        discovery: Discovery,
        *,
        name: str = "n0",
        arguments: str = "",
        limits: dict[str, Any] | None = None,
        listen_port: int = 0,
        console_port: int = 0,
    ) -> None:
        self._record = record
        self.name = name
        self.port = listen_port or free_port()
        self.console_port = console_port or free_port()
        self._arguments = arguments
        self._folder = folder / name
        self._folder.mkdir(exist_ok=True)
        self.config_path = self._folder / "config.json"
        self._limits = limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        self._discovery = discovery
        self.process: subprocess.Popen[bytes] | None = None
        self._lives = 0
        self.write_config(plan)

    def write_config(self, plan: dict[str, Any]) -> None:
        """Replace the configuration file, whole."""
        config = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self._discovery.port}",
            "console": f"127.0.0.1:{self.console_port}",
            "seed": f"{0x8C1F30D27A5BE964 + self._lives_so_far():x}",
            "limits": self._limits,
            "known": self._discovery.whole(),
            "settings": plan,
        }
        new = self.config_path.with_suffix(".new")
        new.write_text(json.dumps(config), encoding="utf-8")
        new.replace(self.config_path)

    def _lives_so_far(self) -> int:
        return getattr(self, "_lives", 0)

    def start(self) -> None:
        """Start the process and wait until it takes clients."""
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            run = tomllib.load(file)["run"]
        self._lives += 1
        scratch = self._folder / f"tmp{self._lives}"
        scratch.mkdir()
        environ = {key: value for key, value in os.environ.items() if not key.startswith("GW_")}
        environ |= {
            "GW_NAME": self.name,
            "GW_LISTEN": f"127.0.0.1:{self.port}",
            "GW_DISCOVERY": f"127.0.0.1:{self._discovery.port}",
            "GW_CONFIG": str(self.config_path),
            "TMPDIR": str(scratch),
        }
        log = (self._folder / f"life{self._lives}.log").open("wb")
        command = ["/bin/sh", "-c", f"{run} {self._arguments}".strip()]
        self.process = subprocess.Popen(command, cwd=ROOT, env=environ, stdout=log, stderr=log)
        self._record("platform", f"starts {self.name}, life {self._lives}, as process {self.process.pid}")
        deadline = time.monotonic() + READY_WAIT_S
        while time.monotonic() < deadline:
            if self.process.poll() is not None:
                raise CannotRunError(f"{self.name} ended at its start: {self.log_text()}")
            with contextlib.suppress(OSError, EOFError):
                if ask(self.port, "GET /_health")[0] == 200:
                    self._record("platform", f"{self.name} is ready")
                    return
            time.sleep(0.05)
        raise CannotRunError(f"{self.name} was not ready in time: {self.log_text()}")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self._record("platform", f"sends {number.name} to {self.name}")
        self.process.send_signal(number)

    def console(self, call: str) -> tuple[int, str]:
        """Make one call to the operators' address; return its status and body."""
        status, body = ask(self.console_port, call)
        self._record("operator", f"{call} at {self.name}: {status}")
        return status, body.decode()

    def log_text(self) -> str:
        """Return what the present life has logged."""
        return (self._folder / f"life{self._lives}.log").read_text(errors="replace")[-4000:]

    def end(self) -> None:
        """End the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def ask(port: int, call: str, timeout_s: float = 5.0) -> tuple[int, bytes]:
    """Make one call without a body on a connection of its own; return its status and body."""
    with socket.create_connection(("127.0.0.1", port), timeout=timeout_s) as sock:
        length = "" if call.startswith("GET") else "Content-Length: 0\r\n"
        sock.sendall(f"{call} HTTP/1.1\r\nHost: x\r\n{length}\r\n".encode())
        first_line, _, body = HttpReader(sock).message()
        return int(first_line.split()[1]), body


def play(folder: Path, case: Callable[[Record, Path, list[Scheduler]], bool]) -> None:
    """Play a case and end the process with its verdict.

    Args:
        folder: The case's folder.
        case: Plays the case with a record, a temporary folder and the list of schedulers to end; returns
            whether the rule held.
    """
    record = Record(folder)
    record("case", f"TROUBLE={int(TROUBLE)}")
    scratch = Path(tempfile.mkdtemp(prefix="sabledyke-review-"))
    schedulers: list[Scheduler] = []
    verdict = NOT_RUN

    def give_up(*_: object) -> None:
        record("case", "verdict 2: the case was ended before its verdict")
        for scheduler in schedulers:
            scheduler.end()
        shutil.rmtree(scratch, ignore_errors=True)
        os._exit(NOT_RUN)

    signal.signal(signal.SIGTERM, give_up)
    signal.signal(signal.SIGINT, give_up)
    watchdog = threading.Timer(LONGEST_RUN_S, give_up)
    watchdog.daemon = True
    watchdog.start()
    try:
        verdict = HELD if case(record, scratch, schedulers) else BROKEN
    except CannotRunError as error:
        record("case", f"cannot run: {error}")
    except Exception as error:  # a fault of the case itself is no verdict on the rule
        record("case", f"cannot run: {type(error).__name__}: {error}")
    finally:
        for scheduler in schedulers:
            scheduler.end()
        shutil.rmtree(scratch, ignore_errors=True)
    words = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case could not run"}
    record("case", f"verdict {verdict}: {words[verdict]}")
    print(words[verdict], flush=True)
    os._exit(verdict)  # threads of stand-ins may still wait
