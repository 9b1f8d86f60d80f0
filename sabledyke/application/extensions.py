"""The hooks of an extension: what the server calls, so that it knows each extension by one name only.

An extension is set up by its own package from its own section of the operator's file (``set_up``), is loaded
only when that section is there, and overrides the hooks it needs. Transports stack in the order in which
``assembly.EXTENSIONS`` names their extensions: the first is next to the core, the last next to the pool.
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
    from sabledyke.net import streams
    from sabledyke.net.frontend import Frontend, Guard
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
    """What an extension may use of the server that it is set up in.

    Attributes:
        config: The configuration at the start.
        response_memory: The memory that all responses share.
        node_entry: Returns a listed node's entry; a KeyError for any other.
        submit: Passes a request to the core, through all extensions.
        on_client_disconnected: Tells the core and all extensions that a request's client has left.
        connect: Connects to a node's address, through all extensions.
        preconnect: Opens a connection to a node ahead of need.
        is_accepting_clients: Whether the listeners take clients.
        is_shutting_down: Whether the server was told to end.
        reload: Applies the configuration as SIGHUP does; returns why it was rejected, or an empty string.
        begin_shutdown: Ends the server as SIGTERM does.
        answer_totals: Returns the number of final answers, and how many of them were rejections or failures.
        has_attempts_at: Whether an attempt of this scheduler is in flight at a node.
        apply_node_entries: Replaces the listed entries of some nodes.
        connect_slack_ms: Milliseconds that ``connect`` may take beyond a plain connection, as set by the
            extensions before.
    """

    config: Config
    response_memory: streams.ResponseMemory
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
    """An optional part of the server; every hook does nothing unless it is overridden.

    Attributes:
        waits_for_budget: A disruption budget admits this process: the endpoint list is requested at once,
            and the listeners wait until the budget has admitted it.
    """

    waits_for_budget = False

    def wrap_report(self, onward: ReportAttempt) -> ReportAttempt:
        """Return what this extension's transport reports to, given what is above it."""
        return onward

    def wrap_transport(self, inner: Transport) -> Transport:
        """Return the transport of this extension around another."""
        return inner

    def dialers(self) -> dict[NodeId, Dial]:
        """Return the nodes whose connections this extension opens, and how."""
        return {}

    def wrap_connect(self, onward: Connect) -> Connect:
        """Return how this extension connects to nodes, given the plain way."""
        return onward

    def connection_guard(self, _front: str) -> Guard | None:
        """Return what a connection must pass before this front end sees it as a client; None for nothing."""
        return None

    def frontends(self) -> Sequence[tuple[Frontend, tuple[str, int]]]:
        """Return the front ends that it adds, and where each listens."""
        return ()

    def submit(self, work: ClientRequest, done: AnswerCallback, onward: Submit) -> int:
        """Pass a request from a front end on towards the core; return its number."""
        return onward(work, done)

    def on_client_disconnected(self, request_id: int) -> None:
        """The client of a request has left; the core has not been notified yet."""

    async def open(self) -> None:
        """Open what this extension needs, before any listener opens.

        Raises:
            ConfigError: Where that fails; it ends the start in one plain line.
        """

    def apply_config(self, config: Config) -> None:
        """A new configuration is in force."""

    def check_operator_config(self, operator: OperatorConfig) -> None:
        """Check a new operator's file before any of it is applied.

        Raises:
            ConfigError: Where this extension cannot apply it.
        """

    def apply_operator_config(self, operator: OperatorConfig) -> None:
        """A new operator's file is in force; all extensions have checked it."""

    def adjust_endpoint_list(self, update: EndpointList) -> EndpointList:
        """Return what the core is given for an update of the endpoint list."""
        return update

    def on_nodes_removed(self, removed: Iterable[NodeId]) -> None:
        """These nodes have left the endpoint list."""

    def on_shutdown(self, plan: GracefulShutdown) -> None:
        """The program was told to end, and serves on until the plan is completed; ``close`` follows then."""

    async def close(self) -> None:
        """Close what ``open`` opened: the program ends, and all that was accepted is answered."""
