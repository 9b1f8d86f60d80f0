"""One scheduler as a program: what the command line, the console and extensions may ask of it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sabledyke.application.assembly import Assembly
from sabledyke.application.lifecycle import Lifecycle
from sabledyke.application.reload import ReadConfig, ReadOperator, Reloader
from sabledyke.config import Config
from sabledyke.metrics import unresponsive_count
from sabledyke.net.console import Console
from sabledyke.net.endpoint_watch import Watch
from sabledyke.net.frontend import ROOMY, Front
from sabledyke.net.http_frontend import HttpClient
from sabledyke.net.http_link import HttpDialer
from sabledyke.net.listener import Listener
from sabledyke.policy.nodes import EndpointList, ListKind, NodeId
from sabledyke.policy.settings import Settings
from sabledyke.protocol.console import ConsoleCall
from sabledyke.protocol.discovery import EndpointListing
from sabledyke.protocol.gateway import MessageReader
from sabledyke.protocol.request_ids import RequestIds
from sabledyke.settings import SettingsError, merge
from sabledyke.shutdown.graceful_shutdown import Departure, Phase, Times

if TYPE_CHECKING:  # loaded only where it is named: a plain start must be quick
    from sabledyke.operator_config import OperatorConfig


class Server:
    """One scheduler.

    Args:
        config: The configuration to start with.
        operator: The operator's file, where there is one.
        times: How long each phase of a graceful shutdown takes.
        reread: Reads the configuration again, given the one in force.
        reread_operator: Reads the operator's file again, given the new settings.
    """

    def __init__(
        self,
        config: Config,
        operator: OperatorConfig | None = None,
        times: ShutdownTimes = DEFAULT_TIMES,
        reread: ReadConfig = lambda config: config,
        reread_operator: ReadOperator | None = None,
    ) -> None:
        self.config, self.operator, self._times, self._reread = config, operator, times, reread
        self._reread_operator = reread_operator
        self._loop = asyncio.get_running_loop()
        self._scheduled = False
        self._timer: asyncio.TimerHandle | None = None
        self._stop = asyncio.Event()
        self._departure: Departure | None = None
        self._planned = False  # it leaves by a plan of the fleet
        self._heard = asyncio.Event()  # discovery was called, whatever came of it
        settings, known = config.settings, config.known
        held = known.update.version if known else None
        self.watch = Watch(config.discovery, settings, held, self._listed, config.seed)
        self._reader = MessageReader(settings)
        self._room = streams.Room(0)
        self._http = HttpDialer(settings, self._reader, self._room, self._reach)
        self.parts = self._set_up_parts(operator)
        self._dialers: dict[NodeId, Dial] = {}
        report: Report = self._ended
        self._submit: Submit = self._take
        for part in self.parts:
            report = part.wrap_report(report)
            self._dialers.update(part.dialers())
        self._connect: Connect = plain
        for part in reversed(self.parts):
            self._connect = part.wrap_connect(self._connect)
            self._submit = functools.partial(_through, part, self._submit)
        self.pool = Pool(settings, report, 0, self._dial, self._may_go)
        transport: Transport = self.pool
        for part in reversed(self.parts):
            transport = part.wrap_transport(transport)
        self.core = Core(settings, config.seed, transport, self.watch, self._wake)
        ids = RequestIds()
        http = Front(
            "HTTP",
            0,
            lambda front, stream: HttpClient(front, stream, self._reader, ids, self._submit, self._depart),
            self._room,
        )
        more = [front for part in self.parts for front in part.frontends()]
        self.fronts = [http, *(front for front, _ in more)]
        for front in self.fronts:
            guards = [g for part in self.parts if (g := part.connection_guard(front.name)) is not None]
            front.guard = guards[0] if guards else None
        self._listens = [config.listen, *(listen for _, listen in more)]
        self._share_out(config)
        self.listeners: list[Listener] = []
        self.console = Console(self._call) if config.console else None
        self._console_listener: Listener | None = None

    def _set_up_parts(self, operator: OperatorConfig | None) -> list[Extension]:
        if operator is None:
            return []
        host = ServerContext(
            self.config,
            self._room,
            lambda node: self.core.nodes[node],
            lambda work, done: self._submit(work, done),
            self._depart,
            self._reach,
            lambda node: self.pool.warm(node),
            lambda: self.takes_clients,
            self._stop.is_set,
            self.reload,
            lambda: self.leave(planned=True),
            lambda: self.core.metrics.answer_totals,
            lambda node: self.core.has_attempts_at(node),
            lambda entries: self._learn(EndpointList(ListKind.DELTA, 0, tuple(entries)), {}),
        )
        made = [
            getattr(importlib.import_module(module), name)(host, operator)
            for module, name, asked in PARTS
            if asked(operator)
        ]
        return [part for part in made if part is not None]

    def _share_out(self, config: Config) -> None:
        """Bound connections, and answers on their way, so that descriptors and memory suffice."""
        boxes = (config.sockets - SPARE) // BOXES
        self._room.size = int(config.memory * ANSWERS)
        for front in self.fronts:  # past its deadline a client has given up
            front.reading = max(c.deadline_ms for c in config.settings.classes) / 1000 + READING
        others = sum(front.most for front in self.fronts[1:])
        self.fronts[0].roomy = ROOMY * config.settings.max_open_requests
        self.pool.most, self.fronts[0].most = boxes, config.sockets - SPARE - boxes - others

    async def run(self) -> None:
        """Serve until SIGTERM, then finish what was taken; SIGHUP has the configuration read again."""
        self._loop.add_signal_handler(signal.SIGHUP, self.reload)
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self.leave)
        await self.open()
        if not self._stop.is_set():  # else it was told to end before it took anything
            self._begin()
            if any(part.waits_for_budget for part in self.parts):
                await self._hear()
            self._open_doors()
            gc.collect()
            gc.freeze()  # guards against long collections of what stays for good
        await self._stop.wait()
        await self.finish()

    async def open(self) -> None:
        """Get the optional parts ready; a ConfigError where one cannot be."""
        for part in self.parts:
            await part.open()

    def start(self) -> None:
        """Begin, and open the listeners."""
        self._begin()
        self._open_doors()

    def _begin(self) -> None:
        """Tell the core what is known of the boxes, and have the list asked for."""
        self._listed(self.config.known or EndpointListing(EndpointList(ListKind.CACHED, 0, ()), {}))
        self.watch.start()
        self._turn()

    async def _hear(self) -> None:
        """Ask for the list now, and wait for what comes of it.

        Guards against turning clients away for want of a list, while others of the fleet would serve them.
        Only so many start at once as the budget lets out, so that the calls need not be spread.
        """
        self._heard.clear()
        self.watch.fetch()
        ends = [self._loop.create_task(event.wait()) for event in (self._heard, self._stop)]
        await asyncio.wait(ends, timeout=LISTED, return_when=asyncio.FIRST_COMPLETED)
        for end in ends:
            end.cancel()

    def _open_doors(self) -> None:
        for front, listen in zip(self.fronts, self._listens, strict=True):
            self.listeners.append(Listener(listen, front.accept))
            log.emit("start", f"{self.config.name} serves at {listen[0]}:{self.listeners[-1].port}")
        if self.console is not None and self.config.console is not None:
            self._console_listener = Listener(self.config.console, self.console.accept)
            where = f"{self.config.console[0]}:{self._console_listener.port}"
            log.emit("start", f"{self.config.name} takes operators' calls at {where}")

    @property
    def console_port(self) -> int | None:
        """Where the console listens, also where any port was asked for."""
        return self._lifecycle.console_port

    @property
    def takes_clients(self) -> bool:
        """Whether listeners are open and neither a drain nor a shutdown sends clients away."""
        return self._lifecycle.takes_clients

    @property
    def stop_requested(self) -> bool:
        """Whether the server was told to stop."""
        return self._lifecycle.stop_requested

    async def run(self) -> None:
        """Serve until SIGTERM, then finish what was accepted; SIGHUP has the configuration read again."""
        await self._lifecycle.run()

    async def open(self) -> None:
        """Get the extensions ready; a ConfigError where one cannot be."""
        await self._lifecycle.open()

    def start(self) -> None:
        """Begin to serve."""
        self._lifecycle.start()

    async def finish(self) -> None:
        """Shut down gracefully, and close everything."""
        await self._lifecycle.finish()

    def reload(self) -> str:
        """Take on a new configuration, or none of it: the reason why not, or an empty string."""
        return self._reloader.reload()

    def quiesce(self) -> None:
        """Send clients away, and go on running."""
        self._lifecycle.quiesce()

    def resume(self) -> None:
        """Take clients again."""
        self._lifecycle.resume()

    def leave(self, *, planned: bool = False) -> None:
        """Begin a graceful shutdown; a second call hastens it."""
        self._lifecycle.leave(planned=planned)

    def metrics(self) -> list[str]:
        """Return the metrics in their line form."""
        core = self.core
        classes = [
            class_.name
            for class_ in core.settings.classes
            if class_.name not in core.settings.retired_classes
        ]
        avoiding = unresponsive_count(core.scheduler.nodes.values())
        return core.metrics.format_lines(classes, core.unanswered, core.nodes.values(), avoiding)

    def _call(self, call: ConsoleCall) -> tuple[int, bytes]:
        """An operator's call: its status and body."""
        if call is ConsoleCall.HEALTH:
            return (200, b"yes\n") if self.takes_clients else (503, b"no\n")
        if call is ConsoleCall.STATS:
            return 200, "".join(line + "\n" for line in self.figures()).encode()
        self.quiesce() if call is ConsoleCall.QUIESCE else self.resume()
        return 200, b"ok\n"

    def reload(self) -> str:
        """Take on a new configuration, or none of it and say why; what was taken and learnt stays.

        Guards against ending on SIGHUP with all that was taken, and against half a configuration.
        """
        try:
            new = self._reread(self.config)
            _check_like(self.config.settings, new.settings)
            new = replace(new, settings=merge(self.config.settings, new.settings))
            told = self._reread_operator(new.settings) if self._reread_operator else None
            if told is not None:
                for part in self.parts:
                    part.check_operator_config(told)
            if new.listen != self.config.listen and self.listeners:
                listener = Listener(new.listen, self.fronts[0].accept)
                self.listeners[0].close()
                self.listeners[0] = listener
        except (ConfigError, SettingsError, OSError) as fault:
            self.core.metrics.count_reload(False)
            log.emit("reload", f"the new configuration is not used: {fault}")
            return str(fault)
        self.core.metrics.count_reload(True)
        self.config = new
        self.core.apply_settings(new.settings)
        self._reader.apply_settings(new.settings)
        self._http.settings = self.pool.settings = new.settings
        for part in self.parts:
            part.apply_config(new)
            if told is not None:
                part.apply_operator_config(told)
        self._share_out(new)
        self.watch.adopt(new.discovery, new.settings)
        where = f"discovery at {new.discovery[0]}:{new.discovery[1]}"
        log.emit("reload", f"the new configuration is in force; {where}, {new.sockets} descriptors")
        return ""

    def leave(self, *, planned: bool = False) -> None:
        """Begin to end, by SIGTERM or by a plan of the fleet; told once more, make haste."""
        self._planned |= planned and not self._stop.is_set()
        if not self._stop.is_set():
            log.emit("stop", f"{self.config.name} was told to end; {self.core.unanswered} requests in work")
            self._stop.set()
        elif self._departure is not None:
            log.emit("stop", f"{self.config.name} was told again to end, and makes haste")
            self._departure.hasten(self._loop.time())
            self._end_by(self._departure)

    async def finish(self) -> None:
        """Serve on for as long as the kill leaves time, answer all that was taken, and close."""
        longest = max(c.deadline_ms for c in self.config.settings.classes) / 1000
        plan = Departure(self._loop.time(), longest, self.config.seed, self._times, planned=self._planned)
        self._departure, last = plan, Phase.OPEN
        for front in self.fronts:
            front.departure = plan
        self._end_by(plan)
        closing: list[Listener] = []
        while (phase := plan.phase(self._loop.time() + SETTLE)) is not Phase.OVER:
            if phase is not Phase.OPEN:
                while self.listeners:
                    closing.append(self.listeners.pop())
                    closing[-1].close()
                for front in self.fronts:
                    front.closing = True
            listeners = self.listeners or not all(listener.closed for listener in closing)
            if not listeners and not any(front.clients for front in self.fronts):
                break
            if phase is not last:
                held, owed = sum(len(front.clients) for front in self.fronts), self.core.unanswered
                log.emit("stop", f"{PHASES[phase]}; {held} connections, {owed} requests in work")
                last = phase
            if phase >= Phase.LAST or phase is Phase.PARTING and self._planned:
                for front in self.fronts:
                    front.close_idle(self._loop.time(), LOOK)
            await asyncio.sleep(LOOK)
        for listener in closing:
            listener.give_up()
        await self._settle()
        for front in self.fronts:  # those that stopped halfway, and those that never read
            front.close()
        self.watch.stop()
        self.pool.close()
        if self._console_listener is not None and self.console is not None:
            self._console_listener.close()
            self.console.close()
        for part in self.parts:
            await part.close()
        if self._timer is not None:
            self._timer.cancel()
        broken = ", ".join(f"{name}: {n}" for name, n in invariants.violations.items()) or "none"
        log.emit("stop", f"{self.config.name} has answered all it took; invariants broken: {broken}")

    async def _settle(self) -> None:
        """Read nothing more, and answer what was read last.

        Guards against a close over a request that came in the last moment: it was read, so it is owed an
        answer, and what was not read its client sends once more elsewhere.
        """
        end = self._loop.time() + SETTLE
        for front in self.fronts:
            front.read_no_more()
        while not all(front.settled for front in self.fronts) and self._loop.time() < end:
            self._turn()
            for front in self.fronts:
                front.say_last()
            await asyncio.sleep(SETTLE_LOOK)

    def _end_by(self, plan: Departure) -> None:
        """Have all that is taken answered by the departure's ``until``, on the core's clock."""
        ahead = clock.now() - self._loop.time() * 1000
        self.core.shut_down_by(plan.until * 1000 + ahead, plan.back * 1000 + ahead)
        self._wake()

    async def _reach(
        self, node: NodeId, address: Address, connect_ms: float, patience: float
    ) -> streams.Stream:
        return await self._connect(node, address, connect_ms, patience)

    async def _dial(self, node: NodeId, address: Address, patience: float) -> Link:
        return await self._dialers.get(node, self._http.dial)(node, address, patience)

    def _take(self, work: ClientRequest, done: Done) -> int:
        """The last step of every front's way to the core."""
        return self.core.submit(clock.now(), work, done)

    def _depart(self, rid: int) -> None:
        for part in self.parts:
            part.on_client_disconnected(rid)
        self.core.on_client_disconnected(rid)

    def _listed(self, listing: EndpointListing | None) -> None:
        self._heard.set()
        if listing is None:
            self.core.on_endpoint_list(EndpointList(ListKind.FAILED, 0, ()))
        else:
            news = listing.update
            for part in self.parts:
                news = part.adjust_endpoint_list(news)
            self._learn(news, listing.addresses)

    def _learn(self, news: EndpointList, dials: dict[NodeId, Address]) -> None:
        gone = self.core.on_endpoint_list(news)
        self.pool.learn(dials, gone)
        for part in self.parts:
            part.on_nodes_removed(gone)

    def _ended(self, rid: int, number: int, ended: AttemptResult) -> None:
        self.core.on_attempt_completed(clock.now(), rid, number, ended)

    def _may_go(self, rid: int, number: int) -> bool:
        return self.core.may_write(clock.now(), rid, number)

    def _wake(self) -> None:
        """Events wait: all that comes in this turn of the loop goes to the module as one batch."""
        if not self._scheduled:
            self._scheduled = True
            self._loop.call_soon(self._turn)

    def _turn(self) -> None:
        self._scheduled = False
        now = clock.now()
        self.core.run_batch(now)
        if self._timer is not None:
            self._timer.cancel()
        due = self.core.next_batch_due()
        self._timer = None if due is None else self._loop.call_later(max(0.0, due - now) / 1000, self._turn)


def _through(part: Extension, onward: Submit, work: ClientRequest, done: Done) -> int:
    return part.submit(work, done, onward)


def _check_like(old: Settings, new: Settings) -> None:
    """What open requests and the module's knowledge are counted by must keep its names and places."""
    names = {
        "plans": ([plan.name for plan in old.plans], [plan.name for plan in new.plans]),
        "zones": (old.zones, new.zones),
        "kinds": (old.node_kinds, new.node_kinds),
    }
    for what, (before, after) in names.items():
        if before != after:
            raise ConfigError(f"the names of its {what} differ, which takes a restart")
