"""Runs the schedulers of a simulation, over the simulator's wire format on standard input and output."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from typing import BinaryIO

from sabledyke import wire, wire_replies
from sabledyke.policy.events import Event
from sabledyke.policy.scheduler import Scheduler

LENGTH_BYTES = 4


def main() -> int:
    """Reply to frames until the input ends.

    Returns:
        The exit code: 0, or 2 if the input violates the wire format.
    """
    host = SchedulerHost()
    try:
        for frame in iter(lambda: read_frame(sys.stdin.buffer), None):
            sys.stdout.buffer.write(host.reply_to(frame))
            sys.stdout.buffer.flush()
    except wire.WireError as error:
        print(f"sabledyke: {error}", file=sys.stderr)
        return 2
    return 0


class SchedulerHost:
    """Runs one Scheduler for each live instance."""

    def __init__(self) -> None:
        self._decoder = wire.Decoder()
        self._schedulers: dict[int, Scheduler] = {}

    def reply_to(self, frame: bytes) -> bytes:
        """Return the reply to one frame; each instance handles its events of the frame as one batch.

        Raises:
            WireError: The frame or the settings in it are invalid.
        """
        now_ms, events = self._decoder.decode(frame)
        batches: dict[int, list[Event]] = {}
        bugs: dict[int, str] = {}
        for instance, event in events:
            match event:
                case wire.Started():
                    batches[instance] = []
                    self._start(instance, event, bugs)
                case wire.Stopped():
                    self._schedulers.pop(instance, None)
                    batches.pop(instance, None)
                    bugs.pop(instance, None)
                case _ if instance in self._schedulers:
                    batches.setdefault(instance, []).append(event)
        records: list[bytes] = []
        for instance, batch in batches.items():
            records.append(wire_replies.encode_instance(instance))
            records += self._handle(instance, now_ms, batch, bugs.get(instance))
        return wire_replies.encode_reply(b"".join(records))

    def _start(self, instance: int, event: wire.Started, bugs: dict[int, str]) -> None:
        try:
            settings = wire.read_settings(event.settings)
        except ValueError as error:
            raise wire.WireError(str(error)) from None
        try:
            self._schedulers[instance] = Scheduler(settings, event.seed)
        except Exception as error:
            bugs[instance] = _describe_bug(error)

    def _handle(self, instance: int, now_ms: float, batch: list[Event], bug: str | None) -> Iterator[bytes]:
        """Yield the records of an instance's actions, followed by the record of its bug if there is one."""
        if bug is None:
            try:
                for action in self._schedulers[instance].handle(now_ms, batch):
                    yield wire_replies.encode(action)
            except Exception as error:
                bug = _describe_bug(error)
        if bug is not None:
            yield wire_replies.encode_bug(bug)


def read_frame(stream: BinaryIO) -> bytes | None:
    """Return the next complete frame, or None if the input ends between frames.

    Raises:
        WireError: The input ends inside a frame, or the frame's length is out of range.
    """
    head = _read_up_to(stream, LENGTH_BYTES)
    if not head:
        return None
    if len(head) < LENGTH_BYTES:
        raise wire.WireError("input ended inside a frame's length")
    size = int.from_bytes(head, "big")
    if not wire.HEADER.size <= size <= wire.MAX_FRAME_BYTES:
        raise wire.WireError(f"impossible frame length {size}")
    body = _read_up_to(stream, size - LENGTH_BYTES)
    if len(body) < size - LENGTH_BYTES:
        raise wire.WireError(f"input ended inside a frame of {size} bytes")
    return head + body


def _read_up_to(stream: BinaryIO, size: int) -> bytes:
    """Read ``size`` bytes, or fewer if the input ends first."""
    chunks = []
    remaining = size
    while remaining > 0:
        chunk = stream.read(remaining)
        if not chunk:
            break
        chunks.append(chunk)
        remaining -= len(chunk)
    return b"".join(chunks)


def _describe_bug(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"


if __name__ == "__main__":
    sys.exit(main())
