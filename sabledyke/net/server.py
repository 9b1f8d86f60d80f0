"""Puts the parts together, runs them, and leaves in good order."""

from __future__ import annotations

import asyncio
import gc
import signal

from sabledyke import interface as api
from sabledyke import invariants, log
from sabledyke.config import Config
from sabledyke.core import Core, Ended
from sabledyke.net import clock
from sabledyke.net.front import Door, HttpFront
from sabledyke.net.pool import HttpPool
from sabledyke.net.watch import Watch
from sabledyke.protocol.discovery import Listing

LINGER = 0.6  # seconds after SIGTERM in which clients may still come: PROTOCOL says 0.2 to 0.4
SPARE = 40  # descriptors kept for listening, discovery, the log and what Python opens


class Server:
    """One scheduler."""

    def __init__(self, config: Config) -> None:
        self.config = config
        self._loop = asyncio.get_running_loop()
        self._scheduled = False
        self._timer: asyncio.TimerHandle | None = None
        self._stop = asyncio.Event()
        settings, half = config.settings, (config.sockets - SPARE) // 2
        known = config.known
        self.watch = Watch(config.discovery, settings, known.news.version if known else None, self._listed)
        self.pool = HttpPool(settings, self._ended, half)
        self.core = Core(settings, config.seed, self.pool, self.watch, self._wake)
        self.front = HttpFront(self.core, half)

    async def run(self) -> None:
        """Serve until SIGTERM, then finish what was taken."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self._leave)
        self._listed(self.config.known or Listing(api.NodeList(api.ListKind.CACHED, 0, ()), {}))
        self._turn()
        door = Door(self.config.listen, self.front.accept)
        log.say("start", f"{self.config.name} serves at {self.config.listen[0]}:{door.port}")
        gc.collect()
        gc.freeze()  # guards against long collections of what stays for good
        await self._stop.wait()
        self.front.leaving = True
        await asyncio.sleep(LINGER)
        door.close()
        while self.front.busy:
            self.front.close_idle()
            await asyncio.sleep(0.01)
        self.front.close_idle()
        self.watch.watch(False)
        self.pool.close()
        broken = ", ".join(f"{name}: {n}" for name, n in invariants.broken.items()) or "none"
        log.say("stop", f"{self.config.name} has answered all it took; invariants broken: {broken}")

    def _leave(self) -> None:
        if not self._stop.is_set():
            log.say("stop", f"{self.config.name} was told to end; {self.core.unanswered} requests in work")
            self._stop.set()

    def _listed(self, listing: Listing | None) -> None:
        if listing is None:
            self.core.listed(api.NodeList(api.ListKind.FAILED, 0, ()))
        else:
            self.pool.dial(listing.dials)
            self.core.listed(listing.news)

    def _ended(self, rid: int, number: int, ended: Ended) -> None:
        self.core.ended(clock.now(), rid, number, ended)

    def _wake(self) -> None:
        """Events wait: all that comes in this turn of the loop goes to the module as one batch."""
        if not self._scheduled:
            self._scheduled = True
            self._loop.call_soon(self._turn)

    def _turn(self) -> None:
        self._scheduled = False
        now = clock.now()
        self.core.turn(now)
        if self._timer is not None:
            self._timer.cancel()
        due = self.core.due()
        self._timer = None if due is None else self._loop.call_later(max(0.0, due - now) / 1000, self._turn)
