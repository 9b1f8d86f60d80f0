"""The deployment that a fleet, its storage nodes and its clients have in common."""

from __future__ import annotations

from typing import Any

from sabledyke.testbed import cluster

SHARD_COUNT = 4
LATENCY_OBJECTIVE_MS = 300
DEADLINE_MS = 1000
DEDUPLICATION_WINDOW_MS = 2000

# The protocol's rule on storage nodes that are warming up: one fails if it gets more than this.
SLOW_START_MIN_REQUESTS = 20  # that any node bears within the time below
SLOW_START_WINDOW_S = 2.0
SLOW_START_FRACTION = 0.25  # of a warm node's capacity, that one bears right after its start
OVERLOAD_MULTIPLE = 2.0  # of its capacity then, at which it fails
NODE_CAPACITY_UNITS_PER_S = 30.0  # that a warm node is assumed to bear, where that rule is checked

STOP_SENDING_WITHIN_MS = 300  # in which a member may still send a draining node what no other can serve
LIMITED_PLAN = "capped"

TRAFFIC_SETTINGS: dict[str, Any] = {  # what a fleet with clients needs beside the cluster's own
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
    """Return the settings of a fleet with clients.

    Args:
        node_warm_up_ms: How long a storage node takes to warm up.
        volume_limit: Units a second of each volume on the limited plan, and as many at once; 0 for no such
            plan.
    """
    slow_start = {
        "warm_up": node_warm_up_ms,
        "stop_sending_within": STOP_SENDING_WITHIN_MS,
        "tip_multiple": OVERLOAD_MULTIPLE,
    }
    settings = {**TRAFFIC_SETTINGS, "invariants": {**cluster.DEFAULT_SETTINGS["invariants"], **slow_start}}
    if volume_limit:
        limited = {
            "name": LIMITED_PLAN,
            "usual_rate": volume_limit,
            "ceiling_rate": volume_limit,
            "limit_burst": volume_limit,
        }
        settings["grades"] = [*cluster.DEFAULT_SETTINGS["grades"], limited]
    return settings
