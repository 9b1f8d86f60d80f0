"""One scheduler as a program: what the command line, the console and extensions may ask of it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sabledyke.application.assembly import Assembly
from sabledyke.application.lifecycle import Lifecycle
from sabledyke.application.reload import ReadConfig, ReadOperator, Reloader
from sabledyke.config import Config
from sabledyke.metrics import unresponsive_count
from sabledyke.net.console import Console
from sabledyke.protocol.console import ConsoleCall
from sabledyke.shutdown.graceful_shutdown import DEFAULT_TIMES, ShutdownTimes

if TYPE_CHECKING:  # loaded only where it is named: a plain start must be quick
    from sabledyke.operator_config import OperatorConfig


class Server:
    """One scheduler.

    Args:
        config: The configuration to start with.
        operator: The operator's file, where there is one.
        times: How long each phase of a graceful shutdown takes.
        read_config: Reads the configuration again, given the one in force.
        read_operator: Reads the operator's file again, given the new settings.
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
        """Where the console listens, also where any port was asked for."""
        return self.lifecycle.console_port

    @property
    def is_accepting_clients(self) -> bool:
        """Whether listeners are open and neither a drain nor a shutdown sends clients away."""
        return self.lifecycle.is_accepting_clients

    @property
    def stop_requested(self) -> bool:
        """Whether the server was told to stop."""
        return self.lifecycle.stop_requested

    async def run(self) -> None:
        """Serve until SIGTERM, then finish what was accepted; SIGHUP has the configuration read again."""
        await self.lifecycle.run()

    async def open(self) -> None:
        """Get the extensions ready; a ConfigError where one cannot be."""
        await self.lifecycle.open()

    def start(self) -> None:
        """Begin to serve."""
        self.lifecycle.start()

    async def finish(self) -> None:
        """Shut down gracefully, and close everything."""
        await self.lifecycle.finish()

    def reload(self) -> str:
        """Take on a new configuration, or none of it: the reason why not, or an empty string."""
        return self.reloader.reload()

    def quiesce(self) -> None:
        """Send clients away, and go on running."""
        self.lifecycle.quiesce()

    def resume(self) -> None:
        """Take clients again."""
        self.lifecycle.resume()

    def begin_shutdown(self, *, planned: bool = False) -> None:
        """Begin a graceful shutdown; a later call changes nothing."""
        self.lifecycle.begin_shutdown(planned=planned)

    def interrupt(self) -> None:
        """Begin a graceful shutdown; a second call hastens it."""
        self.lifecycle.interrupt()

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

    def _on_console_call(self, call: ConsoleCall) -> tuple[int, bytes]:
        """Carry out an operator's call, and return the status and body of its answer."""
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
