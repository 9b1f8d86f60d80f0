"""Sends the answers of one HTTP client connection: a whole one at once, a long one while it arrives."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from sabledyke import log
from sabledyke.core import BodyStream
from sabledyke.errors import AnswerBrokenError
from sabledyke.net import streams
from sabledyke.net.memory_budget import MemoryBudget, MemoryUse
from sabledyke.protocol.http import HttpMessage, encode_chunk, encode_streamed_head

LATE_ANSWER_S = 0.4  # time after a client's deadline by which a short answer must have ended
SHORT_ANSWER_BYTES = 16 * 1024  # size up to which an answer without a length counts as short meanwhile


def _ignore_sent(_last: bool) -> None:
    return


def _ignore() -> None:
    return


class AnswerWriter:
    """Sends one answer after another on a stream.

    Args:
        stream: The connection's byte stream.
        memory_budget: Budget that answers count against while they are sent.
        on_progress: Called when an answer, or a part of a long one, begins to be sent.
        on_sent: Called once an answer is sent, or its write has failed, with whether it was the last one.
        on_broken: Called when a long answer ends within its body: the connection has to be closed.

    Attributes:
        busy: True while an answer is being sent.
        awaits_node: True while the next part of a long answer has not arrived from its node.
        last_answer_begun: True once an answer was begun after which the connection ends.
    """

    def __init__(
        self,
        stream: streams.Stream,
        memory_budget: MemoryBudget,
        on_progress: Callable[[], None],
        on_sent: Callable[[bool], None],
        on_broken: Callable[[], None],
    ) -> None:
        self.busy = False
        self.awaits_node = False
        self.last_answer_begun = False
        self._stream = stream
        self._memory_budget = memory_budget
        self._on_progress = on_progress
        self._on_sent = on_sent
        self._on_broken = on_broken
        self._body: BodyStream | None = None  # the long answer that is being passed on
        self._streaming: asyncio.Task[None] | None = None  # passes it on

    @property
    def passes_on(self) -> bool:
        """True while a long answer is passed on."""
        return self._body is not None

    def close(self) -> None:
        """Stop a long answer and call back no more, as the connection is closed."""
        self._on_sent = _ignore_sent  # the callbacks refer to the connection, which refers to this writer
        self._on_progress = self._on_broken = _ignore
        if self._body is not None:
            self._body.close()

    def write(self, data: bytes, *, last: bool) -> None:
        """Send a whole answer.

        Args:
            data: The answer.
            last: Whether the connection ends after it.
        """
        self._begin(last=last)
        use = MemoryUse(self._memory_budget)
        use.set(len(data))
        written = asyncio.ensure_future(self._stream.write(data))

        def on_written(_: object) -> None:
            use.set(0)
            self._finish(last=last)

        written.add_done_callback(on_written)

    def pass_on(self, body: BodyStream, request: HttpMessage, deadline_s: float, *, last: bool) -> None:
        """Pass a long answer on while it arrives, at the speed at which the client reads it.

        Args:
            body: The body of the answer.
            request: The request that it answers.
            deadline_s: Event loop time until which the client waits for the answer to begin.
            last: Whether the connection ends after it, also if its length is known.
        """
        chunked = body.length_bytes is None and not request.http_1_0
        last = last or (body.length_bytes is None and not chunked)
        self._begin(last=last)
        self._body = body
        self._streaming = asyncio.get_running_loop().create_task(
            self._pass_on(body, deadline_s, chunked=chunked, last=last)
        )

    async def _pass_on(self, body: BodyStream, deadline_s: float, *, chunked: bool, last: bool) -> None:
        """Send the head and the parts of a long answer.

        Guards against completing an answer that its node broke off: the connection ends within the body, by
        a reset, as the end of the connection may otherwise be the end of the body.
        """
        try:
            await self._send_body(body, deadline_s, chunked=chunked, close=last)
        except AnswerBrokenError as error:
            log.emit("box", str(error))
            streams.reset_on_close(self._stream)
            self._on_broken()
            return
        except streams.StreamClosedError:
            self._on_broken()
            return
        finally:
            body.close()
            self._body = None
        self._finish(last=last)

    async def _send_body(self, body: BodyStream, deadline_s: float, *, chunked: bool, close: bool) -> None:
        use = MemoryUse(self._memory_budget)
        sent_bytes = 0
        try:
            await self._stream.write(encode_streamed_head(body.length_bytes, chunked=chunked, close=close))
            while fragment := await self._await_fragment(body, deadline_s, sent_bytes):
                sent_bytes += len(fragment)
                self._on_progress()
                use.set(len(fragment))
                await self._stream.write(encode_chunk(fragment) if chunked else fragment)
            if chunked:
                await self._stream.write(encode_chunk(b""))
        finally:
            use.set(0)

    async def _await_fragment(self, body: BodyStream, deadline_s: float, sent_bytes: int) -> bytes:
        self.awaits_node = True
        try:
            return await self._next_fragment(body, deadline_s, sent_bytes)
        finally:
            self.awaits_node = False

    async def _next_fragment(self, body: BodyStream, deadline_s: float, sent_bytes: int) -> bytes:
        """Return the next part of a long answer, and empty bytes at its end.

        Guards against an answer without a stated length that is short and never ends, as its node hangs: its
        client would get no end until long after its deadline.

        Raises:
            AnswerBrokenError: The node broke off its answer, or gave nothing for too long.
        """
        if body.length_bytes is not None or sent_bytes > SHORT_ANSWER_BYTES:
            return await body.read()
        try:
            async with asyncio.timeout_at(deadline_s + LATE_ANSWER_S):
                return await body.read()
        except TimeoutError:
            raise AnswerBrokenError(
                f"an answer was broken off: its node stopped after {sent_bytes} bytes"
            ) from None

    def _begin(self, *, last: bool) -> None:
        self.busy = True
        self.last_answer_begun = self.last_answer_begun or last
        self._on_progress()

    def _finish(self, *, last: bool) -> None:
        self.busy = False
        self._on_sent(last)
