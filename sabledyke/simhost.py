"""Hosts many schedulers on the simulator's wire: standard input to standard output."""

from __future__ import annotations

import sys
from typing import BinaryIO

from sabledyke import wire
from sabledyke.policy.events import Event
from sabledyke.policy.scheduler import Scheduler


def _exactly(stream: BinaryIO, n: int) -> bytes:
    """Up to n bytes; fewer only where the input ends."""
    parts = []
    while n > 0:
        part = stream.read(n)
        if not part:
            break
        parts.append(part)
        n -= len(part)
    return b"".join(parts)


def read_frame(stream: BinaryIO) -> bytes | None:
    """The next whole frame, or None where input ends between frames."""
    head = _exactly(stream, 4)
    if not head:
        return None
    if len(head) < 4:
        raise wire.WireError("input ended inside a frame's length")
    size = int.from_bytes(head, "big")
    if not wire.HEADER.size <= size <= wire._MAX_FRAME:
        raise wire.WireError(f"impossible frame length {size}")
    body = _exactly(stream, size - 4)
    if len(body) < size - 4:
        raise wire.WireError(f"input ended inside a frame of {size} bytes")
    return head + body


class Host:
    """Keeps one Scheduler per live instance."""

    def __init__(self) -> None:
        self._decoder = wire.Decoder()
        self._live: dict[int, Scheduler] = {}

    def answer(self, frame: bytes) -> bytes:
        """The reply to one batch."""
        now, items = self._decoder.batch(frame)
        pending: dict[int, list[Event]] = {}
        faults: dict[int, str] = {}
        for who, item in items:
            if isinstance(item, wire.Started):
                try:
                    settings = wire.read_settings(item.settings)
                except ValueError as fault:
                    raise wire.WireError(str(fault)) from None
                pending[who] = []
                try:
                    self._live[who] = Scheduler(settings, item.seed)
                except Exception as fault:
                    faults[who] = f"{type(fault).__name__}: {fault}"
            elif isinstance(item, wire.Stopped):
                self._live.pop(who, None)
                pending.pop(who, None)
                faults.pop(who, None)
            elif who in self._live:
                pending.setdefault(who, []).append(item)
        out = []
        for who, events in pending.items():
            out.append(wire.encode_instance(who))
            try:
                if who not in faults:
                    out.extend(map(wire.encode, self._live[who].handle(now, events)))
            except Exception as fault:
                faults[who] = f"{type(fault).__name__}: {fault}"
            if who in faults:
                out.append(wire.encode_bug(faults[who]))
        return wire.reply(b"".join(out))


def main() -> int:
    """Serve batches until input ends."""
    host = Host()
    try:
        while (frame := read_frame(sys.stdin.buffer)) is not None:
            sys.stdout.buffer.write(host.answer(frame))
            sys.stdout.buffer.flush()
    except wire.WireError as fault:
        print(f"sabledyke: {fault}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
