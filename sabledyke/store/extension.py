"""Where the store is set up: the record's transport, and the links to nodes that are databases."""

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
    """Return the record, where the operator's file asks for it."""
    store = section.store
    return RecordExtension(context, store) if store is not None and store.record is not None else None


def set_up_boxes(context: ServerContext, section: OperatorConfig) -> Extension | None:
    """Return the links to databases, where the operator's file marks nodes as such."""
    store = section.store
    return SqlExtension(context, store) if store is not None and store.sql_nodes else None


class RecordExtension(Extension):
    """The record of sends and the receipt journal.

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
        """See ``Extension``."""
        self.recording_transport.report = onward
        return self.recording_transport.on_attempt_completed

    def wrap_transport(self, inner: Transport) -> Transport:
        """See ``Extension``."""
        self.recording_transport.inner = inner
        return self.recording_transport

    def submit(self, request: ClientRequest, done: AnswerCallback, onward: Submit) -> int:
        """See ``Extension``."""
        return self.recording_transport.submit(request, done, onward)

    def on_client_disconnected(self, request_id: int) -> None:
        """See ``Extension``."""
        self.recording_transport.on_client_departed(request_id)

    async def open(self) -> None:
        """See ``Extension``."""
        try:
            await self.recording_transport.open()
        except DatabaseError as error:
            raise StoreError(f"store {self._target}: {error}") from error
        position = self.recording_transport.intents.position
        entries = f"{position.last_sequence} entries in the journal"
        log.emit("store", f"{self._target} is open; incarnation {position.incarnation}, {entries}")

    def apply_config(self, config: Config) -> None:
        """See ``Extension``."""
        self.recording_transport.settings = config.settings

    async def close(self) -> None:
        """See ``Extension``."""
        await self.recording_transport.close()


class SqlExtension(Extension):
    """Nodes that are databases.

    Attributes:
        dialer: What opens the links to them.
    """

    def __init__(self, context: ServerContext, section: StoreSection) -> None:
        nodes = {sql_node.node: sql_node for sql_node in section.sql_nodes}
        self.dialer = SqlDialer(context.config.settings, nodes, section.retention_ms)

    def dialers(self) -> dict[NodeId, Dial]:
        """See ``Extension``."""
        return dict.fromkeys(self.dialer.nodes, self.dialer.dial)

    def apply_config(self, config: Config) -> None:
        """See ``Extension``."""
        self.dialer.settings = config.settings

    def on_nodes_removed(self, gone: Iterable[NodeId]) -> None:
        """See ``Extension``."""
        for node in gone:
            self.dialer.on_node_removed(node)

    async def close(self) -> None:
        """See ``Extension``."""
        self.dialer.close()
