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
from sabledyke.application.extensions import Done, Host, Part, Submit
from sabledyke.compacted_log import registers
from sabledyke.compacted_log.client import Board
from sabledyke.compacted_log.reader import Follower
from sabledyke.compacted_log.section import Section as BoardSection
from sabledyke.config import PREFIX, Config, ConfigError
from sabledyke.core import Work
from sabledyke.errors import AuthorityFault, BoardFault, Conflict, Lost, StaleWriter, WantsFault
from sabledyke.lease.extension import authority_of
from sabledyke.lease.manager import Keeper, boottime
from sabledyke.lease.section import Section as LeaseSection
from sabledyke.placement.evacuation import HOMES
from sabledyke.placement.evacuation_driver import LOADS, MOST_LOADS, SiteKeeper
from sabledyke.placement.volume_placement import Map
from sabledyke.policy import interface as api
from sabledyke.rollout import node_drain, planner
from sabledyke.rollout.canary_analysis import AnswerCount, Baseline, failing_plans
from sabledyke.rollout.commands import append_move
from sabledyke.rollout.configuration_switch import announce_version, switch_settings
from sabledyke.rollout.fleet_view import FleetView, view_of
from sabledyke.rollout.participant import GOES_OUT, Participant
from sabledyke.rollout.planner import ChangeTracker, Move
from sabledyke.rollout.record_codec import key_of
from sabledyke.rollout.records import (
    FLEET_TOPIC,
    HEARTBEATS_TOPIC,
    SETTINGS_APPLIED,
    ListedNode,
    Member,
    MemberState,
    Ticket,
    TicketRequest,
)
from sabledyke.rollout.section import Section

if TYPE_CHECKING:
    from sabledyke.operator_config import Operator

DUTY = "rollout"  # that the lease is held for: who coordinates also cleans the board, under the same token
GONE = "gone"  # what the file says of a member that retires
READY_MS = 10  # between looks at its own doors, where they are not open yet
WHY_MOST = 300  # characters of why settings were not taken
AGAIN = 0.1  # seconds before a board that did not answer at the start is asked again
REST = 1.0  # seconds between looks at the most, where nothing is under way and beats are further apart
LAST_WORD = 0.5  # seconds for the last thing that a member says


class RolloutPart(Part):
    """See ``parts.Part``."""

    def __init__(
        self, host: Host, section: Section, board: BoardSection, lease: LeaseSection, sites: Map | None = None
    ) -> None:
        self._host, self._section, self._place = host, section, board
        self._name, self._seed = host.config.name, host.config.seed
        self._me = f"{self._name}.{uuid4().hex[:12]}"
        self._board = Board(board.shelf(), self._seed)
        self._authority = authority_of(lease)
        self._times = lease.times
        self._fleet = Follower(board.most_keys)
        self._seen = FleetView(0)  # as of the last look
        self._participant: Participant | None = None
        self._closing: node_drain.DrainAcknowledger | None = None
        self._shut: frozenset[str] = frozenset()  # boxes that are sent nothing fresh by the board's word
        self._list: dict[api.NodeId, api.NodeEntry] = {}  # boxes as discovery has them
        self._file = os.environ.get(f"{PREFIX}CONFIG", "")
        self.adopt(host.config)
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
        self._participant = Participant(self._name, life, self._section.request_validity_ms)
        self._closing = node_drain.DrainAcknowledger(self._name, life, self._host.config.settings.drain_grace)
        self.in_turn = self._participant.replaces_released(seen)
        again = self._participant.unfinished(seen, self._section.version)
        if again is not None and self._wanted() not in (None, again.target):  # else its starter was told
            log.say("fleet", f"{self._name} was to come back as {again.target}, and ends once more")
            self._go(again)
        loop, every = asyncio.get_running_loop(), self._section.poll_interval_ms / 1000
        beat = self._section.heartbeat_interval_ms / 1000

        def pace() -> float:
            return every if planner.has_work_under_way(self._seen) else max(every, min(beat, REST))

        self._tasks = [loop.create_task(self._keeper.run())] + [
            loop.create_task(self._always(self._member, pace)),
            loop.create_task(self._always(self._beat, lambda: beat)),
            loop.create_task(self._always(self._coordinate(), pace)),
            loop.create_task(self._always(self._clean, lambda: self._place.clean)),
        ]
        log.say("fleet", f"{self._me} is a member, life {self._pen.writer.life}, {self._section}")

    async def _joined(self) -> FleetView | None:
        """The board as this life finds it, once all others can know of it; None where it does not answer now.

        Guards against two harms: a start that fails for good because the board stood still for a moment, and
        one that takes clients without having heard what is drained.
        """
        try:
            await self._board.shelf.open()
            self._pen = await self._board.claim(FLEET_TOPIC, self._name)
            beats = await self._board.claim(HEARTBEATS_TOPIC, self._name)
            self._signs = registers.Register(self._board.shelf, HEARTBEATS_TOPIC, beats.writer)
            # It says that it lives before it looks for the first time: see ``boxes``.
            await append_move(self._pen, Move("warming", (self._me_as(MemberState.WARMING),)))
            return await self._look()
        except StaleWriter as fault:
            raise ConfigError(f"board {self._place}: {fault}") from None
        except BoardFault as fault:
            said = f"{self._name} waits for the board, its doors are closed: {fault}"
            log.say("fleet", said, **fault.fields)
            return None

    async def _always(self, what: Callable[[], Awaitable[None]], pace: Callable[[], float]) -> None:
        """Again and again, at this pace in seconds; a board or authority that does not answer is asked again,
        and said so.
        """
        while True:
            began = time.monotonic()
            try:
                await what()
            except (Conflict, Lost):
                pass  # somebody wrote first, or the lease is another's: look again
            except StaleWriter as fault:
                log.say("fleet", str(fault), **fault.fields)
                await asyncio.sleep(1)
            except (BoardFault, AuthorityFault, WantsFault) as fault:
                log.say("fleet", str(fault), **fault.fields)
            except Exception as fault:
                # Guards against a task that ends without a word: its member would beat, and never move.
                invariants.check(False, "a turn in the fleet", repr(fault))
            await asyncio.sleep(max(0.01, pace() - (time.monotonic() - began)))

    async def _look(self) -> FleetView:
        if (
            await self._board.catch_up(FLEET_TOPIC, self._fleet)
            or self._seen.next_offset != self._fleet.position
        ):
            self._seen = view_of(self._fleet.state, self._fleet.position)  # else nothing is read anew
            self._shut_to(
                node_drain.closed_nodes(self._seen)
            )  # what was read is in force, before anything rests on it
        return self._seen

    async def _member(self) -> None:
        """Say how it is, ask for a ticket, go."""
        assert self._participant is not None and self._closing is not None
        for _ in range(
            int(self._section.poll_interval_ms / READY_MS)
        ):  # that its doors are open is said at once
            if self._state() is not MemberState.WARMING:
                break
            await asyncio.sleep(READY_MS / 1000)
        seen, state = await self._look(), self._state()
        me = self._me_as(state)
        known = seen.members.get(self._name)
        if known is None or (known.incarnation, known.version, known.site, known.state) != (
            me.incarnation,
            me.version,
            me.site,
            me.state,
        ):
            await append_move(self._pen, Move(state.value, (me,)))
            seen = await self._look()
        if (due := self._participant.due_settings(seen)) is not None:
            why = switch_settings(self._file, due.target, self._host.reload)[:WHY_MOST]
            done = replace(due, settings_result=why or SETTINGS_APPLIED)
            said = Move(
                f"settings {due.target}: {done.settings_result}",
                (done,),
                expected_offsets=((key_of(due), due.offset),),
            )
            await append_move(self._pen, said)
            log.say("fleet", said.description, member=self._name)
            return
        if (ticket := self._participant.used_ticket(seen)) is not None and state is not MemberState.LEAVING:
            return self._go(ticket)  # what it said is written, though it was not heard to be
        now = boottime()
        move = self._closing.step(seen, now, lambda box: self._host.busy(box.encode()))
        if move is None and state is MemberState.READY:
            move = self._participant.step(seen, now)
        if move is None:
            return
        for ask in (record for record in move.records if isinstance(record, TicketRequest)):
            plan = seen.plans[ask.plan]
            if not plan.settings:  # who could not tell its starter does not ask
                self._tell(GONE if plan.retiring_site else planner.current_target(plan), ready=True)
        await append_move(self._pen, move)
        log.say(
            "fleet",
            move.description if move.description != GOES_OUT else f"{self._name} goes out",
            member=self._name,
        )
        if move.description == GOES_OUT and not seen.tickets[self._name].settings:
            self._go(seen.tickets[self._name])

    def _me_as(self, state: MemberState) -> Member:
        return Member(self._name, self._pen.writer.life, self._section.version, self._section.site, state)

    def _shut_to(self, closed: frozenset[str]) -> None:
        """These boxes are sent nothing fresh from now on, and others again as the list has them."""
        other, self._shut = closed ^ self._shut, closed
        if some := [e for name in sorted(other) if (e := self._list.get(name.encode())) is not None]:
            self._host.relist([self._taken_for(entry) for entry in some])

    def _taken_for(self, entry: api.NodeEntry) -> api.NodeEntry:
        shut = entry.state is api.NodeState.READY and api.name_of(entry.node) in self._shut
        return replace(entry, state=api.NodeState.DRAINING) if shut else entry

    def listing(self, news: api.NodeList) -> api.NodeList:
        """See ``parts.Part``: boxes that are drained by a plan are draining, whatever discovery says."""
        if news.kind is not api.ListKind.DELTA:
            self._list = {}
        self._list.update((e.node, e) for e in news.entries)
        for entry in news.entries:
            if entry.state is api.NodeState.GONE:
                del self._list[entry.node]
        return replace(news, entries=tuple(self._taken_for(entry) for entry in news.entries))

    def _go(self, ticket: Ticket) -> None:
        """Leave: who starts this member finds in the file which version it is to be, or that it retires."""
        self._tell(GONE if ticket.is_final else ticket.target)
        self._last = ticket.is_final
        self._host.leave()

    def _tell(self, version: str, *, ready: bool = False) -> None:
        if self._section.version_file and version:
            announce_version(Path(self._section.version_file), version, ready=ready)

    def _wanted(self) -> str | None:
        """What that file says now; None where there is no such file to tell anybody by."""
        path = Path(self._section.version_file)
        if not self._section.version_file:
            return None
        return path.read_text().strip() if path.exists() else ""

    def _state(self) -> MemberState:
        if self._host.leaving():
            return MemberState.LEAVING
        return MemberState.READY if self._host.ready() else MemberState.WARMING

    async def _beat(self) -> None:
        answered, bad = self._host.answers()
        value = orjson.dumps([self._pen.writer.life, answered, bad, round(boottime())])
        signs = {self._name: value}
        if self._sites is not None:
            some, self._loads = self._loads, {}
            most = sorted(some, key=lambda v: -some[v])[:MOST_LOADS]
            seconds = self._section.heartbeat_interval_ms / 1000
            rates = {volume: round(some[volume] / seconds, 3) for volume in most}
            signs[f"{LOADS}{self._name}"] = orjson.dumps(rates)
        await self._signs.put(signs)

    def submit(self, work: Work, done: Done, onward: Submit) -> int:
        """See ``parts.Part``: what each volume asks is told with the beats."""
        if self._sites is not None:
            volume = f"{work.volume:016x}"
            if volume in self._loads or len(self._loads) < 4 * MOST_LOADS:
                self._loads[volume] = self._loads.get(volume, 0.0) + work.units
        return onward(work, done)

    def _coordinate(self) -> Callable[[], Awaitable[None]]:
        """Its moves while it holds the lease; what it watched is begun anew with each token."""
        token, watch, base, pen = 0, ChangeTracker(), Baseline(), None
        signs, heard = dict[str, bytes](), -inf

        async def turn() -> None:
            nonlocal token, watch, base, pen, signs, heard
            if self._host.leaving():
                return
            held = self._keeper.token()
            if held != token or pen is None:
                token, watch, base = held, ChangeTracker(), Baseline()
                pen = self._board.pen(FLEET_TOPIC, "coordinator", token)
            if boottime() - heard >= self._section.heartbeat_interval_ms / 2:
                signs, heard = await registers.read(self._board.shelf, HEARTBEATS_TOPIC), boottime()
            for _ in range(len(self._fleet.state) + 1):
                seen, beats = await self._look(), _beats(signs)
                now, counts = boottime(), {n: AnswerCount(*b[:3]) for n, b in beats.items()}
                watch.observe(now, planner.tracked_values(seen, beats))
                bad = failing_plans(seen.active, base.since_first_seen(counts))
                patience = self._patience
                move = planner.decide(seen, self._me, token, now, watch, patience, bad)
                if move is None and (seen.drains or any(plan.nodes for plan in seen.active)):
                    move = node_drain.decide(seen, token, now, watch, patience, self._boxes())
                if move is None and self._sites is not None:
                    self._keeper.token()
                    done = await self._sites.turn(seen, token, signs, now, watch, patience)
                    if isinstance(done, str):
                        log.say("fleet", done, token=token)
                        continue
                    move = done
                if move is None:
                    return
                self._keeper.token()
                try:
                    await append_move(pen, move)
                except Conflict:
                    continue  # decided anew by what was said meanwhile, and at once: a fleet is never still
                log.say("fleet", move.description, token=token)

        return turn

    def _boxes(self) -> dict[str, ListedNode]:
        some = ((api.name_of(e.node), e) for e in self._list.values())
        ready = api.NodeState.READY
        return {n: ListedNode(n, e.zone, e.shard, e.state is ready, e.started) for n, e in some}

    def adopt(self, config: Config) -> None:
        """See ``parts.Part``: how long a box warms up is the deployment's."""
        self._patience = replace(self._section.timeouts, warm_up_ms=config.settings.warm_up)

    async def _clean(self) -> None:
        for topic in (FLEET_TOPIC, HOMES, *self._place.topics):
            await self._board.clean(topic, self._place.policy, self._keeper.token, boottime)

    def check(self, operator: Operator) -> None:
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
                state = MemberState.RETIRED if self._last else MemberState.OUT
                await append_move(self._pen, Move("out", (self._me_as(state),)))
        except (BoardFault, TimeoutError) as fault:
            log.say("fleet", f"{self._name} could not say that it is out: {fault or 'no answer'}")
        await self._keeper.stop()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._authority.close()
        await self._board.shelf.close()


def _beats(signs: Mapping[str, bytes]) -> Mapping[str, tuple[int, int, int, int]]:
    """Life, answers, refusals and failures, and a figure that changes with every beat, by member."""
    return {name: tuple(orjson.loads(v)) for name, v in signs.items() if not name.startswith(LOADS)}


def set_up(host: Host, operator: Operator) -> Part | None:
    """A member of a fleet, where the operator's file says that it is one."""
    if operator.rollout is None or operator.board is None or operator.lease is None:
        return None
    return RolloutPart(host, operator.rollout, operator.board, operator.lease, operator.sites)
