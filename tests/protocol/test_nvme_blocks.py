"""Tests of the translation between requests and NVMe commands."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from sabledyke import operator_config
from sabledyke.core import Answer, AnswerStatus
from sabledyke.protocol import nvme
from sabledyke.protocol.gateway import MessageReader
from sabledyke.protocol.http import HttpMessage
from sabledyke.protocol.nvme.blocks import Translator
from tests.protocol.support import NQN, REQUEST_HEADERS
from tests.support.generated_bytes import FIXED
from tests.support.settings import SETTINGS

OPERATOR_FILE = """
[[nvme.volume]]
namespace = 5
volume = "9"
grade = "free"
read_class = "read"
write_class = "write"
blocks = 64
stripe = [0]
"""


@FIXED
@given(body=st.binary(max_size=2000), piece=st.integers(0, 7), keyed=st.booleans())
def test_an_http_object_is_read_from_blocks_unchanged(body: bytes, piece: int, *, keyed: bool) -> None:
    translator = Translator(SETTINGS, NQN, operator_config.read(OPERATOR_FILE, SETTINGS).nvme.volumes)
    headers = {**REQUEST_HEADERS, "idempotency-key": "k" * keyed}
    reader = MessageReader(SETTINGS)
    write = reader.read_request(HttpMessage("PUT", f"/api/9/{piece}", headers=headers, body=body))
    command, data = translator.to_node_command(write)
    assert command.start_block == piece * 8
    assert bool(command.idempotency_key) is keyed
    assert len(data) % 512 == 0
    read = reader.read_request(HttpMessage("GET", f"/api/9/{piece}", headers=headers))
    stored = data.ljust(translator.to_node_command(read).command.sgl_length, b"\0")
    assert translator.from_node_completion(read, nvme.Completion(1, 0), stored).body == body
    rejection = translator.to_completion(
        command, Answer(AnswerStatus.REJECTED, retry_after_ms=250)
    ).completion
    assert rejection.status == nvme.Status.NOT_READY
    assert not rejection.do_not_retry
    assert nvme.RETRY_DELAYS_MS[rejection.retry_delay_index - 1] == 300
