"""Deployment settings that a fleet, its storage nodes and its clients share."""

from __future__ import annotations

from typing import Any

from sabledyke.testbed.platform_settings import PLAN_DEFAULTS

SHARD_COUNT = 4
LATENCY_OBJECTIVE_MS = 300
DEADLINE_MS = 1000
DEDUPLICATION_WINDOW_MS = 2000

# The protocol's slow-start rule: a storage node that is warming up fails if it gets more requests than this.
SLOW_START_MIN_REQUESTS = 20  # requests that any node can serve within SLOW_START_WINDOW_S
SLOW_START_WINDOW_S = 2.0
SLOW_START_FRACTION = 0.25  # capacity of a node right after its start, as a fraction of a warm node's
OVERLOAD_MULTIPLE = 2.0  # load at which a node fails, in multiples of its current capacity
NODE_CAPACITY_UNITS_PER_S = 30.0  # assumed capacity of a warm node in the check of the slow-start rule

STOP_SENDING_WITHIN_MS = 300  # time in which a draining node may still get requests no other node can serve
LIMITED_PLAN = "capped"

TRAFFIC_SETTINGS: dict[str, Any] = {  # changes to the default settings for a fleet with clients
    "kinds": ["m"],
    "zones": ["z"],
    "ceilings": {"try_limit": 3, "retry_after": True, "max_retry_after": 300, "cancel": True},
    "family_info": {
        "usual_units": 1,
        "units_top": 4,
        "fair_worth": 0.3,
        "spare_worth": 0.1,
        "young_limit": SLOW_START_MIN_REQUESTS,
        "changes_data": [False, True],
    },
    "profiles": [
        {
            "name": "read",
            "aim": LATENCY_OBJECTIVE_MS,
            "hard_limit": DEADLINE_MS,
            "credit": 2,
            "semantics": "idempotent",
        },
        {
            "name": "write",
            "aim": LATENCY_OBJECTIVE_MS,
            "hard_limit": DEADLINE_MS,
            "credit": 2,
            "semantics": "deduplicated",
            "group": "cell",
            "window": DEDUPLICATION_WINDOW_MS,
        },
    ],
}


def traffic_settings(node_warm_up_ms: int, volume_limit: float) -> dict[str, Any]:
    """Return the changes to the default settings for a fleet with clients.

    Args:
        node_warm_up_ms: The warm-up time of a storage node.
        volume_limit: The rate of each volume on the limited plan, in units per second, and its burst in
            units; 0 for no limited plan.
    """
    slow_start = {
        "warm_up": node_warm_up_ms,
        "stop_sending_within": STOP_SENDING_WITHIN_MS,
        "tip_multiple": OVERLOAD_MULTIPLE,
    }
    settings = {**TRAFFIC_SETTINGS, "invariants": slow_start}
    if volume_limit:
        limited = {
            "name": LIMITED_PLAN,
            "usual_rate": volume_limit,
            "ceiling_rate": volume_limit,
            "limit_burst": volume_limit,
        }
        settings["grades"] = [PLAN_DEFAULTS, limited]
    return settings
