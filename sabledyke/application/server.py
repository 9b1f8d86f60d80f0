"""The server: one scheduler with the operations that the command line, console and extensions call."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from sabledyke.application.assembly import Assembly
from sabledyke.application.lifecycle import Lifecycle
from sabledyke.application.process_memory import resident_bytes
from sabledyke.application.reload import ReadConfig, ReadOperator, Reloader
from sabledyke.config import Config
from sabledyke.metrics import gauge_line, reason_lines, unresponsive_count
from sabledyke.net.close_reason import CloseReason
from sabledyke.net.console import Console
from sabledyke.protocol.console import ConsoleCall
from sabledyke.shutdown.graceful_shutdown import DEFAULT_TIMES, ShutdownTimes

if TYPE_CHECKING:  # types only: a start without an operator's file must be fast
    from sabledyke.operator_config import OperatorConfig


class Server:
    """One scheduler process with its front ends, console and life cycle.

    Args:
        config: The configuration at the start.
        operator: The operator's file; None if there is none.
        times: Durations of the phases of a graceful shutdown.
        read_config: Reads the configuration for a reload; takes the one in force.
        read_operator: Reads the operator's file for a reload; takes the new settings.
    """

    def __init__(
        self,
        config: Config,
        operator: OperatorConfig | None = None,
        times: ShutdownTimes = DEFAULT_TIMES,
        read_config: ReadConfig = lambda config: config,
        read_operator: ReadOperator | None = None,
    ) -> None:
        self.assembly = Assembly(config, operator, self)
        self.core = self.assembly.core
        self.frontends = self.assembly.frontends
        self.extensions = self.assembly.extensions
        self.pool = self.assembly.pool
        self.watch = self.assembly.watch
        self.console = Console(self._on_console_call) if config.console else None
        self.lifecycle = Lifecycle(self.assembly, self, self.console, times)
        self.listeners = self.lifecycle.listeners
        self.reloader = Reloader(self.assembly, self.listeners, read_config, read_operator)

    @property
    def console_port(self) -> int | None:
        """Port of the console's listener, also if the kernel chose it; None if the console is not open."""
        return self.lifecycle.console_port

    @property
    def is_accepting_clients(self) -> bool:
        """True if listeners are open and neither a drain nor a shutdown is in progress."""
        return self.lifecycle.is_accepting_clients

    @property
    def stop_requested(self) -> bool:
        """True if a shutdown was requested."""
        return self.lifecycle.stop_requested

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully; SIGHUP reloads the configuration."""
        await self.lifecycle.run()

    async def open(self) -> None:
        """Open the extensions.

        Raises:
            ConfigError: An extension cannot be opened.
        """
        await self.lifecycle.open()

    def start(self) -> None:
        """Start watching the endpoint list, and open the listeners."""
        self.lifecycle.start()

    async def finish(self) -> None:
        """Shut down gracefully, and close everything that the server opened."""
        await self.lifecycle.finish()

    def reload(self) -> str:
        """Reload the configuration, and return the reason if it was rejected, otherwise an empty string."""
        return self.reloader.reload()

    def quiesce(self) -> None:
        """Drain clients without stopping the process."""
        self.lifecycle.quiesce()

    def resume(self) -> None:
        """Accept clients again after a drain."""
        self.lifecycle.resume()

    def begin_shutdown(self, *, planned: bool = False) -> None:
        """Begin a graceful shutdown; later calls have no effect."""
        self.lifecycle.begin_shutdown(planned=planned)

    def interrupt(self) -> None:
        """Begin a graceful shutdown; a second call shortens it."""
        self.lifecycle.interrupt()

    def metrics(self) -> list[str]:
        """Return the metrics, one line of text for each."""
        core = self.core
        classes = [
            class_.name
            for class_ in core.settings.classes
            if class_.name not in core.settings.retired_classes
        ]
        unresponsive = unresponsive_count(core.scheduler.nodes.values())
        lines = core.metrics.format_lines(classes, core.unanswered, core.nodes.values(), unresponsive)
        return lines + self._resource_lines()

    def _resource_lines(self) -> list[str]:
        """Return the metrics of connections, memory and the event loop."""
        closed = sum((frontend.closed_connections for frontend in self.frontends), Counter[CloseReason]())
        lateness_s = self.assembly.driver.lateness.longest_s
        return [
            gauge_line("clients", sum(len(frontend.clients) for frontend in self.frontends)),
            gauge_line("node_connections", self.pool.open_connections),
            gauge_line("long_answers", self.pool.long_answer_count),
            gauge_line("resident_bytes", resident_bytes()),
            gauge_line("buffered_bytes", self.assembly.memory_budget.used_bytes),
            gauge_line("longest_lateness_ms", round(lateness_s * 1000)),
            *reason_lines("closed", {reason.value: closed[reason] for reason in CloseReason}),
        ]

    def _on_console_call(self, call: ConsoleCall) -> tuple[int, bytes]:
        """Execute an operator's call, and return the status and body of its answer."""
        match call:
            case ConsoleCall.HEALTH:
                return (200, b"yes\n") if self.is_accepting_clients else (503, b"no\n")
            case ConsoleCall.STATS:
                return 200, "".join(line + "\n" for line in self.metrics()).encode()
            case ConsoleCall.QUIESCE:
                self.quiesce()
            case _:
                self.resume()
        return 200, b"ok\n"
