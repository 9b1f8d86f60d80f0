"""Where shares are set up: this process tells its demands on the board, looks at the others', and marks work.

It decides nothing: ``shares`` does. A member whose clients ask for nothing that is shared out neither writes
nor looks. Each word rests on the one before (a compare-and-set of its own register), so that one whose answer
got lost is never written after a later one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

import orjson

from sabledyke import invariants, log
from sabledyke.application.extensions import Done, Extension, ServerContext, Submit
from sabledyke.compacted_log import registers
from sabledyke.compacted_log.client import Board
from sabledyke.compacted_log.records import Cell, register_key, said_of, writer_key
from sabledyke.compacted_log.section import Section as BoardSection
from sabledyke.config import Config, ConfigError
from sabledyke.core import ClientRequest
from sabledyke.errors import CompactedLogError, StaleWriterError
from sabledyke.lease.manager import boottime
from sabledyke.quota_sharing.allocation import TOPIC, Demands, Shares
from sabledyke.quota_sharing.demand import Meter
from sabledyke.quota_sharing.section import Section

if TYPE_CHECKING:
    from sabledyke.operator_config import OperatorConfig

AGAIN = 0.2  # seconds before a board that did not answer is asked again
OFTEN = 4  # looks in the time that a member may go without one


class FleetPart(Extension):
    """See ``parts.Part``."""

    def __init__(
        self,
        host: ServerContext,
        section: Section,
        place: BoardSection,
        clock: Callable[[], float] = boottime,
    ) -> None:
        self._host, self._section, self._place, self._clock = host, section, place, clock
        self._name, self._board = host.config.name, Board(place.shelf(), host.config.seed)
        self._shelf, self.shares = self._board.shelf, Shares(section.policy, section.times)
        self._meter = Meter(clock())
        self._number = self._stands = 0  # of the last word, and of the one that is known to stand ...
        self._at = 0  # ... the version of its cell, and since when that is known
        self._known = -1e18
        self._writer = 0  # the version of the cell in which this life stands
        self._read: dict[str, tuple[int, tuple[int, Demands]]] = {}  # what was read of the others, by version
        self._quiet = True  # the word that stands asks for nothing
        self._shared = False  # it took more than its floor when last looked at
        self._task: asyncio.Task[None] | None = None
        self.apply_config(host.config)

    async def open(self) -> None:
        """See ``parts.Part``: shares begin once the board answers, and the program does not wait for it."""
        self._task = asyncio.get_running_loop().create_task(self._run())
        log.emit("fleet", f"{self._name}: {self._section}")

    def apply_config(self, config: Config) -> None:
        """See ``parts.Part``."""
        self._plans = config.settings.plans

    def submit(self, work: ClientRequest, done: Done, onward: Submit) -> int:
        """See ``parts.Part``: work of a volume that is shared out is told this member's part."""
        plan = self._plans[work.plan_index]
        if plan.limit > 0 or plan.reservation > 0:
            now = self._clock()
            self._meter.add(now, work.volume, work.units, max(plan.limit, plan.reservation))
            work.quota_share = self.shares.part(work.volume, now)
        return onward(work, done)

    def check_operator_config(self, operator: OperatorConfig) -> None:
        """See ``parts.Part``."""
        if operator.fleet != self._section:
            raise ConfigError("fleet differs, which takes a restart")

    async def close(self) -> None:
        """See ``parts.Part``: what it told counts for the others until they know that it is over."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._shelf.close()

    async def _run(self) -> None:
        rest = self._section.times.gap / OFTEN / 1000
        while True:
            try:
                if not self._writer:
                    await self._begin()
                if self._meter.busy or not self._quiet:
                    await self._look()
                    if self._clock() - self._known >= self._section.times.beat:
                        await self._tell()
                    self._note()
                await asyncio.sleep(rest)
            except StaleWriterError as fault:
                log.emit("fleet", str(fault), **fault.fields)
                return  # another runs under its name: it goes on with its floor
            except CompactedLogError as fault:
                log.emit("fleet", f"shares: {fault}", **fault.fields)
                self._note()
                await asyncio.sleep(AGAIN)
            except Exception as fault:  # shares lapse by themselves; one that stays away is not to be silent
                invariants.check(False, "a turn of shares", repr(fault))
                await asyncio.sleep(AGAIN)

    async def _begin(self) -> None:
        await self._shelf.open()
        self._nonce = (await self._board.claim(TOPIC, self._name)).writer.nonce
        me, here = writer_key(TOPIC, self._name), register_key(TOPIC, self._name)
        cells = await self._shelf.get([me, here])
        self._mine(cells.get(me))
        self._stand(cells.get(here))
        self._number = self._stands
        self._writer = cells[me].version

    def _mine(self, cell: Cell | None) -> None:
        said = said_of(cell)
        if said is None or said.nonce != self._nonce:
            raise StaleWriterError(f"{self._name}: another life of it shares")

    def _stand(self, cell: Cell | None) -> None:
        """Our own register, as a look found it; never an older one than is known to stand."""
        number = _word(cell)[0] if cell is not None else 0
        if number < self._stands:
            return
        if number > self._stands:
            self._known = self._clock()
        self._stands, self._at = number, cell.version if cell is not None else 0
        self.shares.stands(number, self._clock())

    async def _look(self) -> None:
        began, cells, known = self._clock(), await registers.cells(self._shelf, TOPIC), self._read
        self._stand(cells.pop(self._name, None))
        same = {n for n, cell in cells.items() if n in known and known[n][0] == cell.version}
        self._read = {n: known[n] if n in same else (cell.version, _word(cell)) for n, cell in cells.items()}
        self.shares.look(began, self._clock(), {name: word for name, (_, word) in self._read.items()})

    async def _tell(self) -> None:
        """The next word; a BoardFault leaves open whether it stands, and the next look may say."""
        now = self._clock()
        told = self._meter.word(now)
        self._number += 1
        number, me, here = self._number, writer_key(TOPIC, self._name), register_key(TOPIC, self._name)
        value = orjson.dumps([number, {f"{volume:x}": units for volume, units in told.items()}])
        self._quiet = False  # it may stand
        self.shares.tell(number, told, now, self._stands)
        if await self._shelf.commit({me: self._writer, here: self._at}, {here: value}):
            self._stands, self._known = number, self._clock()
            self.shares.stands(number, self._known)
            self._quiet = not told  # the next look finds the version that the next word rests on
        else:
            self.shares.fails(number)
            self._mine((await self._shelf.get([me])).get(me))

    def _note(self) -> None:
        shared = self.shares.fresh(self._clock())
        if shared is not self._shared:
            self._shared = shared
            what = "takes its shares by demand" if shared else "takes its floor alone"
            log.emit("fleet", f"{self._name} {what}", shared=str(shared).lower())


def _word(cell: Cell) -> tuple[int, Demands]:
    number, told = orjson.loads(cell.data)
    return number, {int(volume, 16): units for volume, units in told.items()}


def set_up(host: ServerContext, operator: OperatorConfig) -> Extension | None:
    """Shares of limits, where the operator's file asks for them."""
    if operator.fleet is None or operator.board is None:
        return None
    return FleetPart(host, operator.fleet, operator.board)
