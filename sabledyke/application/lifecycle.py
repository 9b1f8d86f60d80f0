"""Starts the server, drains it on an operator's request, and stops it."""

from __future__ import annotations

import asyncio
import gc
import signal

from sabledyke import invariants, log
from sabledyke.application.assembly import Assembly, ServerControl
from sabledyke.application.process_memory import MEGABYTE, MemoryWatch
from sabledyke.application.shutdown_driver import ShutdownDriver
from sabledyke.net.console import Console
from sabledyke.net.listener import Listener
from sabledyke.policy.nodes import EndpointList, ListKind
from sabledyke.protocol.discovery import EndpointListing
from sabledyke.shutdown.graceful_shutdown import GracefulShutdown, ShutdownTimes

FIRST_LIST_TIMEOUT_S = 3.0  # longest wait for the endpoint list before the listeners open


class Lifecycle:
    """Manages the listeners and the start, drain and shutdown of the server.

    Attributes:
        listeners: The open listeners for clients, the HTTP listener first.
        times: Durations of the phases of a graceful shutdown.
        shutdown: The graceful shutdown; None before it begins.
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
        self._planned = False  # the shutdown belongs to a plan of the fleet
        self.shutdown: ShutdownDriver | None = None
        self._memory_watch = MemoryWatch(lambda: assembly.config.memory_bytes, self._describe_memory)

    @property
    def stop_requested(self) -> bool:
        """True if a shutdown was requested."""
        return self._stop_event.is_set()

    @property
    def is_accepting_clients(self) -> bool:
        """True if listeners are open and neither a drain nor a shutdown is in progress."""
        if not self.listeners:
            return False
        return not any(frontend.quiesced or frontend.shutting_down for frontend in self._assembly.frontends)

    @property
    def console_port(self) -> int | None:
        """Port of the console's listener, also if the kernel chose it; None if the console is not open."""
        return None if self._console_listener is None else self._console_listener.port

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully; SIGHUP reloads the configuration."""
        self._loop.add_signal_handler(signal.SIGHUP, self._control.reload)
        self._loop.add_signal_handler(signal.SIGTERM, self._control.begin_shutdown)
        self._loop.add_signal_handler(signal.SIGINT, self.interrupt)
        # The start of the process blocks SIGHUP until this handler is set.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, [signal.SIGHUP])
        await self.open()
        if not self.stop_requested:  # A shutdown may be requested before any connection was accepted.
            self._begin()
            if any(extension.waits_for_budget for extension in self._assembly.extensions):
                await self._await_first_list()
            self._open_listeners()
            gc.collect()
            gc.freeze()  # Guards against long collections, which would scan permanent objects each time.
        await self._stop_event.wait()
        await self.finish()

    async def open(self) -> None:
        """Open the extensions.

        Raises:
            ConfigError: An extension cannot be opened.
        """
        for extension in self._assembly.extensions:
            await extension.open()

    def start(self) -> None:
        """Start watching the endpoint list, and open the listeners."""
        self._begin()
        self._open_listeners()

    def quiesce(self) -> None:
        """Drain clients: report unhealthy, close idle connections now and busy ones after their answer."""
        frontends = self._assembly.frontends
        if not frontends[0].quiesced:
            name = self._assembly.config.name
            log.emit(
                "drain", f"{name} drains its clients, {self._assembly.core.unanswered} requests in flight"
            )
        for frontend in frontends:
            frontend.quiesce()

    def resume(self) -> None:
        """Accept clients again after a drain."""
        frontends = self._assembly.frontends
        if frontends[0].quiesced:
            log.emit("drain", f"{self._assembly.config.name} accepts clients again")
        for frontend in frontends:
            frontend.resume()

    def begin_shutdown(self, *, planned: bool = False) -> None:
        """Begin a graceful shutdown; later calls have no effect.

        Guards against supervisors that send SIGTERM more than once: clients use their connections until the
        kill, so ending earlier would reject requests that could still be served.

        Args:
            planned: True if the shutdown belongs to a plan of the fleet, so that other members are
                available to the clients.
        """
        name = self._assembly.config.name
        if not self.stop_requested:
            self._planned = planned
            log.emit(
                "stop", f"{name} begins its shutdown; {self._assembly.core.unanswered} requests in flight"
            )
            self._stop_event.set()
        else:
            log.emit("stop", f"{name} ignores a repeated stop request; its shutdown continues")

    def interrupt(self) -> None:
        """Begin a graceful shutdown on SIGINT; a second call shortens it."""
        self._interrupt_count += 1
        if self._interrupt_count == 1:
            self.begin_shutdown()
        elif self.shutdown is not None:
            log.emit("stop", f"{self._assembly.config.name} was interrupted again and shortens its shutdown")
            self.shutdown.hasten()

    async def finish(self) -> None:
        """Shut down gracefully, and close everything that the server opened."""
        settings = self._assembly.config.settings
        longest_deadline_s = max(class_.deadline_ms for class_ in settings.classes) / 1000
        plan = GracefulShutdown(
            self._loop.time(),
            longest_deadline_s,
            self._assembly.config.seed,
            self.times,
            planned=self._planned,
        )
        self.shutdown = ShutdownDriver(self._assembly, self.listeners, plan, planned=self._planned)
        for extension in self._assembly.extensions:
            extension.on_shutdown(plan)
        await self.shutdown.run()
        await self._close()

    def _begin(self) -> None:
        """Pass the cached endpoint list to the core, and start watching for changes."""
        empty = EndpointListing(EndpointList(ListKind.CACHED, 0, ()), {})
        self._assembly.on_endpoint_list(self._assembly.config.known or empty)
        self._assembly.watch.start()
        self._memory_watch.start()
        self._assembly.driver.run_batch()

    def _describe_memory(self) -> str:
        """Return the connections and buffered bytes, for the log."""
        connections = sum(len(frontend.clients) for frontend in self._assembly.frontends)
        buffered_kb = self._assembly.memory_budget.used_bytes // 1024
        long_answers = self._assembly.pool.long_answer_count
        return f"{connections} clients, {buffered_kb} kB buffered, {long_answers} long answers"

    async def _await_first_list(self) -> None:
        """Request the endpoint list, and wait until the call ends, a shutdown begins or a timeout passes.

        Guards against rejecting clients because no list is available, while other members of the fleet could
        serve them. The disruption budget limits how many members start at once, so the calls need no jitter.
        """
        answered = self._assembly.list_answered
        answered.clear()
        self._assembly.watch.fetch()
        tasks = [self._loop.create_task(event.wait()) for event in (answered, self._stop_event)]
        await asyncio.wait(tasks, timeout=FIRST_LIST_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()

    def _open_listeners(self) -> None:
        config = self._assembly.config
        for frontend, address in zip(self._assembly.frontends, self._assembly.listen_addresses, strict=True):
            listener = Listener(address, frontend.accept, frontend.can_accept)
            self.listeners.append(listener)
            log.emit("start", f"{config.name} serves at {address[0]}:{listener.port}")
        if self._console is not None and config.console is not None:
            self._console_listener = Listener(config.console, self._console.accept)
            console_address = f"{config.console[0]}:{self._console_listener.port}"
            log.emit("start", f"{config.name} serves the console at {console_address}")

    async def _close(self) -> None:
        """Close what the server opened, and log the number of violations of each invariant."""
        self._assembly.watch.stop()
        self._memory_watch.stop()
        log.emit("memory", f"{self._memory_watch.highest_bytes / MEGABYTE:.0f} MB were in use at most")
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
