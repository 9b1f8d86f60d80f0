"""Drives one lease: carries out what ``holder`` says, and lends the token to the duty for each of its steps.

It decides nothing. The clock goes on while the machine sleeps (``CLOCK_BOOTTIME``) and while the process
stands still; an instance of the laboratory may be given one that is off and runs fast or slow.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import replace
from random import Random

from sabledyke import log
from sabledyke.errors import LeaseLostError as LeaseLostError
from sabledyke.lease import holder
from sabledyke.lease.holder import News, Phase, State
from sabledyke.lease.types import Authority, AuthorityError, Times

Clock = Callable[[], float]
LONGEST = 0.25  # seconds between two looks at the clock: its rate may differ from the loop's


def boottime() -> float:
    """Milliseconds since the machine started, those asleep included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000


def skewed(offset: float, rate: float) -> Clock:
    """A clock that is off by so many ms, and runs at so many times the true rate."""
    return lambda: boottime() * rate + offset


class Keeper:
    """One instance's hold on one lease."""

    def __init__(
        self, duty: str, me: str, authority: Authority, times: Times, seed: int, clock: Clock = boottime
    ) -> None:
        self.duty, self.me, self.times = duty, me, replace(times, counts=authority.counts)
        self._authority, self._clock, self._random = authority, clock, Random(seed)
        self.state = State(me)
        self._changed = asyncio.Event()
        self._asks: set[asyncio.Task[None]] = set()
        self.held = asyncio.Event()  # set while it may act, as far as was noticed

    def token(self) -> int:
        """The token to act under, now; Lost where it may not act. To be called before every step."""
        if not holder.may_act(self.state, self._clock()):
            raise LeaseLostError(f"the lease {self.duty} is not held")
        return self.state.token

    def notice(self) -> None:
        """A step found that it may not act: have the clock looked at now, and ``held`` with it."""
        self.held.clear()
        self._changed.set()

    def fenced(self, token: int) -> None:
        """A resource refused this token for an older one."""
        self._do(holder.fenced(self.state, self.times, self._clock(), token))
        self._changed.set()

    async def run(self) -> None:
        """Until ``stop``."""
        while self.state.phase is not Phase.ENDED:
            self._changed.clear()
            now = self._clock()
            self._do(holder.tick(self.state, self.times, now, self._random.random()))
            wait = min(LONGEST, max(0.0, holder.alarm(self.state, self.times) - now) / 1000)
            try:
                async with asyncio.timeout(wait):
                    await self._changed.wait()
            except TimeoutError:
                pass

    async def stop(self) -> None:
        """Stop acting at once, give up what is held, and wait for that as long as one ask may take."""
        self._do(holder.stop(self.state, self._clock()))
        self._changed.set()
        if self._asks:
            await asyncio.wait(self._asks)

    def _do(self, step: holder.Step) -> None:
        self.state, sends, news = step
        for what in news:
            self._tell(what)
        for send in sends:
            task = asyncio.get_running_loop().create_task(self._ask(send))
            self._asks.add(task)
            task.add_done_callback(self._asks.discard)

    async def _ask(self, send: holder.Send) -> None:
        try:
            async with asyncio.timeout(self.times.renew / 1000):
                reply = await self._authority.ask(self.duty, self.me, send.ask)
            draw, now = self._random.random(), self._clock()
            self._do(holder.answered(self.state, self.times, now, send.number, reply, draw))
        except (AuthorityError, TimeoutError) as fault:
            log.emit("lease", f"{self.duty}: the authority did not answer: {fault or 'in time'}")
            self._do(holder.failed(self.state, self.times, self._clock(), send.number, self._random.random()))
        self._changed.set()

    def _tell(self, news: News) -> None:
        if self.state.acting:
            self.held.set()
        else:
            self.held.clear()
        if news is not News.RENEWED:  # too often for a log; a status shows it
            text, token = f"{self.duty}: {news.value}, token {self.state.token}", self.state.token
            log.emit("lease", text, what=news.value, duty=self.duty, token=token, holder=self.me)
