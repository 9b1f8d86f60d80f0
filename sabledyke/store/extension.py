"""The store's extensions of the server: the record's transport, and the links to nodes that are databases."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from sabledyke import log
from sabledyke.application.extensions import AnswerCallback, Extension, ServerContext, Submit
from sabledyke.core import ClientRequest, Transport
from sabledyke.net.connection_pool import ReportAttempt
from sabledyke.net.link import Dial
from sabledyke.policy.nodes import NodeId
from sabledyke.store.connect import connect
from sabledyke.store.database_errors import DatabaseError, StoreError
from sabledyke.store.intent_manager import IntentManager
from sabledyke.store.recording_transport import RecordingTransport
from sabledyke.store.section import StoreSection
from sabledyke.store.session import Session
from sabledyke.store.sql_link import SqlDialer

if TYPE_CHECKING:
    from sabledyke.config import Config
    from sabledyke.operator_config import OperatorConfig


def set_up(context: ServerContext, section: OperatorConfig) -> Extension | None:
    """Return the extension for the record, if the operator's file sets one."""
    store = section.store
    return RecordExtension(context, store) if store is not None and store.record is not None else None


def set_up_boxes(context: ServerContext, section: OperatorConfig) -> Extension | None:
    """Return the extension for nodes that are databases, if the operator's file has any."""
    store = section.store
    return SqlExtension(context, store) if store is not None and store.sql_nodes else None


class RecordExtension(Extension):
    """The extension for the record of sends and the receipt journal.

    Attributes:
        recording_transport: The driver of the record.
    """

    def __init__(self, context: ServerContext, section: StoreSection) -> None:
        target = section.record
        assert target is not None
        config = context.config
        intents = IntentManager(config.name, section.limits, config.seed, section.retention_ms)

        async def open_session(timeout_s: float) -> Session:
            return await connect(target, connect_s=timeout_s)

        self.recording_transport = RecordingTransport(
            intents, open_session, config.settings, context.node_entry
        )
        self._target = target

    def wrap_report(self, onward: ReportAttempt) -> ReportAttempt:
        """Insert the recording transport into the reports of attempts."""
        self.recording_transport.report = onward
        return self.recording_transport.on_attempt_completed

    def wrap_transport(self, inner: Transport) -> Transport:
        """Return the recording transport around another."""
        self.recording_transport.inner = inner
        return self.recording_transport

    def submit(self, request: ClientRequest, done: AnswerCallback, onward: Submit) -> int:
        """Pass a request to the core if it can be recorded."""
        return self.recording_transport.submit(request, done, onward)

    def on_client_disconnected(self, request_id: int) -> None:
        """Journal the open write of a client that has disconnected."""
        self.recording_transport.on_client_departed(request_id)

    async def open(self) -> None:
        """Open the record and begin an incarnation.

        Raises:
            StoreError: The database cannot be opened.
        """
        try:
            await self.recording_transport.open()
        except DatabaseError as error:
            raise StoreError(f"store {self._target}: {error}") from error
        position = self.recording_transport.intents.position
        entries = f"{position.last_sequence} entries in the journal"
        log.emit("store", f"{self._target} is open; incarnation {position.incarnation}, {entries}")

    def apply_config(self, config: Config) -> None:
        """Use the settings of a new configuration."""
        self.recording_transport.settings = config.settings

    def answer_remaining(self) -> None:
        """Fail the served writes whose journal entries are not durable at the end of a shutdown."""
        self.recording_transport.fail_pending_answers()

    async def close(self) -> None:
        """Write the remaining entries and close the record."""
        await self.recording_transport.close()


class SqlExtension(Extension):
    """The extension for nodes that are databases.

    Attributes:
        dialer: The dialer that opens links to these nodes.
    """

    def __init__(self, context: ServerContext, section: StoreSection) -> None:
        nodes = {sql_node.node: sql_node for sql_node in section.sql_nodes}
        self.dialer = SqlDialer(context.config.settings, nodes, section.retention_ms)

    def dialers(self) -> dict[NodeId, Dial]:
        """Return the dialer for each node that is a database."""
        return dict.fromkeys(self.dialer.nodes, self.dialer.dial)

    def apply_config(self, config: Config) -> None:
        """Use the settings of a new configuration."""
        self.dialer.settings = config.settings

    def on_nodes_removed(self, gone: Iterable[NodeId]) -> None:
        """Close the sessions of nodes that were removed from the endpoint list."""
        for node in gone:
            self.dialer.on_node_removed(node)

    async def close(self) -> None:
        """Close the sessions of all nodes."""
        self.dialer.close()
