"""What the recording transport remembers of requests and attempts that are under way. Times are Unix ms."""

from __future__ import annotations

from dataclasses import dataclass

from sabledyke.application.extensions import AnswerCallback
from sabledyke.core import Answer, ClientRequest
from sabledyke.policy.nodes import NodeId, node_name
from sabledyke.store.types import JournalEntry, idempotency_token


@dataclass(slots=True, frozen=True)
class WaitingAttempt:
    """An attempt that waits for its intent."""

    node: NodeId
    request: ClientRequest
    name: str
    requested_at_ms: float
    deadline_ms: float


@dataclass(slots=True, frozen=True)
class SentAttempt:
    """An attempt of a keyed write that was sent."""

    name: str
    waited_ms: float


@dataclass(slots=True, frozen=True)
class OpenWrite:
    """A write that is open, for its journal entry and for drift."""

    request: ClientRequest
    name: str  # empty where it has no key
    began_at_ms: float
    deadline_ms: float
    digest: str

    @property
    def piece(self) -> tuple[int, int]:
        """Volume and data key of what it writes."""
        return self.request.volume, self.request.data_key

    def journal_entry(self, completed_at_ms: float, class_name: str, outcome: str) -> JournalEntry:
        """Return the entry for the receipt journal.

        Args:
            completed_at_ms: When the write had its final answer.
            class_name: The name of its request class.
            outcome: What its client was answered; see ``JournalEntry``.
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
    """An answer that waits for its journal entry."""

    done: AnswerCallback
    answer: Answer
