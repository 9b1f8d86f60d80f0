"""Complete settings of a small deployment, as the platform's file has them, for processes of the testbed."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

CLASS_DEFAULTS: dict[str, Any] = {
    "name": "read",
    "aim": 200,
    "hard_limit": 1000,
    "credit": 2,
    "late_worth": 0,
    "semantics": "idempotent",
    "group": "all",
    "window": 0,
    "stream": False,
}
PLAN_DEFAULTS: dict[str, Any] = {
    "name": "base",
    "usual_rate": 5,
    "floor_rate": 0,
    "ceiling_rate": 0,
    "limit_burst": 0,
    "slack": 0,
    "proportion": 1,
    "worth_factor": 1,
}
DEFAULT_SETTINGS: dict[str, Any] = {
    "me": 0,
    "siblings": 1,
    "az": 0,
    "zones": [],
    "kinds": [],
    "tiers": ["stores"],
    "layer": 0,
    "period": 2,
    "weights": "none",
    "discovery": "on_request",
    "family": "stores",
    "clients": {"marks_retry": False},
    "ceilings": {
        "try_limit": 3,
        "second_copies": False,
        "cancel": False,
        "probes": False,
        "peers": False,
        "retry_after": False,
        "max_retry_after": 0,
        "open_cap": 1_000_000,
        "max_streams": 1,
        "connect_timeout": 250,
        "conn_idle": 15_000,
    },
    "family_info": {
        "changes_data": [],
        "usual_units": 2,
        "units_top": 8,
        "n_shards": 1,
        "fair_worth": 0.3,
        "spare_worth": 0.05,
        "young_limit": 20,
        "says_others": False,
        "meter_period": 0,
    },
    "invariants": {
        "answer_slack": 8,
        "ask_every": 10_000,
        "cold_share": 0.25,
        "warm_up": 10_000,
        "fall": 2000,
        "tip_multiple": 0,
        "stop_sending_within": 0,
    },
    "telemetry": {"how": "none", "fields": []},
    "profiles": [CLASS_DEFAULTS],
    "grades": [PLAN_DEFAULTS],
}


def complete_settings(changes: Mapping[str, Any]) -> dict[str, Any]:
    """Return the default settings with changes.

    A table in ``changes`` is merged into the default table; a list of classes or plans replaces the default
    list, and each of its objects is completed with the defaults of a class or a plan.
    """
    settings = {**DEFAULT_SETTINGS, **changes}
    for name, default in DEFAULT_SETTINGS.items():
        if isinstance(default, dict):
            settings[name] = {**default, **settings[name]}
    settings["profiles"] = [{**CLASS_DEFAULTS, **request_class} for request_class in settings["profiles"]]
    settings["grades"] = [{**PLAN_DEFAULTS, **plan} for plan in settings["grades"]]
    return settings
