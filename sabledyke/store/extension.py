"""Where the store is set up: the record's transport, and the links to boxes that are databases."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from sabledyke import log
from sabledyke.application.extensions import Done, Extension, ServerContext, Submit
from sabledyke.core import ClientRequest, Transport
from sabledyke.net.connection_pool import Dial, Report
from sabledyke.policy.nodes import NodeId
from sabledyke.store.connect import connect
from sabledyke.store.database_errors import StoreError, StoreFault
from sabledyke.store.intent_manager import Keeper
from sabledyke.store.recording_transport import Recorder
from sabledyke.store.section import Section
from sabledyke.store.session import Session
from sabledyke.store.sql_link import SqlDialer

if TYPE_CHECKING:
    from sabledyke.config import Config
    from sabledyke.operator_config import OperatorConfig


class RecordPart(Extension):
    """The record of sends and the receipt journal."""

    def __init__(self, host: ServerContext, section: Section) -> None:
        assert section.record is not None
        self._target, config = section.record, host.config
        keeper = Keeper(config.name, section.limits, config.seed, section.kept)
        target = self._target

        async def opener(seconds: float) -> Session:
            return await connect(target, connect_s=seconds)

        self.recorder = Recorder(keeper, opener, config.settings, host.entry)

    def wrap_report(self, onward: Report) -> Report:
        """See ``parts.Part``."""
        self.recorder.report = onward
        return self.recorder.ended

    def wrap_transport(self, inner: Transport) -> Transport:
        """See ``parts.Part``."""
        self.recorder.inner = inner
        return self.recorder

    def submit(self, work: ClientRequest, done: Done, onward: Submit) -> int:
        """See ``parts.Part``."""
        return self.recorder.submit(work, done, onward)

    def on_client_disconnected(self, rid: int) -> None:
        """See ``parts.Part``."""
        self.recorder.departed(rid)

    async def open(self) -> None:
        """See ``parts.Part``."""
        try:
            await self.recorder.open()
        except StoreFault as fault:
            raise StoreError(f"store {self._target}: {fault}") from None
        position = self.recorder.keeper.position
        entries = f"{position.seq} entries in the journal"
        log.emit("store", f"{self._target} is open; life {position.life}, {entries}")

    def apply_config(self, config: Config) -> None:
        """See ``parts.Part``."""
        self.recorder.settings = config.settings

    async def close(self) -> None:
        """See ``parts.Part``."""
        await self.recorder.close()


class SqlPart(Extension):
    """Boxes that are databases."""

    def __init__(self, host: ServerContext, section: Section) -> None:
        self.dialer = SqlDialer(host.config.settings, {b.node: b for b in section.boxes}, section.kept)

    def dialers(self) -> dict[NodeId, Dial]:
        """See ``parts.Part``."""
        return dict.fromkeys(self.dialer.boxes, self.dialer.dial)

    def apply_config(self, config: Config) -> None:
        """See ``parts.Part``."""
        self.dialer.settings = config.settings

    def on_nodes_removed(self, gone: Iterable[NodeId]) -> None:
        """See ``parts.Part``."""
        for node in gone:
            self.dialer.forget(node)

    async def close(self) -> None:
        """See ``parts.Part``."""
        self.dialer.close()


def set_up(host: ServerContext, section: OperatorConfig) -> Extension | None:
    """The record, where the operator's file asks for it."""
    store = section.store
    return RecordPart(host, store) if store is not None and store.record is not None else None


def set_up_boxes(host: ServerContext, section: OperatorConfig) -> Extension | None:
    """The links to databases, where the operator's file marks boxes as such."""
    store = section.store
    return SqlPart(host, store) if store is not None and store.boxes else None
