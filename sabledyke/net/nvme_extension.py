"""Extension for NVMe over TCP: the front end for NVMe hosts, and the links to NVMe storage nodes."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING

from sabledyke.application.extensions import Extension, ServerContext
from sabledyke.net.frontend import Frontend
from sabledyke.net.link import Dial
from sabledyke.net.nvme_association import Associations
from sabledyke.net.nvme_frontend import NvmeClientConnection
from sabledyke.net.nvme_link import NvmeDialer
from sabledyke.net.nvme_section import NvmeSection
from sabledyke.policy.nodes import NodeId
from sabledyke.protocol.nvme.blocks import Translator

if TYPE_CHECKING:
    from sabledyke.config import Config
    from sabledyke.operator_config import OperatorConfig


class NvmeExtension(Extension):
    """Serves hosts and connects to storage nodes over NVMe.

    Args:
        context: The server's interface for extensions.
        section: The section ``[nvme]`` of the operator's file.
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
        associations = Associations()
        self._frontend = Frontend(
            "NVMe",
            section.connections,
            lambda frontend, stream: NvmeClientConnection(
                frontend, stream, translator, associations, context.submit, context.on_client_disconnected
            ),
            context.memory_budget,
        )

    def dialers(self) -> dict[NodeId, Dial]:
        """Return the dialer of each NVMe storage node."""
        return dict.fromkeys(self._nqn_by_node, self.dialer.dial)

    def frontends(self) -> Sequence[tuple[Frontend, tuple[str, int]]]:
        """Return the NVMe front end with its address; empty if none is configured."""
        return [(self._frontend, self._section.listen)] if self._section.listen else []

    def apply_config(self, config: Config) -> None:
        """Apply the new settings to the dialer and the translator."""
        self.dialer.settings = self._translator.settings = config.settings

    def on_nodes_removed(self, removed: Iterable[NodeId]) -> None:
        """End the associations with removed nodes, once their requests in flight have ended."""
        for node in removed:
            self.dialer.forget(node)

    async def close(self) -> None:
        """End all associations with storage nodes."""
        self.dialer.close()


def set_up(context: ServerContext, operator: OperatorConfig) -> Extension | None:
    """Return the extension if the operator's file configures NVMe, else None."""
    return NvmeExtension(context, operator.nvme) if operator.nvme.is_configured else None
