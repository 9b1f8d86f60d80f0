"""NVMe over TCP as an optional part: the front for its hosts, and the links to boxes that speak it."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING

from sabledyke.application.extensions import Extension, ServerContext
from sabledyke.net.connection_pool import Dial
from sabledyke.net.frontend import Front
from sabledyke.net.nvme_frontend import NvmeClient
from sabledyke.net.nvme_link import NvmeDialer
from sabledyke.policy.nodes import NodeId
from sabledyke.protocol.nvme.blocks import Translator

if TYPE_CHECKING:
    from sabledyke.config import Config
    from sabledyke.operator_config import OperatorConfig


class NvmePart(Extension):
    """See ``parts.Part``."""

    def __init__(self, host: ServerContext, section: OperatorConfig) -> None:
        settings = host.config.settings
        self._section, self._boxes = section, dict(section.boxes)
        translator = self._translator = Translator(settings, section.nqn, section.volumes)
        self.dialer = NvmeDialer(
            settings, translator, self._boxes, section.host_nqn, host.connect, host.slack
        )
        self._front = Front(
            "NVMe",
            section.connections,
            lambda front, stream: NvmeClient(front, stream, translator, host.submit, host.depart),
            host.room,
        )

    def dialers(self) -> dict[NodeId, Dial]:
        """See ``parts.Part``."""
        return dict.fromkeys(self._boxes, self.dialer.dial)

    def frontends(self) -> Sequence[tuple[Front, tuple[str, int]]]:
        """See ``parts.Part``."""
        return [(self._front, self._section.listen)] if self._section.listen else []

    def apply_config(self, config: Config) -> None:
        """See ``parts.Part``."""
        self.dialer.settings = self._translator.settings = config.settings

    def on_nodes_removed(self, gone: Iterable[NodeId]) -> None:
        """See ``parts.Part``."""
        for node in gone:
            self.dialer.forget(node)

    async def close(self) -> None:
        """See ``parts.Part``."""
        self.dialer.close()


def set_up(host: ServerContext, section: OperatorConfig) -> Extension | None:
    """The part, where the operator's file asks for it."""
    return NvmePart(host, section) if section.listen or section.boxes else None
