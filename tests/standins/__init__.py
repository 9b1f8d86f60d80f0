"""Test doubles on loopback: storage nodes for HTTP and NVMe/TCP, discovery, and an NVMe host.

They are implemented from the public specifications and PROTOCOL's tables, independent of the code under test.
"""

from tests.standins.discovery import Discovery
from tests.standins.http_messages import http, read_http, send_request
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
    "http",
    "pdu",
    "read_http",
    "read_pdu",
    "send_request",
]
