"""Open requests and attempts, as the recording transport holds them. Times are Unix milliseconds."""

from __future__ import annotations

from dataclasses import dataclass

from sabledyke.application.extensions import AnswerCallback
from sabledyke.core import Answer, ClientRequest
from sabledyke.policy.nodes import NodeId, node_name
from sabledyke.store.types import JournalEntry, idempotency_token


@dataclass(slots=True, frozen=True)
class WaitingAttempt:
    """An attempt that waits for its intent.

    Attributes:
        node: The node to send the attempt to.
        request: The request.
        name: The name under which the write is recorded.
        requested_at_ms: Time at which the core started the attempt.
        deadline_ms: Time at which the attempt expires.
    """

    node: NodeId
    request: ClientRequest
    name: str
    requested_at_ms: float
    deadline_ms: float


@dataclass(slots=True, frozen=True)
class SentAttempt:
    """An attempt of a keyed write that was sent.

    Attributes:
        name: The name under which the write is recorded.
        waited_ms: Time that the attempt waited for its intent.
    """

    name: str
    waited_ms: float


@dataclass(slots=True, frozen=True)
class OpenWrite:
    """An open write, held for its journal entry and for the detection of drift.

    Attributes:
        request: The request.
        name: The name under which the write is recorded; empty if it has no idempotency key.
        began_at_ms: Time at which the write was accepted.
        deadline_ms: Time at which a served answer fails if its entry is not durable.
        digest: SHA-256 of the written data, in hex.
    """

    request: ClientRequest
    name: str
    began_at_ms: float
    deadline_ms: float
    digest: str

    @property
    def piece(self) -> tuple[int, int]:
        """Volume and data key of the written piece."""
        return self.request.volume, self.request.data_key

    def journal_entry(self, completed_at_ms: float, class_name: str, outcome: str) -> JournalEntry:
        """Return the entry for the receipt journal.

        Args:
            completed_at_ms: Time of the final answer.
            class_name: The name of the request class.
            outcome: The outcome, as ``JournalEntry`` defines it.
        """
        request = self.request
        sent_to = request.last_node
        return JournalEntry(
            completed_at_ms=int(completed_at_ms),
            began_at_ms=int(self.began_at_ms),
            class_name=class_name,
            volume=f"{request.volume:016x}",
            key=idempotency_token(request),
            piece=f"{request.data_key:016x}",
            shard=sent_to.shard if sent_to else request.shard,
            node=node_name(sent_to.node_id) if sent_to else "",
            units=request.units,
            digest=self.digest,
            outcome=outcome,
        )


@dataclass(slots=True, frozen=True)
class ServedAnswer:
    """A served answer that waits for its journal entry, and the callback that receives it."""

    done: AnswerCallback
    answer: Answer
