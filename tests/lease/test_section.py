"""Tests of the operator's section ``[lease]``."""

from __future__ import annotations

from typing import Any

import pytest

from sabledyke.errors import OperatorError
from sabledyke.lease import section
from sabledyke.protocol.discovery import ListError
from tests.lease.support import CALL

GOOD: dict[str, Any] = {"path": "l", "duty": [CALL]}


@pytest.mark.parametrize(
    ("change", "said"),
    [
        ({"etcd": ["h:1"]}, "either path"),
        ({"path": ""}, "either path"),
        ({"path": "", "etcd": ["nowhere"]}, "no address"),
        ({"path": "", "etcd": ["h:1"], "ttl_ms": 2500}, "whole seconds"),
        ({"margin_ms": 2500}, "renew_ms must be from 10 to half"),
        ({"drift": 0.5}, "lease.drift must be a number <= 0.2, not 0.5"),
        ({"duty": [CALL, CALL]}, "same name"),
        ({"duty": [{"name": "d", "kind": "audit", "every_s": 1}]}, "audit requires a record"),
        ({"duty": [CALL | {"name": "a/b"}]}, "name must be"),
        ({"duty": [CALL | {"url": "ftp://h:1/"}]}, "must begin with http"),
        ({"clock": {"rate": 9}}, "lease.clock.rate"),
        ({"more": 1}, "lease.more is not known"),
    ],
)
def test_an_invalid_section_is_reported_as_a_single_line(change: dict[str, Any], said: str) -> None:
    assert section.read(GOOD, None) is not None
    with pytest.raises((OperatorError, ListError)) as error:
        section.read(GOOD | change, None)
    assert said in str(error.value)
    assert "\n" not in str(error.value)
