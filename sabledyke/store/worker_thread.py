"""A thread for blocking calls in order, which holds up neither the event loop nor the program's end."""

from __future__ import annotations

import asyncio
import contextlib
import threading
from collections.abc import Callable
from queue import SimpleQueue
from typing import Any, TypeVar

ResultT = TypeVar("ResultT")


class WorkerThread:
    """Runs calls in order in a daemon thread: unlike an executor's, it is not waited for at the end."""

    def __init__(self, name: str) -> None:
        self._calls: SimpleQueue[tuple[Callable[[], Any], asyncio.Future[Any]] | None] = SimpleQueue()
        self._loop = asyncio.get_running_loop()
        threading.Thread(target=self._run, name=name, daemon=True).start()

    async def call(self, function: Callable[[], ResultT]) -> ResultT:
        """Return what the function returns in the thread, or raise what it raises.

        Cancelling the wait does not cancel the call: the function runs all the same.
        """
        future: asyncio.Future[ResultT] = self._loop.create_future()
        self._calls.put((function, future))
        return await future

    def end(self, last: Callable[[], None]) -> None:
        """End the thread after one last call; nobody waits for it."""
        self._calls.put((last, self._loop.create_future()))
        self._calls.put(None)

    def _run(self) -> None:
        while (call := self._calls.get()) is not None:
            function, future = call
            value: Any = None
            error: BaseException | None = None
            try:
                value = function()
            except BaseException as raised:  # it goes to whoever waits for the call
                error = raised
            with contextlib.suppress(RuntimeError):  # the loop has ended meanwhile
                self._loop.call_soon_threadsafe(_settle, future, value, error)


def _settle(future: asyncio.Future[Any], value: Any, error: BaseException | None) -> None:
    if future.done():
        return
    if error is None:
        future.set_result(value)
    else:
        future.set_exception(error)
        future.exception()  # marks it as retrieved: nobody may be waiting any more
