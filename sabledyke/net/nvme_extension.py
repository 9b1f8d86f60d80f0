"""NVMe over TCP as an optional part: the front for its hosts, and the links to boxes that speak it."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING

from sabledyke.application.extensions import Host, Part
from sabledyke.net.connection_pool import Dial
from sabledyke.net.frontend import Front
from sabledyke.net.nvme_frontend import NvmeClient
from sabledyke.net.nvme_link import NvmeDialer
from sabledyke.policy import interface as api
from sabledyke.protocol.nvme.blocks import Translator

if TYPE_CHECKING:
    from sabledyke.config import Config
    from sabledyke.operator_config import Operator


class NvmePart(Part):
    """See ``parts.Part``."""

    def __init__(self, host: Host, section: Operator) -> None:
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

    def dialers(self) -> dict[api.NodeId, Dial]:
        """See ``parts.Part``."""
        return dict.fromkeys(self._boxes, self.dialer.dial)

    def fronts(self) -> Sequence[tuple[Front, tuple[str, int]]]:
        """See ``parts.Part``."""
        return [(self._front, self._section.listen)] if self._section.listen else []

    def adopt(self, config: Config) -> None:
        """See ``parts.Part``."""
        self.dialer.settings = self._translator.settings = config.settings

    def listed(self, gone: Iterable[api.NodeId]) -> None:
        """See ``parts.Part``."""
        for node in gone:
            self.dialer.forget(node)

    async def close(self) -> None:
        """See ``parts.Part``."""
        self.dialer.close()


def set_up(host: Host, section: Operator) -> Part | None:
    """The part, where the operator's file asks for it."""
    return NvmePart(host, section) if section.listen or section.boxes else None
