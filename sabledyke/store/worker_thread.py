"""A thread that runs blocking calls in order and delays neither the event loop nor the program's exit."""

from __future__ import annotations

import asyncio
import contextlib
import threading
from collections.abc import Callable
from queue import SimpleQueue
from typing import Any, TypeVar

ResultT = TypeVar("ResultT")


class WorkerThread:
    """Runs calls in order in a daemon thread, which unlike an executor's does not delay the exit."""

    def __init__(self, name: str) -> None:
        self._calls: SimpleQueue[tuple[Callable[[], Any], asyncio.Future[Any]] | None] = SimpleQueue()
        self._loop = asyncio.get_running_loop()
        threading.Thread(target=self._run, name=name, daemon=True).start()

    async def call(self, function: Callable[[], ResultT]) -> ResultT:
        """Run a function in the thread; return its result or raise its exception.

        Cancelling the wait does not cancel the call: the function still runs.
        """
        future: asyncio.Future[ResultT] = self._loop.create_future()
        self._calls.put((function, future))
        return await future

    def end(self, last: Callable[[], None]) -> None:
        """End the thread after one last call, without waiting for it."""
        self._calls.put((last, self._loop.create_future()))
        self._calls.put(None)

    def _run(self) -> None:
        while (call := self._calls.get()) is not None:
            function, future = call
            value: Any = None
            error: BaseException | None = None
            try:
                value = function()
            except BaseException as raised:  # raised again in the task that waits for the call
                error = raised
            with contextlib.suppress(RuntimeError):  # the loop may be closed by now
                self._loop.call_soon_threadsafe(_settle, future, value, error)


def _settle(future: asyncio.Future[Any], value: Any, error: BaseException | None) -> None:
    if future.done():
        return
    if error is None:
        future.set_result(value)
    else:
        future.set_exception(error)
        future.exception()  # marks the exception as retrieved, because the waiting task may have ended
