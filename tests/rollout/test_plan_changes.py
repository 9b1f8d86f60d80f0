"""Plans that cannot begin, and files that hold no plan."""

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
    ("of", "said"),
    [
        ({"members": ()}, "names nobody"),
        ({"members": ("n0", "n0")}, "twice"),
        ({"members": ("n7",)}, "no such member: n7"),
        ({"max_out": 4}, "from 0 to 3"),
        ({"max_out": -1}, "from 0 to 3"),
        ({"max_out_per_site": -1}, "per_site"),
        ({"max_out_fraction": 1.5}, "share"),
        ({"name": "p"}, "is there already"),
        ({"nodes": ("b0", "b0")}, "names a box twice"),
        ({"nodes": ("b7",)}, "b7: in plan r, which is not over"),
    ],
)
def test_a_plan_that_cannot_be_is_one_plain_error(of: dict[str, Any], said: str) -> None:
    seen = fleet(READY, READY, READY, stage=PlanStage.DONE)
    seen.plans["r"] = Plan("r", (), retiring_site="s9", nodes_removed_next=("b7",))
    with pytest.raises(PlanError, match=said):
        plan_changes.validate(replace(Plan("q", ("n0",)), **of), seen)
    seen.members["n1"] = replace(seen.members["n1"], version="2")
    with pytest.raises(PlanError, match="three versions at once: 1, 2, 3"):
        plan_changes.validate(Plan("q", ("n0",), target="3", previous="2"), seen)


@pytest.mark.parametrize("text", ["", 'name = "a b"', 'name = "p"\nmembers = 3', 'name = "p"\nto = "2"'])
def test_a_plan_file_that_cannot_be_read_is_one_plain_error(text: str, tmp_path: Path) -> None:
    (tmp_path / "plan.toml").write_text(text)
    with pytest.raises(PlanError, match=r"plan\.toml: "):
        plan_file.load_plan(str(tmp_path / "plan.toml"))
