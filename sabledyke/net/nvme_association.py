"""Associations of NVMe hosts: the queues of one controller, which a host uses, and loses, together.

A host whose admin queue closes loses all I/O queues of its controller, and a host that loses an I/O queue
resets its controller. The program therefore ends an association as a whole, and only while none of its queues
has a command in flight.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from sabledyke.protocol.nvme import Controller

ANSWER_POLL_INTERVAL_S = 0.02  # interval between checks whether all commands are answered
DRAIN_ACCEPT_S = 1.0  # time in a drain for which a constantly busy host's new commands are accepted


class AssociatedQueue(Protocol):
    """One queue of an association, as the connection that carries it reports its own state."""

    @property
    def has_commands(self) -> bool:
        """True if a command of the queue is in flight."""

    @property
    def queue_busy(self) -> bool:
        """True if a command of the queue is in flight, or output is not yet written to the last byte."""

    @property
    def queue_idle(self) -> bool:
        """True if no command of the queue is being received or answered."""

    @property
    def queue_has_unread_input(self) -> bool:
        """True if bytes, or the end of the stream, have arrived that are not processed."""

    @property
    def has_unprocessed_input(self) -> bool:
        """True if bytes were read that are not processed."""

    def mark_used(self) -> None:
        """Move the queue's connection to the most recently used position."""

    def stop_reading(self) -> None:
        """Stop reading; commands that were read are still answered."""

    def finish_sending(self) -> None:
        """Close the connection after its last answer, which a reset must not discard."""

    def close(self) -> None:
        """Close the connection, and cancel its commands."""


class Association:
    """The queues of one host's controller.

    Attributes:
        began_at_s: Event loop time at which the host connected its admin queue.
        last_received_s: Event loop time at which a queue last received bytes.
        ending: True once the association ends after the commands in flight: further ones are rejected.
        queues: The connected queues, in the order in which they joined.
    """

    def __init__(self, now_s: float) -> None:
        self.began_at_s = now_s
        self.last_received_s = now_s
        self.ending = False
        self.queues: dict[AssociatedQueue, None] = {}

    @property
    def has_commands(self) -> bool:
        """True if a command is in flight on any queue."""
        return any(queue.has_commands for queue in self.queues)

    @property
    def busy(self) -> bool:
        """True if a command is in flight, or output is not yet written, on any queue."""
        return any(queue.queue_busy for queue in self.queues)

    @property
    def idle(self) -> bool:
        """True if no command is being received or answered on any queue."""
        return all(queue.queue_idle for queue in self.queues)

    @property
    def has_unread_input(self) -> bool:
        """True if bytes, or the end of the stream, have arrived on any queue that are not processed."""
        return any(queue.queue_has_unread_input for queue in self.queues)

    def accepts_commands(self, now_s: float, drained_at_s: float | None) -> bool:
        """Return whether a new command is accepted.

        Args:
            now_s: The event loop's time.
            drained_at_s: Time at which a drain began; None without a drain.
        """
        if self.ending or drained_at_s is None:
            return not self.ending
        return now_s <= max(drained_at_s, self.began_at_s) + DRAIN_ACCEPT_S

    def others_busy(self, queue: AssociatedQueue) -> bool:
        """Return whether any queue but this one has a command in flight or writes output."""
        return any(other.queue_busy for other in self.queues if other is not queue)

    async def end(self) -> None:
        """Reject new commands, wait for those in flight, and close all queues after their last answers.

        Guards against a host that sends without pause, for which no moment without unread input comes:
        commands that arrive after the last one in flight is answered stay unread.
        """
        self.ending = True
        while self.has_commands:
            await asyncio.sleep(ANSWER_POLL_INTERVAL_S)
        for queue in self.queues:
            queue.stop_reading()
        while any(queue.queue_busy or queue.has_unprocessed_input for queue in self.queues):
            await asyncio.sleep(ANSWER_POLL_INTERVAL_S)
        for queue in reversed(list(self.queues)):  # the admin queue last, as it closes the others
            queue.finish_sending()

    def close(self) -> None:
        """Close all queues."""
        for queue in list(self.queues):
            queue.close()


class Associations:
    """The associations of all connected hosts, by the id of their controller."""

    def __init__(self) -> None:
        self._by_controller_id: dict[int, Association] = {}

    def join(self, controller: Controller, queue: AssociatedQueue, now_s: float) -> Association:
        """Add a queue to the association of its controller, which begins with its first queue."""
        association = self._by_controller_id.setdefault(controller.controller_id, Association(now_s))
        association.queues[queue] = None
        return association

    def leave(self, controller: Controller, queue: AssociatedQueue) -> None:
        """Remove a queue; the association is removed with its last queue."""
        association = self._by_controller_id.get(controller.controller_id)
        if association is None or queue not in association.queues:
            return
        del association.queues[queue]
        if not association.queues:
            del self._by_controller_id[controller.controller_id]
