"""Translation between NVMe commands and scheduled requests, for hosts and for storage nodes.

A host's command becomes a ``ClientRequest``, and the final answer becomes the command's completion. A
``ClientRequest`` becomes a command to a storage node, and its completion becomes the outcome of an attempt.
A piece of data of an HTTP client is stored in blocks, after a prefix that holds its length.
"""

from __future__ import annotations

import hashlib
import re
import secrets
from dataclasses import dataclass

from sabledyke.core import Answer, AnswerStatus, AttemptResult, ClientRequest
from sabledyke.errors import SabledykeError
from sabledyke.policy.events import Outcome
from sabledyke.policy.settings import Settings
from sabledyke.protocol.nvme.commands import (
    Command,
    Completion,
    IoOpcode,
    Response,
    Submission,
    transfer_command,
)
from sabledyke.protocol.nvme.limits import BLOCK_BYTES
from sabledyke.protocol.nvme.status import Status, retry_delay_index
from sabledyke.protocol.nvme.subsystem import Namespace, Subsystem

DEFAULT_RETRY_DELAY_MS = 100.0
"""Retry delay of a rejected command if the policy gives no advice."""

_LENGTH_PREFIX_BYTES = 4  # holds the length of the data + 1; 0 if nothing was written
_KEY_DIGITS = re.compile("[0-9a-f]{16}")


class UnmappableRequestError(SabledykeError):
    """The request cannot be mapped to blocks of an NVMe storage node."""

    code = "nvme-volume"
    remedy = "correct nvme.volume in the operator's file"


@dataclass(slots=True, frozen=True)
class NvmeVolume:
    """A volume as an NVMe namespace, and the scheduling of its commands; a row of the operator's file.

    Attributes:
        namespace_id: Id of the namespace.
        volume_id: Id of the volume.
        plan_index: Index of its plan in the settings.
        read_class: Index of the request class of its reads.
        write_class: Index of the request class of its writes.
        block_count: Size of the volume in blocks.
        stripe_shards: Shards over which the data is striped, in order.
        stripe_blocks: Blocks of a stripe, which one shard holds.
        host_count: Number of hosts that share the volume.
        unit_bytes: Bytes that count as one unit of a request's cost.
        read_deadline_ms: Deadline of a read, in milliseconds.
        write_deadline_ms: Deadline of a write, in milliseconds.
        object_blocks: Blocks reserved for one piece of data of an HTTP client.
    """

    namespace_id: int
    volume_id: int
    plan_index: int
    read_class: int
    write_class: int
    block_count: int
    stripe_shards: tuple[int, ...]
    stripe_blocks: int
    host_count: float
    unit_bytes: int
    read_deadline_ms: float
    write_deadline_ms: float
    object_blocks: int

    def shard_of(self, block: int) -> int:
        """Return the shard that holds a block."""
        stripe = block // self.stripe_blocks
        return self.stripe_shards[stripe % len(self.stripe_shards)]


class Translator:
    """Translates commands and requests of the volumes in the operator's file, in both directions.

    Attributes:
        settings: The settings in force; the caller replaces them on a reload.
        subsystem: The subsystem that hosts connect to.
    """

    def __init__(self, settings: Settings, nqn: str, volumes: tuple[NvmeVolume, ...]) -> None:
        self.settings = settings
        self.subsystem = Subsystem(
            nqn,
            {volume.namespace_id: Namespace(volume.block_count, volume.stripe_blocks) for volume in volumes},
        )
        self._by_namespace_id = {volume.namespace_id: volume for volume in volumes}
        self._by_volume_id = {volume.volume_id: volume for volume in volumes}

    def to_client_request(self, command: Command, data: bytes) -> ClientRequest:
        """Return the request for a host's read or write, which must be within its namespace."""
        volume = self._by_namespace_id[command.namespace_id]
        write = command.opcode == IoOpcode.WRITE
        size_bytes = command.block_count * BLOCK_BYTES
        units = -(-size_bytes // volume.unit_bytes)
        return ClientRequest(
            class_index=volume.write_class if write else volume.read_class,
            plan_index=volume.plan_index,
            volume=volume.volume_id,
            data_key=command.start_block,
            units=max(1.0, min(self.settings.max_units, units)),
            shard=volume.shard_of(command.start_block),
            scheduler_count=volume.host_count,
            remaining_ms=volume.write_deadline_ms if write else volume.read_deadline_ms,
            repeated=False,
            write=write,
            client_request_id=secrets.token_hex(8),
            idempotency_key=_key_text(command.idempotency_key) if write else "",
            body=data,
            read_size_bytes=0 if write else size_bytes,
        )

    def to_completion(self, command: Command, answer: Answer) -> Response:
        """Return the completion for a final answer; it allows a retry of a rejected request only."""
        if answer.status is AnswerStatus.REJECTED:
            delay_index = retry_delay_index(answer.retry_after_ms or DEFAULT_RETRY_DELAY_MS)
            rejection = Completion(command.command_id, Status.NOT_READY, retry_delay_index=delay_index)
            return Response(rejection, b"")
        is_read = command.opcode == IoOpcode.READ
        # A storage node may return less data than was requested.
        too_short = is_read and len(answer.body) != command.block_count * BLOCK_BYTES
        if answer.status is AnswerStatus.FAILED or too_short:
            return Response(Completion(command.command_id, Status.INTERNAL, do_not_retry=True), b"")
        return Response(Completion(command.command_id, Status.OK), answer.body if is_read else b"")

    def to_node_command(self, request: ClientRequest) -> Submission:
        """Return the command to a storage node for a request.

        Raises:
            UnmappableRequestError: The request cannot be mapped to blocks of the node.
        """
        volume = self._by_volume_id.get(request.volume)
        if volume is None:
            raise UnmappableRequestError(f"volume {request.volume:016x} has no namespace")
        if request.target:
            return _object_command(request, volume)
        if not request.write:
            read = transfer_command(
                IoOpcode.READ, volume.namespace_id, request.data_key, request.read_size_bytes
            )
            return Submission(read, b"")
        return _write_submission(volume.namespace_id, request.data_key, request.body, request.idempotency_key)

    def from_node_completion(
        self, request: ClientRequest, completion: Completion, data: bytes
    ) -> AttemptResult:
        """Return the outcome of an attempt from a storage node's completion."""
        if completion.status == Status.NOT_READY and not completion.do_not_retry:
            return AttemptResult(Outcome.REJECTED, may_have_run=False)
        if completion.status != Status.OK:
            return AttemptResult(Outcome.ERROR, may_have_run=True)
        if request.write or not request.target:
            return AttemptResult(Outcome.OK, may_have_run=True, body=data)
        body = _object_body(data)
        if body is None:
            return AttemptResult(Outcome.ERROR, may_have_run=True)
        return AttemptResult(Outcome.OK, may_have_run=True, body=body)


def _object_command(request: ClientRequest, volume: NvmeVolume) -> Submission:
    """Return the command for a piece of data of an HTTP client.

    Each piece has ``object_blocks`` blocks of its volume, which start at its key times ``object_blocks``.
    """
    start_block = request.data_key * volume.object_blocks
    capacity_bytes = volume.object_blocks * BLOCK_BYTES
    if start_block + volume.object_blocks > volume.block_count:
        raise UnmappableRequestError(f"data key {request.data_key:x} is past the end of its namespace")
    if not request.write:
        read = transfer_command(IoOpcode.READ, volume.namespace_id, start_block, capacity_bytes)
        return Submission(read, b"")
    if len(request.body) + _LENGTH_PREFIX_BYTES > capacity_bytes:
        raise UnmappableRequestError(
            f"{len(request.body)} bytes exceed the {capacity_bytes} bytes of a data key"
        )
    data = (len(request.body) + 1).to_bytes(_LENGTH_PREFIX_BYTES, "big") + request.body
    block_count = -(-len(data) // BLOCK_BYTES)
    padded = data.ljust(block_count * BLOCK_BYTES, b"\0")
    return _write_submission(volume.namespace_id, start_block, padded, request.idempotency_key)


def _object_body(data: bytes) -> bytes | None:
    """Return the piece of data that is stored in blocks, or None if the length prefix is invalid or 0."""
    size_bytes = int.from_bytes(data[:_LENGTH_PREFIX_BYTES], "big") - 1
    if not 0 <= size_bytes <= len(data) - _LENGTH_PREFIX_BYTES:
        return None
    return data[_LENGTH_PREFIX_BYTES : _LENGTH_PREFIX_BYTES + size_bytes]


def _write_submission(namespace_id: int, start_block: int, data: bytes, key_text: str) -> Submission:
    key = _key_number(key_text)
    return Submission(transfer_command(IoOpcode.WRITE, namespace_id, start_block, len(data), key), data)


def _key_text(idempotency_key: int) -> str:
    """Return the idempotency key of a host's write as text; a write without one gets a random key."""
    return f"{idempotency_key:016x}" if idempotency_key else secrets.token_hex(8)


def _key_number(key_text: str) -> int:
    """Return an idempotency key as the 64-bit number of a write command; 0 stands for none."""
    if not key_text:
        return 0
    if _KEY_DIGITS.fullmatch(key_text):
        return int(key_text, 16)
    return int.from_bytes(hashlib.sha256(key_text.encode()).digest()[:8], "big")
