"""Client connections that speak NVMe over TCP: queues of hosts, each with many commands in flight."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from math import inf

from sabledyke import log
from sabledyke.core import Answer, AnswerStatus
from sabledyke.net import streams
from sabledyke.net.client_connection import REQUEST_TIMEOUT_S, ClientConnection, Submit
from sabledyke.net.frontend import Frontend
from sabledyke.protocol.nvme import Command, Completion, NvmeError, Status, Target
from sabledyke.protocol.nvme.blocks import Translator

ERROR_WRITE_TIMEOUT_S = 1.0  # time for a host to read the error that closes its queue


class NvmeClientConnection(ClientConnection):
    """One queue of a host.

    Args:
        frontend: The front end that owns the connection.
        stream: The connection's byte stream.
        translator: Translates commands to requests, and answers to completions.
        submit: Passes a request to the core, and returns its id.
        report_disconnect: Reports that the client of a request has disconnected.
    """

    def __init__(
        self,
        frontend: Frontend,
        stream: streams.Stream,
        translator: Translator,
        submit: Submit,
        report_disconnect: Callable[[int], None],
    ) -> None:
        super().__init__(stream)
        self.target = Target(translator.subsystem)
        self._frontend = frontend
        self._translator = translator
        self._submit = submit
        self._report_disconnect = report_disconnect
        self._request_ids: dict[int, int] = {}  # ids of the requests in flight, by command id
        self._flush_count = 0  # number of writes in flight
        self._keep_alive_timer: asyncio.TimerHandle | None = None

    @property
    def idle(self) -> bool:
        """True if no command is being received or answered."""
        return not self.busy and self.target.idle

    @property
    def busy(self) -> bool:
        """True if a request is in flight or output is being written."""
        return bool(self._request_ids or self._flush_count)

    def timeout_s(self, _idle_timeout_s: float) -> float:
        """Return the time-out of the current state; an idle queue has only its keep-alive time-out."""
        if self._flush_count:
            return self._frontend.write_timeout_s
        return REQUEST_TIMEOUT_S if self.never_requested or self.target.has_partial_input else inf

    def on_client_disconnected(self) -> None:
        """Cancel the queue's requests; for an admin queue, also close the controller's other queues."""
        controller = self.target.controller
        queue = self.target.queue_id
        self.target.close()
        request_ids = list(self._request_ids.values())
        self._request_ids = {}
        for request_id in request_ids:
            self._report_disconnect(request_id)
        if self._keep_alive_timer is not None:
            self._keep_alive_timer.cancel()
        if controller is not None and queue == 0:
            for other in list(self._frontend.clients):
                if isinstance(other, NvmeClientConnection) and other.target.controller is controller:
                    other.close()

    async def serve(self) -> None:
        """Process commands until the host closes or violates the protocol."""
        try:
            while True:
                self._process(await self.receive())
                await self._flush()  # guards against reading from a host that does not read
        except streams.StreamClosedError:
            self.close()
        except NvmeError as error:
            log.emit("front", f"an NVMe host violated the protocol: {error}")
            if not self.stream.closed():
                await self._flush_error()
            self.close()

    def _process(self, data: bytes) -> None:
        self._frontend.mark_used(self)
        pdus_before = self.target.pdus_received
        for command, payload in self.target.feed(data):
            self._accept_command(command, payload)
        self._restart_keep_alive()
        if not self.never_requested and self.target.pdus_received != pdus_before:
            self.last_activity_s = asyncio.get_running_loop().time()
        self.never_requested = self.never_requested and self.target.controller is None

    def _accept_command(self, command: Command, payload: bytes) -> None:
        def on_answer(answer: Answer) -> None:
            if self._request_ids.pop(command.command_id, None) is not None and not self.stream.closed():
                self.target.complete(*self._translator.to_completion(command, answer))
                asyncio.get_running_loop().create_task(self._flush_or_close())

        if self._frontend.rejects_requests:  # guards against a constantly busy host delaying the shutdown
            self.target.complete(*self._translator.to_completion(command, Answer(AnswerStatus.REJECTED)))
            return
        request = self._translator.to_client_request(command, payload)
        if not streams.may_access_volume(self.stream, request.volume):
            self.target.complete(Completion(command.command_id, Status.ACCESS_DENIED, do_not_retry=True), b"")
            return
        request.client_connected = lambda: not streams.peer_closed(self.stream)
        self._request_ids[command.command_id] = self._submit(request, on_answer)

    def _restart_keep_alive(self) -> None:
        """Restart the timer that closes the queue if the host sends nothing for its keep-alive time."""
        if self._keep_alive_timer is not None:
            self._keep_alive_timer.cancel()
        if self.target.keep_alive_ms:
            timeout_s = self.target.keep_alive_ms / 1000
            loop = asyncio.get_running_loop()
            self._keep_alive_timer = loop.call_later(timeout_s, self._on_keep_alive_timeout)

    def _on_keep_alive_timeout(self) -> None:
        log.emit("front", "an NVMe host sent nothing within its keep-alive time")
        self.close()

    async def _flush(self) -> None:
        if not self.target.output:
            return
        data = bytes(self.target.output)
        self.target.output = bytearray()
        self._flush_count += 1
        self.last_activity_s = asyncio.get_running_loop().time()
        try:
            await self.stream.write(data)
        finally:
            self._flush_count -= 1

    async def _flush_or_close(self) -> None:
        try:
            await self._flush()
        except streams.StreamClosedError:
            self.close()

    async def _flush_error(self) -> None:
        """Send the error that closes the queue."""
        try:
            async with asyncio.timeout(ERROR_WRITE_TIMEOUT_S):
                await self._flush()
        except (streams.StreamClosedError, TimeoutError):
            return
