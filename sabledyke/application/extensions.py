"""The hooks of an optional part: what the server calls, so that it knows each part by one name only.

A part is set up by its own package from its own section of the operator's file (``set_up``), is loaded only
when that section is there, and overrides the hooks it needs. Transports stack in the order in which
``server.PARTS`` names their parts: the first is next to the core, the last next to the pool.
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

Done = Callable[[Answer], None]
Submit = Callable[[ClientRequest, Done], int]


@dataclass(slots=True)
class ServerContext:
    """What a part may use of the server that it is set up in."""

    config: Config
    room: streams.ResponseMemory
    entry: Callable[[NodeId], NodeEntry]  # a listed box
    submit: Submit  # the way to the core, through all parts
    depart: Callable[[int], None]  # the client of a request is gone
    connect: Connect  # the way to a box's address, through all parts
    warm: Callable[[NodeId], None]  # have a connection to a box ahead of need
    ready: Callable[[], bool] = lambda: False  # its listeners take clients
    leaving: Callable[[], bool] = lambda: False  # it was told to end
    reload: Callable[[], str] = lambda: ""  # take on the configuration as SIGHUP does: why not, or ""
    leave: Callable[[], None] = lambda: None  # have it end, as SIGTERM does
    answers: Callable[[], tuple[int, int]] = lambda: (0, 0)  # final answers, and those that served nobody
    busy: Callable[[NodeId], bool] = lambda _: False  # an attempt of this scheduler's is out there
    relist: Callable[[Sequence[NodeEntry]], None] = lambda _: None  # take boxes for what these say
    slack: float = 0.0  # ms that this way may take beyond a connection, as parts before have set it


class Extension:
    """An optional part; every hook does nothing unless it is overridden."""

    waits_for_budget = False  # let in by a budget: the list is asked for at once, and listeners wait for it

    def wrap_report(self, onward: ReportAttempt) -> ReportAttempt:
        """What a transport of this part reports to, given what is above it."""
        return onward

    def wrap_transport(self, inner: Transport) -> Transport:
        """The transport of this part round another."""
        return inner

    def dialers(self) -> dict[NodeId, Dial]:
        """For which boxes this part opens the connections."""
        return {}

    def wrap_connect(self, onward: Connect) -> Connect:
        """What this part makes of connections to boxes."""
        return onward

    def connection_guard(self, front: str) -> Guard | None:
        """What a connection must pass before this front sees it as a client."""
        return None

    def frontends(self) -> Sequence[tuple[Frontend, tuple[str, int]]]:
        """Fronts that it adds, and where each listens."""
        return ()

    def submit(self, work: ClientRequest, done: Done, onward: Submit) -> int:
        """A front hands in work, on its way to the core."""
        return onward(work, done)

    def on_client_disconnected(self, request_id: int) -> None:
        """The client of a request is gone; the core has not been told yet."""

    async def open(self) -> None:
        """Before any listener opens; a ConfigError ends the start in one plain line."""

    def apply_config(self, config: Config) -> None:
        """A new configuration is in force."""

    def check_operator_config(self, operator: OperatorConfig) -> None:
        """The operator's file was read anew: a ConfigError where this part cannot take it on."""

    def apply_operator_config(self, operator: OperatorConfig) -> None:
        """A new operator's file is in force; all parts have found it good."""

    def adjust_endpoint_list(self, news: EndpointList) -> EndpointList:
        """What this part makes of news of the list, before the core learns of them."""
        return news

    def on_nodes_removed(self, gone: Iterable[NodeId]) -> None:
        """These boxes are gone from the list."""

    async def close(self) -> None:
        """All that was taken is answered: the program ends."""
