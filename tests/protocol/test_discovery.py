"""Tests of parsing valid and damaged endpoint lists."""

from __future__ import annotations

import contextlib
from dataclasses import replace

import orjson
from hypothesis import given
from hypothesis import strategies as st

from sabledyke.protocol import discovery
from tests.support.generated_bytes import FIXED, damaged
from tests.support.settings import SETTINGS

NODE = {
    "host": "s1",
    "dial": "127.0.0.1:80",
    "site": "b",
    "class": "m",
    "block": 3,
    "health": "ready",
    "share": 1,
    "born_ms": 12,
}
LIST = orjson.dumps({"seq": 4, "whole": False, "hosts": [NODE]})
JSON = st.recursive(st.none() | st.integers(-9, 9) | st.text(max_size=3), st.lists)


@FIXED
@given(st.one_of(damaged(LIST), JSON.map(orjson.dumps)))
def test_a_damaged_list_raises_a_list_error_or_is_parsed(data: bytes) -> None:
    settings = replace(SETTINGS, node_kinds=("m",))
    valid = discovery.parse_listing(LIST, settings)
    assert valid.addresses == {b"s1": ("127.0.0.1", 80)}
    assert valid.update.entries[0].zone == 1
    with contextlib.suppress(discovery.ListError):
        assert discovery.parse_listing(data, settings).update.version is not None
