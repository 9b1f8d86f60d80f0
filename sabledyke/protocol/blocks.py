"""What NVMe commands mean here: commands of hosts as Work, Work as commands to boxes, and the answers."""

from __future__ import annotations

import hashlib
import re
import secrets
from dataclasses import dataclass

from sabledyke.core import Answer, AnswerStatus, AttemptResult, ClientRequest
from sabledyke.errors import SabledykeError
from sabledyke.policy.events import Outcome
from sabledyke.policy.settings import Settings
from sabledyke.protocol.nvme import (
    BLOCK,
    MAX_DATA,
    Command,
    Completion,
    Namespace,
    Op,
    Status,
    Subsystem,
    retry_delay,
    transfer,
)

RETRY = 100.0  # ms of delay that a refused command is told where the module gave no advice
_PREFIX = 4  # bytes before an HTTP object in its blocks: its length + 1, 0 where none was written


class NotHere(SabledykeError):
    """The work has no place on a box that speaks NVMe; the text says why."""

    code, remedy = "nvme-volume", "correct nvme.volume in the operator's file"


@dataclass(slots=True, frozen=True)
class Volume:
    """A volume as a namespace, and how its commands are scheduled; one row of the operator's file."""

    namespace: int
    volume: int
    plan: int
    read_class: int
    write_class: int
    blocks: int
    stripe: tuple[int, ...]  # shards that hold its data in turn ...
    stripe_blocks: int  # ... for so many blocks each
    hosts: float
    unit_bytes: int
    read_deadline: float
    write_deadline: float
    object_blocks: int  # room of a piece of data that an HTTP client writes


class Translator:
    """Between the core and both sides of NVMe, under an operator's file."""

    def __init__(self, settings: Settings, nqn: str, volumes: tuple[Volume, ...]) -> None:
        self.settings = settings
        self._spaces = {v.namespace: v for v in volumes}
        self._volumes = {v.volume: v for v in volumes}
        spaces = {v.namespace: Namespace(v.blocks, v.stripe_blocks) for v in volumes}
        self.subsystem = Subsystem(nqn, spaces)

    def work(self, command: Command, data: bytes) -> ClientRequest:
        """A host's read or write, which the connection has checked against its namespace."""
        v, write = self._spaces[command.nsid], command.opcode == Op.WRITE
        size = command.blocks * BLOCK
        token = (f"{command.cdw2:016x}" if command.cdw2 else secrets.token_hex(8)) if write else ""
        return ClientRequest(
            class_index=v.write_class if write else v.read_class,
            plan_index=v.plan,
            volume=v.volume,
            data_key=command.slba,
            units=max(1.0, min(self.settings.max_units, -(-size // v.unit_bytes))),
            shard=v.stripe[command.slba // v.stripe_blocks % len(v.stripe)],
            scheduler_count=v.hosts,
            remaining_ms=v.write_deadline if write else v.read_deadline,
            repeated=False,
            write=write,
            client_request_id=secrets.token_hex(8),
            idempotency_key=token,
            body=data,
            read_size_bytes=0 if write else size,
        )

    def completion(self, command: Command, answer: Answer) -> tuple[Completion, bytes]:
        """The final answer as a host reads it: refused work may be tried again, failed work may not."""
        if answer.status is AnswerStatus.REJECTED:
            delay = retry_delay(answer.retry_after_ms or RETRY)
            return Completion(command.cid, Status.NOT_READY, crd=delay), b""
        body = answer.body if command.opcode == Op.READ else b""
        whole = command.opcode != Op.READ or len(body) == command.blocks * BLOCK
        if answer.status is AnswerStatus.FAILED or not whole:  # also a box that gave less than was asked for
            return Completion(command.cid, Status.INTERNAL, dnr=True), b""
        return Completion(command.cid, Status.OK), body

    def to_box(self, work: ClientRequest) -> tuple[Command, bytes]:
        """Work as a command and its data; NotHere where it has no place."""
        v = self._volumes.get(work.volume)
        if v is None:
            raise NotHere(f"volume {work.volume:016x} has no namespace")
        key = _key64(work.idempotency_key)
        if not work.target:
            if work.write:
                return transfer(Op.WRITE, v.namespace, work.data_key, len(work.body), key), work.body
            return transfer(Op.READ, v.namespace, work.data_key, work.read_size_bytes), b""
        # An HTTP client's piece of data: as many blocks as its volume gives one, at the place of its number.
        slba, room = work.data_key * v.object_blocks, v.object_blocks * BLOCK
        if slba + v.object_blocks > v.blocks:
            raise NotHere(f"piece {work.data_key:x} is past the end of its namespace")
        if not work.write:
            return transfer(Op.READ, v.namespace, slba, room), b""
        if len(work.body) + _PREFIX > room:
            raise NotHere(f"{len(work.body)} bytes do not fit a piece of {room}")
        data = (len(work.body) + 1).to_bytes(_PREFIX, "big") + work.body
        data = data.ljust(-(-len(data) // BLOCK) * BLOCK, b"\0")
        return transfer(Op.WRITE, v.namespace, slba, len(data), key), data

    def from_box(self, work: ClientRequest, done: Completion, data: bytes) -> AttemptResult:
        """A box's completion as the outcome of an attempt."""
        if done.status == Status.NOT_READY and not done.dnr:
            return AttemptResult(Outcome.REJECTED, False)
        if done.status != Status.OK:
            return AttemptResult(Outcome.ERROR, True)
        if work.write or not work.target:
            return AttemptResult(Outcome.OK, True, data)
        size = int.from_bytes(data[:_PREFIX], "big") - 1
        if not 0 <= size <= len(data) - _PREFIX:
            return AttemptResult(Outcome.ERROR, True)
        return AttemptResult(Outcome.OK, True, data[_PREFIX : _PREFIX + size])


def _key64(token: str) -> int:
    """An idempotency key as the 64 bits that a write command has for it; 0 for none."""
    if not token:
        return 0
    if re.fullmatch("[0-9a-f]{16}", token):
        return int(token, 16)
    return int.from_bytes(hashlib.sha256(token.encode()).digest()[:8], "big")


__all__ = ["MAX_DATA", "NotHere", "Translator", "Volume"]
