"""Client connections that speak NVMe over TCP: queues of hosts, each with many commands in flight."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from math import inf

from sabledyke import log
from sabledyke.core import Answer, AnswerStatus
from sabledyke.net import streams
from sabledyke.net.client_connection import REQUEST_TIMEOUT_S, ClientConnection, Submit
from sabledyke.net.close_reason import CloseReason
from sabledyke.net.frontend import Frontend
from sabledyke.net.memory_budget import MemoryUse, request_bytes
from sabledyke.net.nvme_association import ANSWER_POLL_INTERVAL_S, Association, Associations
from sabledyke.protocol.nvme import Command, Completion, NvmeError, Status, Target
from sabledyke.protocol.nvme.admin import ADMIN_QUEUE_ID
from sabledyke.protocol.nvme.blocks import Translator

ERROR_WRITE_TIMEOUT_S = 1.0  # time for a host to read the error that closes its queue


class NvmeClientConnection(ClientConnection):
    """One queue of a host.

    Its state is that of its association: the program closes no queue of a host that has commands in flight on
    another one.

    Args:
        frontend: The front end that owns the connection.
        stream: The connection's byte stream.
        translator: Translates commands to requests, and answers to completions.
        associations: The associations of all hosts.
        submit: Passes a request to the core, and returns its id.
        report_disconnect: Reports that the client of a request has disconnected.
    """

    def __init__(
        self,
        frontend: Frontend,
        stream: streams.Stream,
        translator: Translator,
        associations: Associations,
        submit: Submit,
        report_disconnect: Callable[[int], None],
    ) -> None:
        super().__init__(stream)
        self.target = Target(translator.subsystem)
        self._frontend = frontend
        self._translator = translator
        self._associations = associations
        self._association: Association | None = None  # None before the queue is connected
        self._submit = submit
        self._report_disconnect = report_disconnect
        self._request_ids: dict[int, int] = {}  # ids of the requests in flight, by command id
        self._memory_use = MemoryUse(frontend.memory_budget)
        self._request_bytes: dict[int, int] = {}  # memory of the requests in flight, by command id
        self._flush_count = 0  # number of writes in flight
        self._keep_alive_timer: asyncio.TimerHandle | None = None
        self._reading_stopped = False
        self._ending: asyncio.Task[None] | None = None  # ends the association

    @property
    def has_commands(self) -> bool:
        """True if a command of this queue is in flight."""
        return bool(self._request_ids)

    @property
    def queue_idle(self) -> bool:
        """True if no command of this queue is being received or answered."""
        return not self.queue_busy and self.target.idle

    @property
    def queue_busy(self) -> bool:
        """True if a command of this queue is in flight, or output is not yet written to the last byte."""
        return bool(self._request_ids or self._flush_count or self.target.output)

    @property
    def queue_has_unread_input(self) -> bool:
        """True if bytes, or the end of the stream, have arrived on this queue that are not processed."""
        return super().has_unread_input

    @property
    def idle(self) -> bool:
        """True if no command of the association is being received or answered."""
        return self.queue_idle if self._association is None else self._association.idle

    @property
    def busy(self) -> bool:
        """True if a command of the association is in flight or output is being written."""
        return self.queue_busy if self._association is None else self._association.busy

    @property
    def has_unread_input(self) -> bool:
        """True if bytes, or the end of the stream, have arrived on a queue of the association."""
        if self._association is None:
            return self.queue_has_unread_input
        return self._association.has_unread_input

    @property
    def has_unread_request(self) -> bool:
        """True if bytes, or the end of the stream, have arrived on a queue of the association."""
        return self.has_unread_input

    def timeout_s(self, _idle_timeout_s: float) -> float:
        """Return the time-out of the current state; an idle queue has only its keep-alive time-out.

        Guards against closing an admin queue, and with it the I/O queues, or an I/O queue whose host has
        stopped inside a command, while other commands are in flight: their deadlines limit the wait.
        """
        if self._flush_count and not self._closes_with_commands_of_others():
            return self._frontend.write_timeout_s
        if self.busy:
            return inf
        return REQUEST_TIMEOUT_S if self.never_requested or self.target.has_partial_input else inf

    def close_together(self) -> None:
        """Close all queues of the association."""
        if self._association is None:
            self.close()
        else:
            self._association.close()

    def mark_used(self) -> None:
        """Move the queue's connection to the most recently used position."""
        self._frontend.mark_used(self)

    def stop_reading(self) -> None:
        """Stop reading from the stream; commands that were read are still answered."""
        self._reading_stopped = True
        streams.stop_reading(self.stream)

    def finish_sending(self) -> None:
        """Close the queue after its last answer; the association's other queues are closed separately."""
        if self.target.controller is not None:
            self._associations.leave(self.target.controller, self)
        super().finish_sending()

    def on_client_disconnected(self) -> None:
        """Cancel the queue's requests; for an admin queue, also close the controller's other queues."""
        controller, association = self.target.controller, self._association
        self.target.close()
        request_ids = list(self._request_ids.values())
        self._request_ids = {}
        self._memory_use.set(0)
        for request_id in request_ids:
            self._report_disconnect(request_id)
        if self._keep_alive_timer is not None:
            self._keep_alive_timer.cancel()
        if controller is not None:
            self._associations.leave(controller, self)
        if association is not None and self._is_admin_queue:
            association.close()

    async def serve(self) -> None:
        """Process commands until the host closes or violates the protocol."""
        try:
            while not self._reading_stopped:
                await self._process_fairly(await self.receive())
        except streams.StreamClosedError:
            self.close()
        except NvmeError as error:
            self.set_close_reason(CloseReason.BAD_REQUEST)
            log.emit("front", f"an NVMe host violated the protocol: {error}")
            await self._await_answers()
            if not self.stream.closed():
                self.target.terminate()
                await self._flush_error()
            self.close()

    async def _process_fairly(self, data: bytes) -> None:
        """Process received bytes, in turns with other connections.

        Raises:
            NvmeError: The host violated the protocol.
            StreamClosedError: The connection broke.
        """
        fair_queue = self._frontend.fair_queue
        await self.await_slot(fair_queue.begin())
        self._process(data)
        while self.target.paused:
            await self._flush()
            await self.await_slot(fair_queue.wait())
            self._process(b"")
        await self._flush()  # guards against reading from a host that does not read

    def _process(self, data: bytes) -> None:
        pdus_before = self.target.pdus_received
        try:
            submissions = self.target.feed(data)
        finally:
            self._frontend.fair_queue.count(self.target.pdus_received - pdus_before)
        for command, payload in submissions:
            self._accept_command(command, payload)
        self._count_memory()
        self._frontend.relieve_memory()
        now_s = asyncio.get_running_loop().time()
        if self._association is None and self.target.controller is not None:
            self._association = self._associations.join(self.target.controller, self, now_s)
        self._record_use(now_s)
        if not self.never_requested and self.target.pdus_received != pdus_before:
            self.last_activity_s = now_s
        self.never_requested = self.never_requested and self.target.controller is None
        if self.target.violation is not None:
            raise self.target.violation

    def _record_use(self, now_s: float) -> None:
        """Record a use of the association.

        Guards against evicting a host for its admin queue, which is quiet while the host works.
        """
        if self._association is None:
            self.mark_used()
            return
        self._association.last_received_s = now_s
        for queue in self._association.queues:
            queue.mark_used()
        if self.target.keep_alive_ms and self._keep_alive_timer is None:
            self._schedule_keep_alive(self.target.keep_alive_ms / 1000)

    def _accept_command(self, command: Command, payload: bytes) -> None:
        def on_answer(answer: Answer) -> None:
            if answer.body_stream is not None:  # longer than any command's data
                answer.discard()
                answer = Answer(AnswerStatus.FAILED)
            self._request_bytes.pop(command.command_id, None)
            if self._request_ids.pop(command.command_id, None) is not None and not self.stream.closed():
                self.target.complete(*self._translator.to_completion(command, answer))
                self._count_memory()
                asyncio.get_running_loop().create_task(self._flush_or_close())

        if self._rejects_commands():
            self.target.complete(*self._translator.to_completion(command, Answer(AnswerStatus.REJECTED)))
            asyncio.get_running_loop().create_task(self._flush_or_close())
            return
        request = self._translator.to_client_request(command, payload)
        if not streams.may_access_volume(self.stream, request.volume):
            self.target.complete(Completion(command.command_id, Status.ACCESS_DENIED, do_not_retry=True), b"")
            return
        request.client_connected = lambda: not streams.peer_closed(self.stream)
        self._request_bytes[command.command_id] = request_bytes(payload)
        self._request_ids[command.command_id] = self._submit(request, on_answer)

    def _count_memory(self) -> None:
        if not self.stream.closed():
            self._memory_use.set(self.target.buffered_bytes + sum(self._request_bytes.values()))

    def _rejects_commands(self) -> bool:
        """Return whether new commands are rejected, because the program or the association ends.

        Guards against a constantly busy host that delays a shutdown or a drain.
        """
        if self._frontend.rejects_requests or self._frontend.memory_budget.refuses_requests:
            return True
        if self._association is None:
            return False
        now_s = asyncio.get_running_loop().time()
        return not self._association.accepts_commands(now_s, self._frontend.quiesced_at_s)

    def _closes_with_commands_of_others(self) -> bool:
        """Return whether a close of this queue would close others that have commands in flight."""
        if self._association is None or not self._is_admin_queue:
            return False
        return self._association.others_busy(self)

    @property
    def _is_admin_queue(self) -> bool:
        return self.target.queue_id == ADMIN_QUEUE_ID

    async def _await_answers(self) -> None:
        """Wait until the commands in flight that a close of this queue would cancel are answered.

        The deadlines of the commands limit the wait. It ends at once if the host closes the queue.
        """
        if self._association is not None and self._is_admin_queue:
            self._association.ending = True
        while self._request_ids or self._closes_with_commands_of_others():
            if streams.peer_closed(self.stream):
                return
            await asyncio.sleep(ANSWER_POLL_INTERVAL_S)

    def _schedule_keep_alive(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._keep_alive_timer = loop.call_later(delay_s, self._check_keep_alive)

    def _check_keep_alive(self) -> None:
        """Close the association if the host has sent nothing for its keep-alive time.

        Guards against ending a host that works on its I/O queues, or waits for commands in flight there.
        """
        association, keep_alive_s = self._association, self.target.keep_alive_ms / 1000
        if association is None:
            return
        silent_s = asyncio.get_running_loop().time() - association.last_received_s
        if association.busy or silent_s < keep_alive_s:
            self._schedule_keep_alive(keep_alive_s if association.busy else keep_alive_s - silent_s)
            return
        self.set_close_reason(CloseReason.IDLE)
        log.emit("front", "an NVMe host sent nothing within its keep-alive time")
        self.close()

    async def _flush(self) -> None:
        if not self.target.output:
            return
        data = bytes(self.target.output)
        self.target.output = bytearray()
        self._flush_count += 1
        self.last_activity_s = asyncio.get_running_loop().time()
        sending = MemoryUse(self._frontend.memory_budget)
        sending.set(len(data))
        self._count_memory()
        try:
            await self.stream.write(data)
        finally:
            sending.set(0)
            self._flush_count -= 1

    async def _flush_or_close(self) -> None:
        try:
            await self._flush()
        except streams.StreamClosedError:
            self.close()
            return
        if self._frontend.quiesced:
            self._end_in_drain()

    def _end_in_drain(self) -> None:
        """Close the association if it is idle, and otherwise no later than after its commands in flight."""
        association = self._association
        if self.closable:
            self.close_together()
        elif association is not None and not association.ending and self._rejects_commands():
            self._ending = asyncio.get_running_loop().create_task(association.end())

    async def _flush_error(self) -> None:
        """Send the error that closes the queue."""
        try:
            async with asyncio.timeout(ERROR_WRITE_TIMEOUT_S):
                await self._flush()
        except (streams.StreamClosedError, TimeoutError):
            return
