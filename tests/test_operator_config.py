"""The operator's file: the example is valid, and invalid files are rejected with the place of the error."""

from __future__ import annotations

from dataclasses import replace

import pytest

from sabledyke import operator_config
from sabledyke.protocol.discovery import ListError
from tests.support.platform_config import ROOT
from tests.support.settings import FREE, READ, SETTINGS, WRITE

EXAMPLE = (ROOT / "deploy" / "operator.example.toml").read_text()
EXAMPLE_DEPLOYMENT = replace(
    SETTINGS,
    classes=(replace(READ, name="lettura"), replace(WRITE, name="scontrino")),
    plans=(replace(FREE, name="base"), replace(FREE, name="cassa-prima")),
)


def test_the_example_file_is_valid() -> None:
    loaded = operator_config.read(EXAMPLE, EXAMPLE_DEPLOYMENT)
    assert loaded.nvme.listen == ("127.0.0.1", 4420)
    assert loaded.nvme.nodes[0].node == b"s-00000001"
    assert loaded.store
    volume = loaded.nvme.volumes[0]
    assert volume.plan_index == 1
    assert volume.write_class == 1
    assert volume.stripe_shards == (0, 3)


@pytest.mark.parametrize(
    ("old", "new", "expected_text"),
    [
        ('"cassa-prima"', '"gold"', "grade"),
        ("namespace = 1", "namespace = 0", "namespace"),
        ("[0, 3]", "[]", "stripe"),
        ("unit_bytes", "unit_byte", "unit_byte"),
        ("5000", "-1", "read_deadline_ms"),
        ('listen = "127.0.0.1:4420"', 'listen = "x"', "address"),
        ("blocks = 2097152", 'blocks = "9"', "blocks"),
        ("[store]", "[stores]", "stores"),
        ('nqn = "nqn.2026-12.example:magazzino-lodi"', "", "nqn"),
    ],
)
def test_an_invalid_file_is_rejected_with_the_place_of_the_fault(
    old: str, new: str, expected_text: str
) -> None:
    assert EXAMPLE.count(old)
    with pytest.raises((operator_config.OperatorError, ListError), match=expected_text):
        operator_config.read(EXAMPLE.replace(old, new, 1), EXAMPLE_DEPLOYMENT)


def test_a_value_of_the_wrong_type_in_a_later_row_is_rejected_with_its_place() -> None:
    rows = [f'[[store.box]]\nhost = "{host}"\npath = {path}\n' for host, path in (("a", '"a.db"'), ("b", 5))]
    with pytest.raises(operator_config.OperatorError, match=r"store\.box\[1\]\.path must be a text, not 5"):
        operator_config.read("".join(rows), EXAMPLE_DEPLOYMENT)
