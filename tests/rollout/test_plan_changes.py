"""Invalid plans and invalid plan files."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from sabledyke.errors import PlanError
from sabledyke.rollout import (
    plan_changes,
    plan_file,
)
from sabledyke.rollout.records import (
    Plan,
    PlanStage,
)
from tests.rollout.support import READY, fleet


@pytest.mark.parametrize(
    ("of", "message"),
    [
        ({"members": ()}, "names neither members nor storage nodes"),
        ({"members": ("n0", "n0")}, "twice"),
        ({"members": ("n7",)}, "no such member: n7"),
        ({"max_out": 4}, "from 0 to 3"),
        ({"max_out": -1}, "from 0 to 3"),
        ({"max_out_per_site": -1}, "per_site"),
        ({"max_out_fraction": 1.5}, "share"),
        ({"name": "p"}, "plan p exists already"),
        ({"nodes": ("b0", "b0")}, "names a storage node twice"),
        ({"nodes": ("b7",)}, "b7: in plan r, which has not ended"),
    ],
)
def test_an_invalid_plan_is_rejected_with_one_error(of: dict[str, Any], message: str) -> None:
    view = fleet(READY, READY, READY, stage=PlanStage.DONE)
    view.plans["r"] = Plan("r", (), retiring_site="s9", nodes_removed_next=("b7",))
    with pytest.raises(PlanError, match=message):
        plan_changes.validate(replace(Plan("q", ("n0",)), **of), view)
    view.members["n1"] = replace(view.members["n1"], version="2")
    with pytest.raises(PlanError, match="three versions at once: 1, 2, 3"):
        plan_changes.validate(Plan("q", ("n0",), target="3", previous="2"), view)


@pytest.mark.parametrize("text", ["", 'name = "a b"', 'name = "p"\nmembers = 3', 'name = "p"\nto = "2"'])
def test_an_invalid_plan_file_is_rejected_with_one_error(text: str, tmp_path: Path) -> None:
    (tmp_path / "plan.toml").write_text(text)
    with pytest.raises(PlanError, match=r"plan\.toml: "):
        plan_file.load_plan(str(tmp_path / "plan.toml"))
