"""Where releases are set up: this process as a member, and as the coordinator where it holds that lease.

It decides nothing: ``participant`` and ``planner`` do. Here their moves are written to the board, a ticket
that is used has this process leave (``recovery.departure``), and whoever coordinates also cleans the
board's topics. Where nothing is under way a member looks once a beat only.
"""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import replace
from math import inf
from pathlib import Path
from typing import TYPE_CHECKING
from uuid import uuid4

import orjson

from sabledyke import invariants, log
from sabledyke.application.extensions import Done, Extension, ServerContext, Submit
from sabledyke.compacted_log import registers
from sabledyke.compacted_log.client import Board
from sabledyke.compacted_log.reader import Follower
from sabledyke.compacted_log.section import Section as BoardSection
from sabledyke.config import PREFIX, Config, ConfigError
from sabledyke.core import ClientRequest
from sabledyke.errors import (
    AuthorityError,
    CompactedLogError,
    LeaseLostError,
    StaleWriterError,
    WantedVersionError,
    WriteConflictError,
)
from sabledyke.lease.extension import authority_of
from sabledyke.lease.manager import Keeper, boottime
from sabledyke.lease.section import Section as LeaseSection
from sabledyke.placement.evacuation import HOMES
from sabledyke.placement.evacuation_driver import LOADS, MOST_LOADS, SiteKeeper
from sabledyke.placement.volume_placement import Map
from sabledyke.policy.nodes import EndpointList, ListKind, NodeEntry, NodeId, NodeState, node_name
from sabledyke.rollout import node_drain, planner
from sabledyke.rollout.canary_analysis import Baseline, Count, bad_plans
from sabledyke.rollout.commands import write
from sabledyke.rollout.configuration_switch import take_on, wanted
from sabledyke.rollout.participant import GOES, Participant
from sabledyke.rollout.planner import Move, Watch
from sabledyke.rollout.records import (
    BEATS,
    FLEET,
    TAKEN,
    Ask,
    Box,
    Member,
    State,
    Ticket,
    View,
    key,
    view,
)
from sabledyke.rollout.section import Section

if TYPE_CHECKING:
    from sabledyke.operator_config import OperatorConfig

DUTY = "rollout"  # that the lease is held for: who coordinates also cleans the board, under the same token
GONE = "gone"  # what the file says of a member that retires
READY_MS = 10  # between looks at its own doors, where they are not open yet
WHY_MOST = 300  # characters of why settings were not taken
AGAIN = 0.1  # seconds before a board that did not answer at the start is asked again
REST = 1.0  # seconds between looks at the most, where nothing is under way and beats are further apart
LAST_WORD = 0.5  # seconds for the last thing that a member says


class RolloutPart(Extension):
    """See ``parts.Part``."""

    def __init__(
        self,
        host: ServerContext,
        section: Section,
        board: BoardSection,
        lease: LeaseSection,
        sites: Map | None = None,
    ) -> None:
        self._host, self._section, self._place = host, section, board
        self._name, self._seed = host.config.name, host.config.seed
        self._me = f"{self._name}.{uuid4().hex[:12]}"
        self._board = Board(board.shelf(), self._seed)
        self._authority = authority_of(lease)
        self._times = lease.times
        self._fleet = Follower(board.most_keys)
        self._seen = View(0)  # as of the last look
        self._participant: Participant | None = None
        self._closing: node_drain.Closing | None = None
        self._shut: frozenset[str] = frozenset()  # boxes that are sent nothing fresh by the board's word
        self._list: dict[NodeId, NodeEntry] = {}  # boxes as discovery has them
        self._file = os.environ.get(f"{PREFIX}CONFIG", "")
        self.apply_config(host.config)
        self._last = False  # it goes for good
        self._sites = SiteKeeper(self._board, sites) if sites is not None else None
        self._loads: dict[str, float] = {}  # units by volume since the last beat
        self._tasks: list[asyncio.Task[None]] = []
        self._keeper = Keeper(DUTY, self._me, self._authority, self._times, self._seed)

    async def open(self) -> None:
        """See ``parts.Part``: the board is there, and this life of the member has begun."""
        await self._authority.open()
        while (seen := await self._joined()) is None:
            if self._host.leaving():
                return
            await asyncio.sleep(AGAIN)
        life = self._pen.writer.life
        self._participant = Participant(self._name, life, self._section.valid)
        self._closing = node_drain.Closing(self._name, life, self._host.config.settings.drain_grace_ms)
        self.waits_for_budget = self._participant.in_turn(seen)
        again = self._participant.unfinished(seen, self._section.version)
        if again is not None and self._wanted() not in (None, again.to):  # else its starter was told
            log.emit("fleet", f"{self._name} was to come back as {again.to}, and ends once more")
            self._go(again)
        loop, every = asyncio.get_running_loop(), self._section.every / 1000
        beat = self._section.beat / 1000

        def pace() -> float:
            return every if planner.under_way(self._seen) else max(every, min(beat, REST))

        self._tasks = [loop.create_task(self._keeper.run())] + [
            loop.create_task(self._always(self._member, pace)),
            loop.create_task(self._always(self._beat, lambda: beat)),
            loop.create_task(self._always(self._coordinate(), pace)),
            loop.create_task(self._always(self._clean, lambda: self._place.clean)),
        ]
        log.emit("fleet", f"{self._me} is a member, life {self._pen.writer.life}, {self._section}")

    async def _joined(self) -> View | None:
        """The board as this life finds it, once all others can know of it; None where it does not answer now.

        Guards against two harms: a start that fails for good because the board stood still for a moment, and
        one that takes clients without having heard what is drained.
        """
        try:
            await self._board.shelf.open()
            self._pen = await self._board.claim(FLEET, self._name)
            beats = await self._board.claim(BEATS, self._name)
            self._signs = registers.Register(self._board.shelf, BEATS, beats.writer)
            # It says that it lives before it looks for the first time: see ``boxes``.
            await write(self._pen, Move("warming", (self._me_as(State.WARMING),)))
            return await self._look()
        except StaleWriterError as fault:
            raise ConfigError(f"board {self._place}: {fault}") from None
        except CompactedLogError as fault:
            said = f"{self._name} waits for the board, its doors are closed: {fault}"
            log.emit("fleet", said, **fault.fields)
            return None

    async def _always(self, what: Callable[[], Awaitable[None]], pace: Callable[[], float]) -> None:
        """Again and again, at this pace in seconds; a board or authority that does not answer is asked again,
        and said so.
        """
        while True:
            began = time.monotonic()
            try:
                await what()
            except (WriteConflictError, LeaseLostError):
                pass  # somebody wrote first, or the lease is another's: look again
            except StaleWriterError as fault:
                log.emit("fleet", str(fault), **fault.fields)
                await asyncio.sleep(1)
            except (CompactedLogError, AuthorityError, WantedVersionError) as fault:
                log.emit("fleet", str(fault), **fault.fields)
            except Exception as fault:
                # Guards against a task that ends without a word: its member would beat, and never move.
                invariants.check(False, "a turn in the fleet", repr(fault))
            await asyncio.sleep(max(0.01, pace() - (time.monotonic() - began)))

    async def _look(self) -> View:
        if await self._board.catch_up(FLEET, self._fleet) or self._seen.next != self._fleet.position:
            self._seen = view(self._fleet.state, self._fleet.position)  # else nothing is read anew
            self._shut_to(
                node_drain.shut(self._seen)
            )  # what was read is in force, before anything rests on it
        return self._seen

    async def _member(self) -> None:
        """Say how it is, ask for a ticket, go."""
        assert self._participant is not None and self._closing is not None
        for _ in range(int(self._section.every / READY_MS)):  # that its doors are open is said at once
            if self._state() is not State.WARMING:
                break
            await asyncio.sleep(READY_MS / 1000)
        seen, state = await self._look(), self._state()
        me = self._me_as(state)
        known = seen.members.get(self._name)
        if known is None or (known.life, known.version, known.site, known.state) != (
            me.life,
            me.version,
            me.site,
            me.state,
        ):
            await write(self._pen, Move(state.value, (me,)))
            seen = await self._look()
        if (due := self._participant.due(seen)) is not None:
            why = take_on(self._file, due.to, self._host.reload)[:WHY_MOST]
            done = replace(due, took=why or TAKEN)
            said = Move(f"settings {due.to}: {done.took}", (done,), expects=((key(due), due.offset),))
            await write(self._pen, said)
            log.emit("fleet", said.what, member=self._name)
            return
        if (ticket := self._participant.gone(seen)) is not None and state is not State.LEAVING:
            return self._go(ticket)  # what it said is written, though it was not heard to be
        now = boottime()
        move = self._closing.step(seen, now, lambda box: self._host.busy(box.encode()))
        if move is None and state is State.READY:
            move = self._participant.step(seen, now)
        if move is None:
            return
        for ask in (record for record in move.writes if isinstance(record, Ask)):
            plan = seen.plans[ask.plan]
            if not plan.settings:  # who could not tell its starter does not ask
                self._tell(GONE if plan.retire else planner.next_version(plan), ready=True)
        await write(self._pen, move)
        log.emit("fleet", move.what if move.what != GOES else f"{self._name} goes out", member=self._name)
        if move.what == GOES and not seen.tickets[self._name].settings:
            self._go(seen.tickets[self._name])

    def _me_as(self, state: State) -> Member:
        return Member(self._name, self._pen.writer.life, self._section.version, self._section.site, state)

    def _shut_to(self, closed: frozenset[str]) -> None:
        """These boxes are sent nothing fresh from now on, and others again as the list has them."""
        other, self._shut = closed ^ self._shut, closed
        if some := [e for name in sorted(other) if (e := self._list.get(name.encode())) is not None]:
            self._host.relist([self._taken_for(entry) for entry in some])

    def _taken_for(self, entry: NodeEntry) -> NodeEntry:
        shut = entry.state is NodeState.READY and node_name(entry.node_id) in self._shut
        return replace(entry, state=NodeState.DRAINING) if shut else entry

    def adjust_endpoint_list(self, news: EndpointList) -> EndpointList:
        """See ``parts.Part``: boxes that are drained by a plan are draining, whatever discovery says."""
        if news.kind is not ListKind.DELTA:
            self._list = {}
        self._list.update((e.node_id, e) for e in news.entries)
        for entry in news.entries:
            if entry.state is NodeState.GONE:
                del self._list[entry.node_id]
        return replace(news, entries=tuple(self._taken_for(entry) for entry in news.entries))

    def _go(self, ticket: Ticket) -> None:
        """Leave: who starts this member finds in the file which version it is to be, or that it retires."""
        self._tell(GONE if ticket.last else ticket.to)
        self._last = ticket.last
        self._host.leave()

    def _tell(self, version: str, *, ready: bool = False) -> None:
        if self._section.wants and version:
            wanted(Path(self._section.wants), version, ready=ready)

    def _wanted(self) -> str | None:
        """What that file says now; None where there is no such file to tell anybody by."""
        path = Path(self._section.wants)
        if not self._section.wants:
            return None
        return path.read_text().strip() if path.exists() else ""

    def _state(self) -> State:
        if self._host.leaving():
            return State.LEAVING
        return State.READY if self._host.ready() else State.WARMING

    async def _beat(self) -> None:
        answered, bad = self._host.answers()
        value = orjson.dumps([self._pen.writer.life, answered, bad, round(boottime())])
        signs = {self._name: value}
        if self._sites is not None:
            some, self._loads = self._loads, {}
            most = sorted(some, key=lambda v: -some[v])[:MOST_LOADS]
            seconds = self._section.beat / 1000
            rates = {volume: round(some[volume] / seconds, 3) for volume in most}
            signs[f"{LOADS}{self._name}"] = orjson.dumps(rates)
        await self._signs.put(signs)

    def submit(self, work: ClientRequest, done: Done, onward: Submit) -> int:
        """See ``parts.Part``: what each volume asks is told with the beats."""
        if self._sites is not None:
            volume = f"{work.volume:016x}"
            if volume in self._loads or len(self._loads) < 4 * MOST_LOADS:
                self._loads[volume] = self._loads.get(volume, 0.0) + work.units
        return onward(work, done)

    def _coordinate(self) -> Callable[[], Awaitable[None]]:
        """Its moves while it holds the lease; what it watched is begun anew with each token."""
        token, watch, base, pen = 0, Watch(), Baseline(), None
        signs, heard = dict[str, bytes](), -inf

        async def turn() -> None:
            nonlocal token, watch, base, pen, signs, heard
            if self._host.leaving():
                return
            held = self._keeper.token()
            if held != token or pen is None:
                token, watch, base = held, Watch(), Baseline()
                pen = self._board.pen(FLEET, "coordinator", token)
            if boottime() - heard >= self._section.beat / 2:
                signs, heard = await registers.read(self._board.shelf, BEATS), boottime()
            for _ in range(len(self._fleet.state) + 1):
                seen, beats = await self._look(), _beats(signs)
                now, counts = boottime(), {n: Count(*b[:3]) for n, b in beats.items()}
                watch.look(now, planner.stands(seen, beats))
                bad = bad_plans(seen.active, base.look(counts))
                patience = self._patience
                move = planner.decide(seen, self._me, token, now, watch, patience, bad)
                if move is None and (seen.drains or any(plan.boxes for plan in seen.active)):
                    move = node_drain.decide(seen, token, now, watch, patience, self._boxes())
                if move is None and self._sites is not None:
                    self._keeper.token()
                    done = await self._sites.turn(seen, token, signs, now, watch, patience)
                    if isinstance(done, str):
                        log.emit("fleet", done, token=token)
                        continue
                    move = done
                if move is None:
                    return
                self._keeper.token()
                try:
                    await write(pen, move)
                except WriteConflictError:
                    continue  # decided anew by what was said meanwhile, and at once: a fleet is never still
                log.emit("fleet", move.what, token=token)

        return turn

    def _boxes(self) -> dict[str, Box]:
        some = ((node_name(e.node_id), e) for e in self._list.values())
        ready = NodeState.READY
        return {n: Box(n, e.zone, e.shard, e.state is ready, e.started_ms) for n, e in some}

    def apply_config(self, config: Config) -> None:
        """See ``parts.Part``: how long a box warms up is the deployment's."""
        self._patience = replace(self._section.patience, warm=config.settings.warm_up_ms)

    async def _clean(self) -> None:
        for topic in (FLEET, HOMES, *self._place.topics):
            await self._board.clean(topic, self._place.policy, self._keeper.token, boottime)

    def check_operator_config(self, operator: OperatorConfig) -> None:
        """See ``parts.Part``."""
        if operator.board != self._place:
            raise ConfigError("the board differs, which takes a restart")

    async def close(self) -> None:
        """See ``parts.Part``: its last word is that it is out, as long as the board answers soon."""
        if not self._tasks:  # it never joined
            await self._authority.close()
            return await self._board.shelf.close()
        for task in self._tasks[1:]:
            task.cancel()
        await asyncio.gather(*self._tasks[1:], return_exceptions=True)
        try:
            async with asyncio.timeout(LAST_WORD):
                state = State.RETIRED if self._last else State.OUT
                await write(self._pen, Move("out", (self._me_as(state),)))
        except (CompactedLogError, TimeoutError) as fault:
            log.emit("fleet", f"{self._name} could not say that it is out: {fault or 'no answer'}")
        await self._keeper.stop()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._authority.close()
        await self._board.shelf.close()


def _beats(signs: Mapping[str, bytes]) -> Mapping[str, tuple[int, int, int, int]]:
    """Life, answers, refusals and failures, and a figure that changes with every beat, by member."""
    return {name: tuple(orjson.loads(v)) for name, v in signs.items() if not name.startswith(LOADS)}


def set_up(host: ServerContext, operator: OperatorConfig) -> Extension | None:
    """A member of a fleet, where the operator's file says that it is one."""
    if operator.rollout is None or operator.board is None or operator.lease is None:
        return None
    return RolloutPart(host, operator.rollout, operator.board, operator.lease, operator.sites)
