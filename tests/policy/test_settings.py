"""Errors for settings that are out of range."""

from __future__ import annotations

import pytest

from tests.support.scheduler_rig import SchedulerRig


@pytest.mark.parametrize(
    ("field", "name", "value"),
    [
        ("scheduler_count", "hosts", 0),
        ("mean_units", "mean_units", -1.0),
        ("slow_start_fraction", "cold_share", 1.5),
    ],
)
def test_the_error_for_a_setting_out_of_range_names_the_setting(field: str, name: str, value: float) -> None:
    with pytest.raises(ValueError, match=f"setting {name} must be"):
        SchedulerRig(**{field: value})
