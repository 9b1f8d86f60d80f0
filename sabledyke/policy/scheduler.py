"""Every decision of a storage gateway's scheduler. Types in and out: interface.py; records: state.py.

Ordinary path, per node: requests go at once while the period's budget has room; the excess is held and leaves
by earliest due time (arrival + aim, capped by the deadline); a volume newly active at a node enters while
r * (admitted + 1) < TAU. The rest guards the rules and meets failures. Times are milliseconds, sizes units.
"""

from __future__ import annotations

import random
from collections import defaultdict, deque
from dataclasses import replace
from math import ceil, exp, inf

from sabledyke.policy import slow_start
from sabledyke.policy.actions import (
    Action,
    CancelAttempt,
    Fail,
    Log,
    Reject,
    SetTimer,
    StartAttempt,
    WatchList,
)
from sabledyke.policy.discovery_schedule import DiscoverySchedule
from sabledyke.policy.events import (
    AnswerStarted,
    AttemptCompleted,
    ClientDisconnected,
    Event,
    Outcome,
    Request,
    TimerFired,
)
from sabledyke.policy.nodes import EndpointList, ListKind, NodeEntry, NodeState, node_name
from sabledyke.policy.retry import may_repeat, window_over
from sabledyke.policy.settings import DeduplicationScope, RepeatSafety, Settings
from sabledyke.policy.state import Job, Node, Pace, Records, Volume

PERIOD, HOST_PERIOD = 1 / 3, 2 / 75  # shortest aims: a period at least, and for each host: floors must fit it
LOOKBACK, TAU = 30000.0, 1.0  # the admission test: ms it looks back, as long as history lasts; safety margin
IDLE = 20  # periods without a request that close a volume's session at a node
FLOOR, START, CEILING = 4, 16, 32  # a period's budget, in mean requests: bounds, and before any news
RECENT, LATE_SHARE = 5, 0.25  # periods whose best sets the budget; share of answers late that "ran past aim"
WINDOW_LOW, WINDOW_START, WINDOW_HIGH = 0.25, 12.0, 16.0  # in-flight cap, mean requests (start: all hosts)
CALM, TIGHT, BACK_OFF = 0.5, 0.8, 0.9  # answer time over aim: the cap grows below, above shrinks by a factor
MILD, UNHEARD, GUESS = 0.6, 1000.0, 0.6  # warmth for new objects; FADE of a node never heard; its spread
KEEP = 0.99  # of the sums over nodes of a kind, with each node's period that is added
SMOOTH, NEWS, FADE = 0.15, 4000.0, 10000.0  # weight of an answer; ms: news grows old, gives way by half
CAP_POWER = 2.5  # work at x of the full worth may fill x ** (CAP_POWER * answer time / aim) of the cap
PATIENCE, OVERDUE, LOSSY = 0.4, 2.5, 0.05  # overdue after shortest aims, answer times; share of answers lost
RETURN = 0.25  # shortest aims that a refused client is asked to stay away at least
SILENCE, TRIALS = 2.0, 4 / 3  # shortest aims without a sign of life; trials then back off up to so many
CROWDED = 0.7  # part of the places for open requests above which the least worth is not held
PARTING = 0.5  # part of the time in which a draining node may be sent work that is made use of
TIDY = 10000.0  # ms between looks at what can be forgotten, which has rested for as long
TICK = 10.0  # ms between looks at what is held or out
LINGERS = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)
WAKE, WATCH = 1, 2  # timer tokens
TURN = {kind: turn for turn, kind in enumerate((EndpointList, AnswerStarted, AttemptCompleted, Request))}


class Scheduler(Records):
    """One host's scheduler: ``handle`` takes a batch of events at a time and returns the actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__()
        self.s, self.random = settings, random.Random(seed)
        self.longest: defaultdict[int, float] = defaultdict(float)  # longest time a client gave, by class
        self.adopt(settings)

    def adopt(self, settings: Settings) -> None:
        """Go by these settings, whose classes and plans keep their places; what was learnt stays."""
        for volume in self.volumes.values():
            volume.plan = settings.plans[self.s.plans.index(volume.plan)]
        self.s = settings
        self.mean = settings.mean_units
        self.aim = min(c.latency_objective_ms for c in settings.classes)
        # Budgets are in requests a period: fixed seconds would starve where they are many and small.
        self.period = max(PERIOD, HOST_PERIOD * settings.scheduler_count) * self.aim
        self.silence = SILENCE * self.aim
        self.discovery = DiscoverySchedule(settings.scheduler_count)
        self.best = max(c.value for c in settings.classes) * max(p.value_factor for p in settings.plans)
        for node in self.nodes.values():  # periods are counted in their own length
            node.period = int(self.now // self.period)

    def handle(self, now: float, events: list[Event]) -> list[Action]:
        """Take a batch of events that came by ``now``, and return what is to be done."""
        if now < self.now:
            raise ValueError(f"time went back from {self.now} to {now}")
        self.now, self.late, self.out = now, max(0.0, now - self.alarm - TICK), []
        if self.born == -inf:
            self.born = now
            if self.s.polls_endpoint_list:
                self.out.append(SetTimer(WATCH, self.discovery.first_call(self.random.random())))
        # A host that stood still finds everything at once: news counts before anything is judged or sent.
        for event in sorted(events, key=lambda e: TURN.get(type(e), len(TURN))):
            match event:
                case EndpointList():
                    self.listed(event)
                case AnswerStarted() if event.node_id in self.nodes:
                    self.hear(self.nodes[event.node_id])
                case AttemptCompleted():
                    self.answered(event)
                case Request():
                    self.take(event)
                case ClientDisconnected() if event.request_id in self.jobs:
                    self.finish(self.jobs[event.request_id])
                case TimerFired() if event.token == WATCH:
                    self.out.append(WatchList())
                case TimerFired() if event.token == WAKE:
                    self.alarm = inf
        waiting, self.limbo = [j for j in self.limbo if not j.over], []
        for job in waiting:
            self.place(job)
        for node in self.active:
            self.drain(node)
        self.make_room()
        self.tidy()
        self.active = {node: None for node in self.active if node.held or node.flying}
        if self.alarm == inf and (self.limbo or self.active):
            self.alarm = now + TICK
            self.out.append(SetTimer(WAKE, TICK))
        return self.out

    def listed(self, news: EndpointList) -> None:
        """News of the list of nodes, or that a call for it failed."""
        if news.kind is ListKind.FAILED:
            self.out.append(SetTimer(WATCH, self.discovery.call_failed(self.random.random())))
            return
        self.discovery.call_answered()
        for entry in news.entries:
            node = self.nodes.get(entry.node_id)
            if node is None or entry.started_ms != node.entry.started_ms:
                fresh = self.make(entry)
                if node is not None:  # restarted: what it was is void, but what it was sent still counts
                    fresh.sends, fresh.sessions = node.sends, node.sessions
                    fresh.held, node.held = node.held, []
                self.nodes[entry.node_id], self.active[fresh] = fresh, None
            else:
                if entry.state is not node.entry.state:  # told gone first, it has had its time to drain
                    node.leaves = self.now if node.entry.state is NodeState.READY else -inf
                node.entry = entry
        self.ready, self.leaving, seen = {-1: []}, {}, {e.node_id for e in news.entries}
        for node in self.nodes.values():
            if news.kind is not ListKind.DELTA and node.entry.node_id not in seen:
                node.entry = replace(node.entry, state=NodeState.GONE)
            if node.entry.state is not NodeState.READY:
                self.limbo += node.held
                node.held = []
                self.leaving.setdefault(node.entry.shard, []).append(node)
            else:
                self.ready[-1].append(node)
                self.ready.setdefault(node.entry.shard, []).append(node)

    def still_takes(self, node: Node) -> bool:
        """Rule 3: may a draining node be sent what no other can serve? Well inside the time allowed.

        Guards against a shard without service from the news that its box drains until that of the next box:
        a draining box was seen to serve on. Once it turns work away, or breaks it off, it is left.
        """
        draining = node.entry.state is NodeState.DRAINING
        return draining and self.now < node.leaves + PARTING * self.s.drain_grace_ms

    def make(self, entry: NodeEntry) -> Node:
        """A node met for the first time, or started anew: it begins with what its kind shows."""
        window = max(1.0, WINDOW_START / self.s.scheduler_count) * self.mean
        like = self.kinds.setdefault(entry.kind, Pace(window, self.aim / 4, START * self.mean))
        # Guards against a fleet whose boxes are ever replaced: the budget of each would start anew. And, by a
        # guess of each host's own, against all of them taking the same one of the boxes that none has heard.
        lat, period = like.lat * (1 + GUESS * (self.random.random() - 0.5)), int(self.now // self.period)
        node = Node(entry, max(START * self.mean, like.budget), like.window, lat, period)
        node.met, node.faded, node.young = self.now, self.now, entry.started_ms or -inf
        node.recent, node.loads = deque(maxlen=RECENT), deque(maxlen=int(LOOKBACK / self.period) + 1)
        return node

    def warmth(self, node: Node) -> float:
        """Part of its capacity that a node has for sure; 1 once it is warm."""
        return slow_start.warmth(self.s, self.now - node.young)

    def bears(self, job: Job, node: Node) -> tuple[float, float]:
        """Rule 4: the chance that a young node may be sent this, at all and just now."""
        warmth, like = self.warmth(node), self.kinds[node.entry.kind]
        if warmth >= 1:
            return 1.0, 1.0
        sent = sum(u for at, u in node.sends if at >= self.now - self.s.overload_window_ms)
        if sent + job.ask.units <= slow_start.safe_units(self.s, warmth) / self.s.scheduler_count:
            return 1.0, 1.0
        asked = len(self.taken) * self.mean / min(LOOKBACK, self.now - self.born + self.period)
        expected = asked * self.s.overload_window_ms * self.s.scheduler_count / len(self.ready[-1])
        served = min(1.0, like.served / like.asked) if like.asked else 0.0
        young = slow_start.Young(warmth, sent, self.now - node.met, expected, served)
        return slow_start.chances(self.s, young, job.ask.units, job.worth / self.usual)

    def take(self, ask: Request) -> None:
        """A request has come: what it is worth, by when, and whether its volume may ask now."""
        if ask.id in self.jobs:
            raise ValueError(f"request {ask.id} was given twice")
        kind, now = self.s.classes[ask.class_index], self.now
        self.taken.append(now)
        for times in (self.taken, self.extra):
            while times and times[0] < now - max(LOOKBACK, self.s.retry_budget_window_ms):
                times.popleft()
        self.longest[ask.class_index] = max(self.longest[ask.class_index], ask.remaining_ms)
        spent = (
            kind.deadline_ms - ask.remaining_ms
            if ask.remaining_ms < self.longest[ask.class_index] - 1
            else 0.0
        )
        name = ask.volume, ask.plan_index  # a client that names another plan spends nothing of this one's
        volume, part = self.volumes.get(name), ask.quota_share or 1 / max(1.0, ask.scheduler_count)
        if volume is None:  # a former life, or its hosts while they were fewer, may have spent the limit
            plan, life = self.s.plans[ask.plan_index], (now - self.born) / 1000
            reserve = self.s.max_units + plan.reservation * part * life
            volume = self.volumes[name] = Volume(plan, part, reserve, 0.0, now)
        if part < volume.part and not ask.quota_share:
            self.out.append(
                Log(f"volume {ask.volume:x} comes through {ask.scheduler_count:g} hosts from now on")
            )
        volume.part = ask.quota_share or min(part, volume.part)
        self.refill(volume)
        reserved = volume.reserve >= ask.units and volume.plan.reservation > 0
        volume.reserve -= ask.units * reserved
        due = min(now + min(kind.latency_objective_ms, ask.remaining_ms), self.until)
        job = Job(
            ask,
            kind,
            volume,
            due,
            min(due, now - spent + kind.latency_objective_ms),
            reserved,
            self.random.random(),
        )
        job.ran = ask.possible_execution
        job.worth = (1.0 if reserved else self.s.share_value) * kind.value * volume.plan.value_factor
        self.usual += (job.worth - self.usual) / len(self.taken)
        self.jobs[ask.id] = job
        if kind.ordered and ask.data_key:
            self.chains.setdefault(ask.data_key, deque()).append(job)
        if (wait := self.short_of_limit(job)) > max(0.0, job.soon - now):
            return self.refuse(job, wait)
        self.find_node(job)

    def find_node(self, job: Job) -> None:
        """Have a node chosen for it at the end of this batch."""
        job.waits = True
        self.limbo.append(job)

    def refill(self, volume: Volume) -> None:
        """Bring the stores of its reservation and its limit up to now."""
        plan, gone = volume.plan, (self.now - volume.at) / 1000 * volume.part
        volume.at = self.now
        most = plan.reservation * volume.part + self.s.max_units
        volume.reserve = min(volume.reserve + plan.reservation * gone, most)
        volume.limit = min(volume.limit + plan.limit * gone, plan.limit_burst * volume.part)

    def short_of_limit(self, job: Job) -> float:
        """Milliseconds until the volume's limit lets this request go: 0 for now, inf for never."""
        volume, plan = job.volume, job.volume.plan
        self.refill(volume)
        if plan.limit <= 0 or job.sent or volume.limit >= job.ask.units:
            return 0.0
        never = job.ask.units > plan.limit_burst * volume.part
        return inf if never else (job.ask.units - volume.limit) / (plan.limit * volume.part) * 1000

    def place(self, job: Job) -> None:
        """Give a job without a node the best one that can serve it, or keep it while one may still come."""
        shard = job.ask.shard
        ready = [n for n in self.ready.get(shard, ()) if self.may_repeat(job, n)]
        if not ready:
            leaving = filter(self.still_takes, self.leaving.get(shard, ()))
            ready = [n for n in leaving if self.may_repeat(job, n)]
        if not ready:
            wait = self.now + 2 * TICK < job.soon and not self.spent(job)
            return self.limbo.append(job) if wait else self.refuse(job)
        # A new object goes where it is served soonest; a silent or cold node is the last choice.
        node = min(
            ready,
            key=lambda n: (
                (warm := self.warmth(n)) < MILD or n.dark < inf or self.bears(job, n)[1] <= job.luck,
                (n.window + n.inflight + len(n.held)) * n.lat / n.window / (1.01 - n.failing) / warm,
                self.random.random(),
            ),
        )
        self.roll(node)
        node.asked += job.ask.units
        if not job.sent and not self.admit(job, node):
            return self.refuse(job, (node.period + 1) * self.period - self.now)
        node.held.append(job)
        self.active[node] = None

    def make_room(self) -> None:
        """Refuse the least worth of what is held while nearly all places for open requests are taken.

        Guards against work that waits for room keeping worthier requests out: each takes a connection.
        """
        if len(self.jobs) <= (most := CROWDED * self.s.max_open_requests):
            return
        excess = sum(not j.over for j in self.jobs.values()) - most
        held = [j for n in self.active for j in n.held] + self.limbo
        idle = sorted((j for j in held if not j.out and not j.over), key=lambda j: (j.worth, -j.due))
        for job in idle[: max(0, ceil(excess))]:
            self.refuse(job)

    def tidy(self) -> None:
        """Forget what the next meeting would find alike, or poorer: volumes at rest, boxes long gone.

        Guards against growing for months with ever-new volumes and boxes.
        """
        if self.now < self.tidied + TIDY:
            return
        self.tidied, late = self.now, self.now - max(TIDY, self.s.overload_window_ms)
        for name, volume in list(self.volumes.items()):
            if volume.at < late:
                self.refill(volume)
                most = volume.plan.reservation * volume.part + self.s.max_units
                if volume.reserve >= most and volume.limit >= volume.plan.limit_burst * volume.part:
                    del self.volumes[name]
        for node in list(self.nodes.values()):
            rests = not node.held and not node.flying and (not node.sends or node.sends[-1][0] < late)
            if node.entry.state is NodeState.GONE and rests:
                del self.nodes[node.entry.node_id]

    def admit(self, job: Job, node: Node) -> bool:
        """The admission test for a volume newly active at this node."""
        volume, admitted = job.ask.volume, self.admitted(node)
        exempt = job.reserved or volume in admitted or volume not in node.sessions or not node.loads
        if not exempt and node.strained and sum(node.loads) / len(node.loads) * (len(admitted) + 1) >= TAU:
            return False
        node.sessions[volume] = self.now
        return True

    def admitted(self, node: Node) -> list[int]:
        """The volumes with a session at this node."""
        return [v for v, t in node.sessions.items() if self.now - t < IDLE * self.period]

    def roll(self, node: Node) -> None:
        """Close the period if it is over: move the budget, note the load for the admission test."""
        like = self.kinds[node.entry.kind]
        kept = 0.5 ** ((self.now - node.faded) / (FADE if node.learnt or not like.served else UNHEARD))
        node.window = like.window + kept * (node.window - like.window)
        node.lat, node.faded = like.lat + kept * (node.lat - like.lat), self.now
        passed = int(self.now // self.period) - node.period
        if passed <= 0:
            return
        node.period += passed
        filled = node.used + self.mean > node.budget
        past_aim = node.late > LATE_SHARE * node.answers
        node.strained = filled and past_aim
        if self.warmth(node) >= 1:  # what this kind serves of what it is asked, by all that were met
            like.asked, like.served = KEEP * like.asked + node.asked, KEEP * like.served + node.served
        node.recent.append(node.served)
        node.sessions = {v: t for v, t in node.sessions.items() if self.now - t < LOOKBACK}
        node.loads.append(node.asked / node.budget / max(1, len(self.admitted(node))))
        node.loads.extend([0.0] * min(passed - 1, int(LOOKBACK / self.period)))
        if filled and node.answers:
            node.budget = max(node.recent) if past_aim else max(node.budget + self.mean, max(node.recent))
        node.budget = min(max(node.budget, FLOOR * self.mean), CEILING * self.mean)
        like.budget += SMOOTH * (node.budget - like.budget)
        node.used = node.served = node.answers = node.late = 0
        node.asked = sum(j.ask.units for j in node.held)

    def room(self, job: Job, node: Node) -> bool:
        """May this node be sent this request now?"""
        units = job.ask.units
        if node.dark < inf:
            return self.now >= node.trial
        if node.used and node.used + units > node.budget:
            return False
        # The in-flight cap for this job: the less it earns and the slower the node answers, the smaller.
        cap = node.window * float((job.worth / self.best) ** (CAP_POWER * node.lat / self.aim))
        spaced = not node.sends or self.now - node.sends[-1][0] >= node.lat * self.mean / cap
        return node.inflight + units <= cap or not node.inflight and spaced  # under one request it spaces

    def turn(self, job: Job, node: Node) -> bool:
        """May this request be sent at all now: repeats, order and limit?"""
        if job.sent:
            return self.may_repeat(job, node) and self.spare_attempt()
        if self.short_of_limit(job):
            return False
        key = job.ask.data_key if job.kind.ordered else 0
        return not key or self.chains[key][0] is job and self.now >= self.rests.get(key, -inf)

    def drain(self, node: Node) -> None:
        """Send held requests by due time while there is room; of what can't be met, shed the least worth."""
        self.roll(node)
        self.look_after(node)
        if node.entry.state is not NodeState.READY and not self.still_takes(node):
            self.limbo += node.held
            node.held = []
        now, blocked, ahead, kept = self.now, -inf, 0.0, list[Job]()
        held, node.held = sorted((j for j in node.held if not j.over), key=lambda j: j.due), []
        for job in held:
            turn, (chance, at_once) = job.worth > blocked and self.turn(job, node), self.bears(job, node)
            # It can't win any more; or has no luck at a young node, where it would only stand before others.
            if now + node.lat / 2 > job.soon or chance <= job.luck and not job.sent:
                self.refuse(job, ahead * node.lat / node.window)
            elif (turn := turn and at_once > job.luck) and self.room(job, node):
                self.send(job, node)
            else:
                blocked = job.worth if turn else blocked  # only worthier work may pass it
                kept.append(job)
                ahead += job.ask.units
                spent = node.used + ahead > node.budget
                wait = max(ahead * node.lat / node.window, spent * ((node.period + 1) * self.period - now))
                if now + wait + node.lat > job.soon:
                    worst = min(reversed(kept), key=lambda j: j.worth)
                    kept.remove(worst)
                    ahead -= worst.ask.units
                    self.refuse(worst, wait)
        node.held = kept

    def send(self, job: Job, node: Node) -> None:
        """Start an attempt there, and count it wherever attempts are counted."""
        now, units, number = self.now, job.ask.units, job.sent
        if number:
            self.extra.append(now)
        elif job.volume.plan.limit > 0:
            job.volume.limit -= units
        job.sent, job.out[number], job.waits = number + 1, node, False
        node.flying[job.ask.id, number] = now, units
        node.inflight += units
        node.used += units
        node.sends.append((now, units))
        while node.sends[0][0] < now - self.s.overload_window_ms:
            node.sends.popleft()
        node.tries += 1
        wait = min(self.silence * 2**node.tries / 2, TRIALS * self.aim)
        node.trial = now + wait * (0.5 + self.random.random())
        # What waits past its aim is worth little and stands before others: it is called off where that helps.
        self.out.append(StartAttempt(job.ask.id, node.entry.node_id, max(1.0, job.soon - now)))

    def look_after(self, node: Node) -> None:
        """Overdue attempts: overtaken by a later one, or out for long where answers get lost.

        They take no room any more and are made again, as answers get lost; slow work is done twice.
        """
        while node.flying:
            (rid, number), (at, units) = next(iter(node.flying.items()))
            patience = max(PATIENCE * self.aim, OVERDUE * node.lat * max(1.0, units / self.mean))
            if self.now - at <= patience or at >= node.overtaken and self.lossy < LOSSY:
                break
            job = self.jobs[rid]
            del node.flying[rid, number]
            node.inflight -= units
            self.lossy += SMOOTH * (1 - self.lossy)
            job.ran = job.ran or (at, node.entry)
            again = not job.over and not job.waits and self.may_try_again(job, node)
            if again and self.s.hedging_allowed:
                self.find_node(job)
            elif again and self.s.cancellation_allowed and self.spare_attempt():
                self.out.append(CancelAttempt(rid, number))
        if node.flying and self.now - max(next(iter(node.flying.values()))[0], node.heard) > self.silence:
            self.darken(node)

    def hear(self, node: Node) -> None:
        """A sign of life: it may be sent work again."""
        node.heard, node.tries = self.now, 0
        if node.dark < inf:
            name = node_name(node.entry.node_id)
            self.out.append(Log(f"node {name} back after {self.now - node.dark:.0f} ms"))
            node.dark = inf

    def darken(self, node: Node) -> None:
        """No sign of life: it gets single trials only, and what may go elsewhere does."""
        if node.dark == inf:
            node.dark, node.tries, node.trial = self.now, 1, self.now + self.silence
            self.limbo += [j for j in node.held if j.ask.shard < 0]  # what may go anywhere moves
            node.held = [j for j in node.held if j.ask.shard >= 0]
            name = node_name(node.entry.node_id)
            self.out.append(Log(f"node {name} silent, {len(node.flying)} attempts out"))

    def answered(self, got: AttemptCompleted) -> None:
        """An attempt has ended: what it tells of its node, and what becomes of its request."""
        job = self.jobs.get(got.request_id)
        if job is None or got.attempt not in job.out:
            return
        node, how = job.out.pop(got.attempt), got.outcome
        sent_at, units = node.flying.pop((got.request_id, got.attempt), (self.now, 0.0))
        node.inflight -= units
        self.roll(node)
        if how in (Outcome.REJECTED, Outcome.NO_CONNECTION, Outcome.RESET):
            node.leaves = -inf
        if how in LINGERS and job.kind.ordered and job.ask.data_key:
            self.rests[job.ask.data_key] = self.now + self.s.order_settle_ms
        if how in LINGERS or how is Outcome.ERROR:
            job.ran = job.ran or (sent_at, node.entry)
        if how in (Outcome.OK, Outcome.ERROR, Outcome.REJECTED):
            node.failing += self.weight(node.heard) * ((how is Outcome.ERROR) - node.failing)
            self.hear(node)
        if how is Outcome.OK:
            # While this host stood still, the answer may have been waiting for it.
            self.learn(node, max(min(node.lat, got.elapsed_ms), got.elapsed_ms - self.late), units)
            node.overtaken = max(node.overtaken, sent_at)
            self.lossy -= SMOOTH * self.lossy
            node.answers += 1
            node.late += self.now > job.due
            node.served += 0.0 if self.now > job.due else units
        elif how is Outcome.NO_CONNECTION and sent_at > node.heard:
            self.darken(node)
        elif how in (Outcome.REJECTED, Outcome.TIMEOUT) and units:
            self.learn(node, max(got.elapsed_ms, self.aim), units)
        elif how is Outcome.RESET and node.heard > sent_at:
            self.lossy += SMOOTH * (1 - self.lossy)
        if got.request_completed or job.over or how is Outcome.OK:
            self.finish(job)
        elif not job.out and not job.waits:
            if how is not Outcome.TIMEOUT and self.may_try_again(job, node):
                self.find_node(job)
            else:
                self.refuse(job)
        self.active[node] = None

    def weight(self, since: float) -> float:
        """How much a new figure counts beside old ones, the last of which came then."""
        return max(SMOOTH, 1 - exp((since - self.now) / NEWS))

    def learn(self, node: Node, took: float, units: float) -> None:
        """Answer time and in-flight cap from an answer: the rarer the news of a node, the more it counts."""
        weight, node.learnt = self.weight(node.learnt), self.now
        node.lat += weight * (max(1.0, took) - node.lat)
        like, ratio = self.kinds[node.entry.kind], took / self.aim / max(1.0, units / self.mean / 2)
        if ratio > TIGHT and self.now - node.eased > max(node.lat, self.aim):
            node.window, node.eased = max(WINDOW_LOW * self.mean, node.window * BACK_OFF), self.now
        elif ratio < CALM and node.inflight + units + self.mean >= node.window / 2:
            grown = node.window + self.mean * units / node.window
            node.window = min(2 * node.window, grown, WINDOW_HIGH * self.mean)
        like.lat += SMOOTH * (took - like.lat)
        like.window += SMOOTH * (node.window - like.window)

    def spent(self, job: Job) -> bool:
        """Rule 2: may this request run nowhere any more?"""
        return job.ran is not None and window_over(job.kind, job.ran[0], self.now)

    def may_repeat(self, job: Job, node: Node) -> bool:
        """Rule 2: may this request run at this node, given what may have run already?"""
        if job.ran is None:
            return True
        at, first = job.ran
        there, here = (first.shard, first.zone), (node.entry.shard, node.entry.zone)
        return may_repeat(job.kind, at, there, self.now, here)

    def may_try_again(self, job: Job, node: Node) -> bool:
        """May it be sent once more, and would it be served in time?"""
        somewhere = job.ask.shard < 0 or self.may_repeat(job, node)
        return somewhere and job.sent < self.s.max_attempts and self.now + node.lat <= job.soon

    def spare_attempt(self) -> bool:
        """Rule 6: does the budget of further attempts allow one now? Asked when it leaves, not queues."""
        since = self.now - self.s.retry_budget_window_ms
        most = self.s.retry_budget_free + self.s.retry_budget_ratio * sum(t > since for t in self.taken)
        return since == self.now or sum(t >= since for t in self.extra) + 1 <= most

    def refuse(self, job: Job, wait: float = inf) -> None:
        """Final answer: refused where a retry is known to be harmless, else failed.

        Given at once, with the wait until there may be room: a client that comes back sooner is in vain.
        """
        job.waits = False
        if job.out:  # an attempt is still out: its outcome decides
            return
        job.volume.reserve += job.ask.units * (job.reserved and not job.sent)
        harmless = job.kind.repeat_safety is RepeatSafety.IDEMPOTENT or not job.ran
        if (
            job.kind.repeat_safety is RepeatSafety.DEDUPLICATED
            and job.kind.deduplication_scope is DeduplicationScope.ALL
            and job.ran
        ):
            harmless = not window_over(job.kind, job.ran[0], self.now)
        advice = min(max(wait, RETURN * self.aim), self.s.max_retry_after_ms)
        self.out.append(Reject(job.ask.id, advice) if harmless else Fail(job.ask.id))
        self.finish(job)

    def finish(self, job: Job) -> None:
        """The request is over: call off what is still out, and forget it once nothing is."""
        if not job.over and self.s.cancellation_allowed:
            self.out.extend(CancelAttempt(job.ask.id, number) for number in job.out)
        job.over = True
        if (
            not job.out
            and self.jobs.pop(job.ask.id, None) is not None
            and job.kind.ordered
            and job.ask.data_key
        ):
            self.chains[job.ask.data_key].remove(job)
            if not self.chains[job.ask.data_key]:
                del self.chains[job.ask.data_key]
