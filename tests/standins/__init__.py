"""Stand-ins on loopback: storage nodes that speak HTTP or NVMe/TCP, discovery, and an NVMe host.

Written from the public specifications and PROTOCOL's tables, with nothing of the code that they test.
"""

from tests.standins.discovery import Discovery
from tests.standins.http_messages import ask, http, read_http
from tests.standins.http_node import HttpNode
from tests.standins.nvme_host import NvmeHost
from tests.standins.nvme_node import NQN, NvmeNode
from tests.standins.nvme_pdus import pdu, read_pdu
from tests.standins.service import Reader, Service, Writer

__all__ = [
    "NQN",
    "Discovery",
    "HttpNode",
    "NvmeHost",
    "NvmeNode",
    "Reader",
    "Service",
    "Writer",
    "ask",
    "http",
    "pdu",
    "read_http",
    "read_pdu",
]
