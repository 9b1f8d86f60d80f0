"""Settings for benchmarks that run the complete program, with two request classes and one plan."""

from __future__ import annotations

from typing import Any

from tests.support.platform_config import platform_settings

NODE_COUNT = 4
MEMORY_MB = 192
SOCKETS = 1024
READ_CLASS = {
    "name": "read",
    "semantics": "idempotent",
    "aim": 750,
    "hard_limit": 5000,
    "credit": 2,
    "keep_order": False,
}
WRITE_CLASS = {
    "name": "write",
    "semantics": "deduplicated",
    "group": "cell",
    "window": 6000,
    "aim": 1000,
    "hard_limit": 6000,
    "credit": 3,
    "keep_order": False,
}
PLAN_RATE = {"usual_rate": 1000, "floor_rate": 1000}


def settings() -> dict[str, Any]:
    """Return the settings of the platform's configuration file."""
    values = platform_settings()
    base_class = values["profiles"][0]
    values["profiles"] = [base_class | READ_CLASS, base_class | WRITE_CLASS]
    values["family_info"]["changes_data"] = [False, True]
    values["grades"][0] |= PLAN_RATE
    values["siblings"] = 1
    return values


PLAN_NAME: str = settings()["grades"][0]["name"]
