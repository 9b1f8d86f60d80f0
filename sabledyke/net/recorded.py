"""A transport that has keyed writes recorded before they are sent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from sabledyke import interface as api
from sabledyke import store
from sabledyke.core import Ended, Transport, Work
from sabledyke.interface import Outcome
from sabledyke.net import clock
from sabledyke.net.pool import Report


class Recorded:
    """Before another transport; reports what that one reports."""

    def __init__(
        self, record: store.Store, entry: Callable[[api.NodeId], api.NodeEntry], report: Report
    ) -> None:
        self._record, self._entry, self._report = record, entry, report
        self.inner: Transport
        self._waiting: set[tuple[int, int]] = set()  # attempts that are not on disk yet
        self._out: dict[tuple[int, int], str] = {}  # attempts of keyed writes, by what they are recorded as

    def start(self, rid: int, number: int, node: api.NodeId, work: Work, timeout: float) -> None:
        """See ``core.Transport``."""
        name = store.name(work)
        if not name:
            self.inner.start(rid, number, node, work, timeout)
            return
        loop, now, entry = asyncio.get_running_loop(), clock.now(), self._entry(node)
        self._out[rid, number] = name
        self._waiting.add((rid, number))

        def go(safe: bool) -> None:
            if (rid, number) not in self._waiting:
                return  # cancelled meanwhile
            self._waiting.discard((rid, number))
            left = timeout - (clock.now() - now)
            if safe and left > 0:
                self.inner.start(rid, number, node, work, left)
            else:
                self.ended(rid, number, Ended(Outcome.MOOT, False))

        sent = store.Sent(now, entry.shard, entry.zone)
        self._record.sending(name, sent, lambda safe: _soon(loop, go, safe))

    def cancel(self, rid: int, number: int) -> None:
        """See ``core.Transport``."""
        if (rid, number) in self._waiting:
            self._waiting.discard((rid, number))
            self.ended(rid, number, Ended(Outcome.CANCELLED, False))
        else:
            self.inner.cancel(rid, number)

    def close_idle(self, node: api.NodeId) -> None:
        """See ``core.Transport``."""
        self.inner.close_idle(node)

    def ended(self, rid: int, number: int, ended: Ended) -> None:
        """What the other transport reports; the outcome of a write is recorded on the way."""
        name = self._out.pop((rid, number), None)
        if name is not None:
            if ended.may_have_run:
                self._record.ended(name, "served" if ended.outcome is Outcome.OK else "unknown")
            elif name not in self._out.values():
                self._record.ended(name, "never")
        self._report(rid, number, ended)


def _soon(loop: asyncio.AbstractEventLoop, go: Callable[[bool], None], safe: bool) -> None:
    """Back to the event loop from the store's thread; the loop may have ended."""
    if not loop.is_closed():
        loop.call_soon_threadsafe(go, safe)
