"""Transcripts of releases: state changes of plans, tickets, drains and members, the same in every run."""

from __future__ import annotations

import re
from collections.abc import Mapping, Sequence

from sabledyke.compacted_log.records import Message
from sabledyke.rollout.record_codec import decode
from sabledyke.rollout.records import Drain, Member, MemberState, Plan, Record, Ticket


def transcript(messages: Sequence[Message], names: Mapping[str, str] | None = None) -> str:
    """Return the state changes since the first plan, one per line.

    The transcript omits what differs between runs, or on a busy machine: offsets, tokens, numbers of
    incarnations, requests, heartbeats, changes of the coordinator, tickets that were returned unused, and
    states of members before they are ready again.

    Args:
        messages: All messages of the fleet's topic.
        names: Replacements of members' names, for members whose roles differ between runs.
    """
    writer = _TranscriptWriter()
    for message in messages:
        writer.on_message(message)
    lines = writer.lines
    first = next((i for i, line in enumerate(lines) if line.startswith("plan ")), 0)
    text = "\n".join(filter(None, lines[first:]))
    return re.sub(r"\w+", lambda match: (names or {}).get(match[0], match[0]), text)


class _TranscriptWriter:
    """Collects the lines of a transcript; a line that later messages invalidate is emptied."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        self._latest: dict[str, Record] = {}  # latest record of each key
        self._grant_lines: dict[str, int] = {}  # line number of the latest ticket grant of each member

    def on_message(self, message: Message) -> None:
        record = decode(message)
        previous = self._latest.get(message.key)
        if record is None:
            self._on_removal(previous)
            self._latest.pop(message.key, None)
            return
        self._on_record(record, previous)
        is_not_ready = isinstance(record, Member) and record.state is not MemberState.READY
        if not is_not_ready:
            self._latest[message.key] = record

    def _on_record(self, record: Record, previous: Record | None) -> None:
        match record:
            case Plan():
                self.lines.append(_plan_line(record))
            case Drain():
                self.lines.append(f"{record.name}: {record.phase.value}")
            case Ticket():
                if not record.used:
                    self._grant_lines[record.name] = len(self.lines)
                self.lines.append(_ticket_line(record))
            case Member(state=MemberState.READY):
                if isinstance(previous, Member) and record.incarnation > previous.incarnation:
                    self.lines.append(f"{record.name}: ready in a later life, as version {record.version}")

    def _on_removal(self, previous: Record | None) -> None:
        match previous:
            case Drain():
                self.lines.append(f"{previous.name}: its drain is over")
            case Ticket(used=True):
                self.lines.append(f"ticket of {previous.name}: over")
            case Ticket():  # an unused ticket was granted too late, and is requested again
                self.lines[self._grant_lines[previous.name]] = ""


def _plan_line(plan: Plan) -> str:
    reason = f" ({plan.reason})" if plan.reason else ""
    step = f", step {plan.step}" if plan.retiring_site else ""
    released = ", ".join(plan.released) or "-"
    return f"plan {plan.name}: {plan.stage.value}{reason}{step}, released {released}"


def _ticket_line(ticket: Ticket) -> str:
    state = ticket.settings_result or ("is used" if ticket.used else "is granted")
    purpose = f"take on {ticket.target}" if ticket.settings else f"come back as {ticket.target or 'it is'}"
    return f"ticket of {ticket.name}, to {purpose}: {state}"
