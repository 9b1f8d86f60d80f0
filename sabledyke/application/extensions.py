"""The interface between the server and its extensions: hooks that the server calls, and their context.

The ``set_up`` function of a package creates its extension from a section of the operator's file, and is
loaded only if that section exists. An extension overrides the hooks it needs. Transports stack in the order
of ``assembly.EXTENSIONS``: the first is next to the core, the last next to the connection pool.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sabledyke.core import Answer, ClientRequest, Transport
from sabledyke.net.connection_pool import ReportAttempt
from sabledyke.net.link import Connect, Dial
from sabledyke.policy.nodes import EndpointList, NodeEntry, NodeId

if TYPE_CHECKING:
    from sabledyke.config import Config
    from sabledyke.net.frontend import Frontend, Guard
    from sabledyke.net.memory_budget import MemoryBudget
    from sabledyke.operator_config import OperatorConfig
    from sabledyke.shutdown.graceful_shutdown import GracefulShutdown

AnswerCallback = Callable[[Answer], None]
Submit = Callable[[ClientRequest, AnswerCallback], int]


def _never() -> bool:
    return False


def _reload_nothing() -> str:
    return ""


def _do_nothing() -> None:
    pass


def _no_answers() -> tuple[int, int]:
    return 0, 0


def _no_attempts_at(_: NodeId) -> bool:
    return False


def _ignore_entries(_: Sequence[NodeEntry]) -> None:
    pass


@dataclass(slots=True)
class ServerContext:
    """The interface of the server that an extension may use.

    Attributes:
        config: The configuration at the start.
        memory_budget: The memory that all requests and answers share.
        node_entry: Returns the list entry of a node; raises KeyError for a node that is not listed.
        submit: Passes a request to the core, through all extensions.
        on_client_disconnected: Notifies all extensions and the core that a request's client disconnected.
        connect: Connects to a node's address, through all extensions.
        preconnect: Opens a connection to a node before a request needs it.
        is_accepting_clients: Returns whether listeners are open and clients are accepted.
        is_shutting_down: Returns whether a shutdown was requested.
        reload: Reloads the configuration as SIGHUP does; returns the reason if it was rejected, otherwise an
            empty string.
        begin_shutdown: Begins a graceful shutdown that belongs to a plan of the fleet.
        answer_totals: Returns the number of final answers, and how many of them were rejections or failures.
        has_attempts_at: Returns whether an attempt of this scheduler is in flight at a node.
        apply_node_entries: Replaces the listed entries of some nodes.
        connect_slack_ms: Milliseconds that ``connect`` may take beyond a plain connection; set by extensions
            that are set up earlier.
    """

    config: Config
    memory_budget: MemoryBudget
    node_entry: Callable[[NodeId], NodeEntry]
    submit: Submit
    on_client_disconnected: Callable[[int], None]
    connect: Connect
    preconnect: Callable[[NodeId], None]
    is_accepting_clients: Callable[[], bool] = _never
    is_shutting_down: Callable[[], bool] = _never
    reload: Callable[[], str] = _reload_nothing
    begin_shutdown: Callable[[], None] = _do_nothing
    answer_totals: Callable[[], tuple[int, int]] = _no_answers
    has_attempts_at: Callable[[NodeId], bool] = _no_attempts_at
    apply_node_entries: Callable[[Sequence[NodeEntry]], None] = _ignore_entries
    connect_slack_ms: float = 0.0


class Extension:
    """An optional component of the server; every hook does nothing unless it is overridden.

    Attributes:
        waits_for_budget: True if a disruption budget admits this process. The server then requests the
            endpoint list at once, and opens its listeners when the call has ended or a timeout has passed.
    """

    waits_for_budget = False

    def wrap_report(self, onward: ReportAttempt) -> ReportAttempt:
        """Return the callback for outcomes of attempts, given the callback that it passes them on to."""
        return onward

    def wrap_transport(self, inner: Transport) -> Transport:
        """Return this extension's transport, which wraps another."""
        return inner

    def dialers(self) -> dict[NodeId, Dial]:
        """Return the dial functions of the nodes whose connections this extension opens."""
        return {}

    def wrap_connect(self, onward: Connect) -> Connect:
        """Return the connect function of this extension, given the one that it wraps."""
        return onward

    def connection_guard(self, _front: str) -> Guard | None:
        """Return the guard that admits connections to a front end, or None to admit all."""
        return None

    def frontends(self) -> Sequence[tuple[Frontend, tuple[str, int]]]:
        """Return the front ends that this extension adds, with their listen addresses."""
        return ()

    def submit(self, request: ClientRequest, done: AnswerCallback, onward: Submit) -> int:
        """Pass a request from a front end on to the core, and return its id."""
        return onward(request, done)

    def on_client_disconnected(self, request_id: int) -> None:
        """Handle the disconnection of a request's client, before the core is notified."""

    async def open(self) -> None:
        """Open what this extension needs, before any listener opens.

        Raises:
            ConfigError: Opening failed; the start ends and prints the error in one line.
        """

    def apply_config(self, config: Config) -> None:
        """Apply a new configuration, which is in force."""

    def check_operator_config(self, operator: OperatorConfig) -> None:
        """Check a new operator's file before any of it is applied.

        Raises:
            ConfigError: This extension cannot apply it.
        """

    def apply_operator_config(self, operator: OperatorConfig) -> None:
        """Apply a new operator's file, which all extensions have checked."""

    def adjust_endpoint_list(self, update: EndpointList) -> EndpointList:
        """Return the update of the endpoint list that is passed on to the core."""
        return update

    def on_nodes_removed(self, removed: Iterable[NodeId]) -> None:
        """Handle the removal of nodes from the endpoint list."""

    def on_shutdown(self, plan: GracefulShutdown) -> None:
        """Handle the begin of a graceful shutdown; ``close`` follows when the plan is completed."""

    def answer_remaining(self) -> None:
        """Give each answer that this extension holds back; called repeatedly at the end of a shutdown.

        A later answer could not reach its client, because the connections are about to close.
        """

    async def close(self) -> None:
        """Close what ``open`` opened, after all accepted requests were answered."""
