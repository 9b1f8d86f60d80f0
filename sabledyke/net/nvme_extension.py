"""NVMe over TCP as an extension: the front end for its hosts, and the links to nodes that speak it."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING

from sabledyke.application.extensions import Extension, ServerContext
from sabledyke.net.frontend import Frontend
from sabledyke.net.link import Dial
from sabledyke.net.nvme_frontend import NvmeClientConnection
from sabledyke.net.nvme_link import NvmeDialer
from sabledyke.net.nvme_section import NvmeSection
from sabledyke.policy.nodes import NodeId
from sabledyke.protocol.nvme.blocks import Translator

if TYPE_CHECKING:
    from sabledyke.config import Config
    from sabledyke.operator_config import OperatorConfig


class NvmeExtension(Extension):
    """Serves hosts and reaches storage nodes over NVMe; see ``application.extensions.Extension``.

    Args:
        host: What the server offers to its extensions.
        section: The section ``[nvme]``.
    """

    def __init__(self, context: ServerContext, section: NvmeSection) -> None:
        settings = context.config.settings
        self._section = section
        self._nqn_by_node = dict(section.nodes)
        translator = Translator(settings, section.nqn, section.volumes)
        self._translator = translator
        self.dialer = NvmeDialer(
            settings,
            translator,
            self._nqn_by_node,
            section.host_nqn,
            context.connect,
            context.connect_slack_ms,
        )
        self._frontend = Frontend(
            "NVMe",
            section.connections,
            lambda frontend, stream: NvmeClientConnection(
                frontend, stream, translator, context.submit, context.on_client_disconnected
            ),
            context.response_memory,
        )

    def dialers(self) -> dict[NodeId, Dial]:
        """See ``application.extensions.Extension``."""
        return dict.fromkeys(self._nqn_by_node, self.dialer.dial)

    def frontends(self) -> Sequence[tuple[Frontend, tuple[str, int]]]:
        """See ``application.extensions.Extension``."""
        return [(self._frontend, self._section.listen)] if self._section.listen else []

    def apply_config(self, config: Config) -> None:
        """See ``application.extensions.Extension``."""
        self.dialer.settings = self._translator.settings = config.settings

    def on_nodes_removed(self, gone: Iterable[NodeId]) -> None:
        """See ``application.extensions.Extension``."""
        for node in gone:
            self.dialer.forget(node)

    async def close(self) -> None:
        """See ``application.extensions.Extension``."""
        self.dialer.close()


def set_up(context: ServerContext, operator: OperatorConfig) -> Extension | None:
    """Return the extension, where the operator's file asks for it."""
    return NvmeExtension(context, operator.nvme) if operator.nvme.is_configured else None
