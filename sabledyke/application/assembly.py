"""Builds the server from its drivers and extensions, and connects them to each other.

Transports stack in a fixed order: the core first, then the extensions in the order of ``EXTENSIONS``, then
the connection pool. Requests and connections pass through the extensions in the same order.
"""

from __future__ import annotations

import asyncio
import functools
import importlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from sabledyke.application.core_driver import CoreDriver
from sabledyke.application.extensions import AnswerCallback, Extension, ServerContext, Submit
from sabledyke.application.resource_limits import apply_resource_limits
from sabledyke.config import Config
from sabledyke.core import ClientRequest, Core, Transport
from sabledyke.net import streams
from sabledyke.net.connection_pool import ConnectionPool, ReportAttempt
from sabledyke.net.endpoint_watch import EndpointWatch
from sabledyke.net.frontend import Frontend
from sabledyke.net.http_frontend import HttpClientConnection
from sabledyke.net.http_link import HttpDialer
from sabledyke.net.link import Connect, Dial, Link, connect_plain
from sabledyke.net.memory_budget import MemoryBudget
from sabledyke.policy.nodes import EndpointList, ListKind, NodeId
from sabledyke.protocol.discovery import Address, EndpointListing
from sabledyke.protocol.gateway import MessageReader
from sabledyke.protocol.request_ids import RequestIds

if TYPE_CHECKING:  # types only: a start without an operator's file must be fast
    from sabledyke.operator_config import OperatorConfig


@dataclass(frozen=True, slots=True)
class ExtensionFactory:
    """Reference to the function that creates an extension; its module is imported only if it is configured.

    Attributes:
        module: Name of the module.
        function: Name of the function, which takes the server's context and the operator's file.
        is_configured: Returns a true value if the operator's file configures the extension.
    """

    module: str
    function: str
    is_configured: Callable[[OperatorConfig], object]

    def load(self, context: ServerContext, operator: OperatorConfig) -> Extension | None:
        """Import the module and create the extension; None if the extension has nothing to do."""
        extension: Extension | None = getattr(importlib.import_module(self.module), self.function)(
            context, operator
        )
        return extension


# The extension next to the core comes first.
EXTENSIONS: tuple[ExtensionFactory, ...] = (
    ExtensionFactory("sabledyke.tls.extension", "set_up", lambda operator: operator.tls),
    ExtensionFactory("sabledyke.store.extension", "set_up", lambda operator: operator.store),
    ExtensionFactory("sabledyke.store.extension", "set_up_boxes", lambda operator: operator.store),
    ExtensionFactory("sabledyke.net.nvme_extension", "set_up", lambda operator: operator.nvme.is_configured),
    ExtensionFactory("sabledyke.lease.extension", "set_up", lambda operator: operator.lease),
    ExtensionFactory("sabledyke.rollout.extension", "set_up", lambda operator: operator.rollout),
    ExtensionFactory("sabledyke.quota_sharing.extension", "set_up", lambda operator: operator.fleet),
)


class ServerControl(Protocol):
    """Operations of the server that extensions and signal handlers may call."""

    @property
    def is_accepting_clients(self) -> bool:
        """True if listeners are open and clients are accepted."""

    @property
    def stop_requested(self) -> bool:
        """True if a shutdown was requested."""

    def reload(self) -> str:
        """Reload the configuration, and return the reason if it was rejected, otherwise an empty string."""

    def begin_shutdown(self, *, planned: bool = False) -> None:
        """Begin a graceful shutdown."""


class Assembly:
    """The components of one server.

    Attributes:
        config: The configuration in force.
        extensions: The extensions, the one next to the core first.
        frontends: The front ends, HTTP first.
        listen_addresses: Listen addresses of the front ends, in the order of ``frontends``.
        list_answered: Set once a call to discovery has ended, with or without a list.
    """

    def __init__(self, config: Config, operator: OperatorConfig | None, control: ServerControl) -> None:
        settings = config.settings
        self.config = config
        self.list_answered = asyncio.Event()
        self.driver = CoreDriver()
        self.watch = self._make_watch(config)
        self.reader = MessageReader(settings)
        self.memory_budget = MemoryBudget(0)
        self.http_dialer = HttpDialer(settings, self.reader, self.memory_budget, self._connect_through_all)
        self.extensions = self._make_extensions(operator, control)
        report = self._chain_reports()
        self.dialers: dict[NodeId, Dial] = {}
        for extension in self.extensions:
            self.dialers.update(extension.dialers())
        self._submit = self._chain_submit()
        self._connect = self._chain_connect()
        self.pool = ConnectionPool(settings, report, 0, self._dial, self.driver.may_send)
        self.core = Core(settings, config.seed, self._chain_transports(), self.watch, self.driver.wake)
        self.driver.core = self.core
        self.frontends: list[Frontend] = []
        self.listen_addresses: list[tuple[str, int]] = []
        self._add_frontends(config)
        self.apply_limits()

    def apply_limits(self) -> None:
        """Divide descriptors and memory according to the configuration in force."""
        apply_resource_limits(self.config, self.frontends, self.pool, self.memory_budget)

    def on_endpoint_list(self, listing: EndpointListing | None) -> None:
        """Pass an endpoint list to the extensions, the core and the pool; None stands for a failed call."""
        self.list_answered.set()
        if listing is None:
            self.core.on_endpoint_list(EndpointList(ListKind.FAILED, 0, ()))
            return
        update = listing.update
        for extension in self.extensions:
            update = extension.adjust_endpoint_list(update)
        self._apply_list(update, listing.addresses)

    def _apply_list(self, update: EndpointList, addresses: dict[NodeId, Address]) -> None:
        removed = self.core.on_endpoint_list(update)
        self.pool.update_addresses(addresses, removed)
        for extension in self.extensions:
            extension.on_nodes_removed(removed)

    def _make_watch(self, config: Config) -> EndpointWatch:
        version = config.known.update.version if config.known else None
        return EndpointWatch(config.discovery, config.settings, version, self.on_endpoint_list, config.seed)

    def _make_extensions(self, operator: OperatorConfig | None, control: ServerControl) -> list[Extension]:
        if operator is None:
            return []
        context = self._make_context(control)
        configured = [factory for factory in EXTENSIONS if factory.is_configured(operator)]
        loaded = [factory.load(context, operator) for factory in configured]
        return [extension for extension in loaded if extension is not None]

    def _make_context(self, control: ServerControl) -> ServerContext:
        """Return the extensions' context; its callables look up members of the server only when called."""
        return ServerContext(
            config=self.config,
            memory_budget=self.memory_budget,
            node_entry=lambda node: self.core.nodes[node],
            submit=lambda request, done: self._submit(request, done),
            on_client_disconnected=self._on_client_disconnected,
            connect=self._connect_through_all,
            preconnect=lambda node: self.pool.preconnect(node),
            is_accepting_clients=lambda: control.is_accepting_clients,
            is_shutting_down=lambda: control.stop_requested,
            reload=control.reload,
            begin_shutdown=lambda: control.begin_shutdown(planned=True),
            answer_totals=lambda: self.core.metrics.answer_totals,
            has_attempts_at=lambda node: self.core.has_attempts_at(node),
            apply_node_entries=lambda entries: self._apply_list(
                EndpointList(ListKind.DELTA, 0, tuple(entries)), {}
            ),
        )

    def _chain_submit(self) -> Submit:
        submit: Submit = self.driver.submit
        for extension in reversed(self.extensions):
            submit = functools.partial(_submit_through, extension, submit)
        return submit

    def _chain_connect(self) -> Connect:
        connect: Connect = connect_plain
        for extension in reversed(self.extensions):
            connect = extension.wrap_connect(connect)
        return connect

    def _chain_reports(self) -> ReportAttempt:
        report: ReportAttempt = self.driver.on_attempt_completed
        for extension in self.extensions:
            report = extension.wrap_report(report)
        return report

    def _chain_transports(self) -> Transport:
        transport: Transport = self.pool
        for extension in reversed(self.extensions):
            transport = extension.wrap_transport(transport)
        return transport

    def _add_frontends(self, config: Config) -> None:
        self._add_frontend(self._make_http_frontend(), config.listen)
        for extension in self.extensions:
            for frontend, address in extension.frontends():
                self._add_frontend(frontend, address)
        for frontend in self.frontends:
            guards = [extension.connection_guard(frontend.name) for extension in self.extensions]
            frontend.guard = next((guard for guard in guards if guard is not None), None)

    def _add_frontend(self, frontend: Frontend, address: tuple[str, int]) -> None:
        self.frontends.append(frontend)
        self.listen_addresses.append(address)

    def _make_http_frontend(self) -> Frontend:
        ids = RequestIds()

        def make(frontend: Frontend, stream: streams.Stream) -> HttpClientConnection:
            return HttpClientConnection(
                frontend, stream, self.reader, ids, self._submit, self._on_client_disconnected
            )

        return Frontend("HTTP", 0, make, self.memory_budget)

    def _on_client_disconnected(self, request_id: int) -> None:
        for extension in self.extensions:
            extension.on_client_disconnected(request_id)
        self.core.on_client_disconnected(request_id)

    async def _connect_through_all(
        self, node: NodeId, address: Address, connect_ms: float, timeout_ms: float
    ) -> streams.Stream:
        return await self._connect(node, address, connect_ms, timeout_ms)

    async def _dial(self, node: NodeId, address: Address, timeout_ms: float) -> Link:
        return await self.dialers.get(node, self.http_dialer.dial)(node, address, timeout_ms)


def _submit_through(
    extension: Extension, onward: Submit, request: ClientRequest, done: AnswerCallback
) -> int:
    return extension.submit(request, done, onward)
