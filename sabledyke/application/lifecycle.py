"""Starts the server, drains it on an operator's request, and stops it."""

from __future__ import annotations

import asyncio
import gc
import signal

from sabledyke import invariants, log
from sabledyke.application.assembly import Assembly, ServerControl
from sabledyke.application.shutdown_driver import ShutdownDriver
from sabledyke.net.console import Console
from sabledyke.net.listener import Listener
from sabledyke.policy.nodes import EndpointList, ListKind
from sabledyke.protocol.discovery import EndpointListing
from sabledyke.shutdown.graceful_shutdown import GracefulShutdown, ShutdownTimes

FIRST_LIST_TIMEOUT_S = 3.0  # for the endpoint list, where listeners wait for it


class Lifecycle:
    """Owns the listeners and the state of start, drain and stop.

    Attributes:
        listeners: The open listeners of clients, HTTP's first.
        times: How long each phase of a graceful shutdown takes.
        shutdown: The graceful shutdown, once it has begun.
    """

    def __init__(
        self, assembly: Assembly, control: ServerControl, console: Console | None, times: ShutdownTimes
    ) -> None:
        self.listeners: list[Listener] = []
        self._assembly = assembly
        self._control = control
        self._console = console
        self._console_listener: Listener | None = None
        self.times = times
        self._loop = asyncio.get_running_loop()
        self._stop_event = asyncio.Event()
        self._interrupt_count = 0
        self._stops_by_plan = False  # by a plan of the group that it belongs to
        self.shutdown: ShutdownDriver | None = None

    @property
    def stop_requested(self) -> bool:
        """Whether the server was told to stop."""
        return self._stop_event.is_set()

    @property
    def is_accepting_clients(self) -> bool:
        """Whether listeners are open and neither a drain nor a shutdown sends clients away."""
        if not self.listeners:
            return False
        return not any(frontend.quiesced or frontend.shutting_down for frontend in self._assembly.frontends)

    @property
    def console_port(self) -> int | None:
        """Where the console listens, also where any port was asked for."""
        return None if self._console_listener is None else self._console_listener.port

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully; SIGHUP reloads the configuration."""
        self._loop.add_signal_handler(signal.SIGHUP, self._control.reload)
        self._loop.add_signal_handler(signal.SIGTERM, self._control.begin_shutdown)
        self._loop.add_signal_handler(signal.SIGINT, self.interrupt)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, [signal.SIGHUP])  # which the start holds back until now
        await self.open()
        if not self.stop_requested:  # else it was told to stop before it accepted anything
            self._begin()
            if any(extension.waits_for_budget for extension in self._assembly.extensions):
                await self._await_first_list()
            self._open_listeners()
            gc.collect()
            gc.freeze()  # guards against long collections of what stays for good
        await self._stop_event.wait()
        await self.finish()

    async def open(self) -> None:
        """Open the extensions; a ConfigError where one cannot be."""
        for extension in self._assembly.extensions:
            await extension.open()

    def start(self) -> None:
        """Begin to watch the endpoint list, and open the listeners."""
        self._begin()
        self._open_listeners()

    def quiesce(self) -> None:
        """Send clients away: health says no, idle connections end now and busy ones with their answer."""
        frontends = self._assembly.frontends
        if not frontends[0].quiesced:
            name = self._assembly.config.name
            log.emit(
                "drain", f"{name} drains its clients, {self._assembly.core.unanswered} requests in flight"
            )
        for frontend in frontends:
            frontend.quiesced = True
            frontend.close_idle(self._loop.time())

    def resume(self) -> None:
        """Take clients again."""
        frontends = self._assembly.frontends
        if frontends[0].quiesced:
            log.emit("drain", f"{self._assembly.config.name} accepts clients again")
        for frontend in frontends:
            frontend.quiesced = False

    def begin_shutdown(self, *, planned: bool = False) -> None:
        """Begin to stop; a later call changes nothing.

        Guards against supervisors that tell it to stop more than once: clients use their connections until
        the kill, so that an earlier end would cost them service.

        Args:
            planned: A plan of the group asks for it, so that others are there for the clients.
        """
        name = self._assembly.config.name
        if not self.stop_requested:
            self._stops_by_plan = planned
            log.emit("stop", f"{name} was told to stop; {self._assembly.core.unanswered} requests in flight")
            self._stop_event.set()
        else:
            log.emit("stop", f"{name} was told again to stop, and goes on as before")

    def interrupt(self) -> None:
        """Begin to stop, as an operator at a terminal asks for; a second call hastens the shutdown."""
        self._interrupt_count += 1
        if self._interrupt_count == 1:
            self.begin_shutdown()
        elif self.shutdown is not None:
            log.emit("stop", f"{self._assembly.config.name} was interrupted again, and hastens its shutdown")
            self.shutdown.hasten()

    async def finish(self) -> None:
        """Shut down gracefully, and close everything."""
        settings = self._assembly.config.settings
        longest_deadline_s = max(class_.deadline_ms for class_ in settings.classes) / 1000
        plan = GracefulShutdown(
            self._loop.time(),
            longest_deadline_s,
            self._assembly.config.seed,
            self.times,
            planned=self._stops_by_plan,
        )
        self.shutdown = ShutdownDriver(self._assembly, self.listeners, plan, planned=self._stops_by_plan)
        for extension in self._assembly.extensions:
            extension.on_shutdown(plan)
        await self.shutdown.run()
        await self._close()

    def _begin(self) -> None:
        """Pass the cached endpoint list to the core, and begin to watch for changes."""
        empty = EndpointListing(EndpointList(ListKind.CACHED, 0, ()), {})
        self._assembly.on_endpoint_list(self._assembly.config.known or empty)
        self._assembly.watch.start()
        self._assembly.driver.run_batch()

    async def _await_first_list(self) -> None:
        """Request the endpoint list, and wait for the answer.

        Guards against turning clients away for want of a list, while others of the group would serve them.
        Only so many start at once as the budget allows, so that the calls need not be spread.
        """
        answered = self._assembly.list_answered
        answered.clear()
        self._assembly.watch.fetch()
        waits = [self._loop.create_task(event.wait()) for event in (answered, self._stop_event)]
        await asyncio.wait(waits, timeout=FIRST_LIST_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()

    def _open_listeners(self) -> None:
        config = self._assembly.config
        for frontend, address in zip(self._assembly.frontends, self._assembly.listen_addresses, strict=True):
            listener = Listener(address, frontend.accept)
            self.listeners.append(listener)
            log.emit("start", f"{config.name} serves at {address[0]}:{listener.port}")
        if self._console is not None and config.console is not None:
            self._console_listener = Listener(config.console, self._console.accept)
            where = f"{config.console[0]}:{self._console_listener.port}"
            log.emit("start", f"{config.name} serves the console at {where}")

    async def _close(self) -> None:
        """Close what the server has opened, and log whether an invariant was broken."""
        self._assembly.watch.stop()
        self._assembly.pool.close()
        if self._console_listener is not None and self._console is not None:
            self._console_listener.close()
            self._console.close()
        for extension in self._assembly.extensions:
            await extension.close()
        self._assembly.driver.cancel_timer()
        self._assembly.driver.rejection_log.report_remaining(self._assembly.core.metrics.rejections)
        broken = ", ".join(f"{name}: {count}" for name, count in invariants.violations.items()) or "none"
        name = self._assembly.config.name
        log.emit("stop", f"{name} has answered all accepted requests; invariants broken: {broken}")
