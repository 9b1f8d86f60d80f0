"""Stored names of records: every field has a unique one."""

from __future__ import annotations

from dataclasses import fields

import pytest

from sabledyke.rollout.record_codec import KEY_PREFIXES, STORED_NAMES
from sabledyke.rollout.records import Epoch, Record


def test_every_kind_of_record_has_a_key_and_stored_names() -> None:
    assert set(STORED_NAMES) == {*KEY_PREFIXES, Epoch}


@pytest.mark.parametrize("record_type", list(STORED_NAMES))
def test_every_field_but_the_offset_is_stored_under_a_name_of_its_own(record_type: type[Record]) -> None:
    names = STORED_NAMES[record_type]
    assert list(names) == [field.name for field in fields(record_type) if field.name != "offset"]
    assert len(set(names.values())) == len(names)
