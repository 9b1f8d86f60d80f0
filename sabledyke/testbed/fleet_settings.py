"""What a fleet of processes is: its size, its storage, its times, and the operator's file of each member."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import combinations

SITE_CAPACITY = 1000  # volumes: room for all at each site
TOMBSTONE_RETENTION_S = 1.0


@dataclass(slots=True, frozen=True)
class FleetSettings:
    """The settings of a fleet.

    Attributes:
        size: How many processes it has.
        backend: What the compacted log and the leases are stored in, ``table`` or ``etcd``.
        lease_ttl_ms: The time to live of the coordinator's lease.
        poll_interval_ms: Between polls of the log while a plan is under way.
        heartbeat_timeout_ms: A member without a heartbeat for so long counts as out.
        return_timeout_ms: Who went out must be ready again by then, or its plan halts.
        canary_soak_ms: How long a canary is observed before others follow.
        site_count: How many sites the members are spread over.
        min_lag_messages: How many of the newest messages of a topic are not compacted.
        request_validity_ms: How long after its request a ticket may be used.
        client_count: How many clients there are; with any, storage nodes and a discovery too.
        nodes_per_shard: How many storage nodes serve each shard.
        node_warm_up_ms: How long a storage node takes to warm up.
        topics: The operator's own topics.
        compaction_interval_s: Between two checks whether a topic is worth compacting.
        volume_limit: Units a second of each volume on the limited plan, and as many at once; 0 for no such
            plan.
        shares_quotas: Whether members share limits out by demand.
        quota_report_interval_ms: Between two reports of a member's demand.
        has_proxies: Whether a proxy stands between each process and etcd, for faults of the network.
    """

    size: int = 3
    backend: str = "table"
    lease_ttl_ms: int = 1000
    poll_interval_ms: int = 50
    heartbeat_timeout_ms: int = 2000
    return_timeout_ms: int = 20_000
    canary_soak_ms: int = 300
    site_count: int = 1
    min_lag_messages: int = 20
    request_validity_ms: int = 3000
    client_count: int = 0
    nodes_per_shard: int = 1
    node_warm_up_ms: int = 500
    topics: tuple[str, ...] = ()
    compaction_interval_s: float = 5.0
    volume_limit: float = 0.0
    shares_quotas: bool = False
    quota_report_interval_ms: int = 500
    has_proxies: bool = True


@dataclass(slots=True, frozen=True)
class StorageKeys:
    """The keys of an operator's file that say where the log and the leases are stored."""

    log: str
    lease: str


def operator_file(settings: FleetSettings, storage: StorageKeys, number: int, version: str) -> str:
    """Return the text of a member's operator's file.

    Args:
        settings: The fleet's settings.
        storage: Where the log and the leases are stored.
        number: The member's number.
        version: The version that it says it runs.
    """
    return f"""
[log]
format = "json"

{_storage_sections(settings, storage)}
{_rollout_section(settings, number, version)}
{_sites_section(settings)}
{_quota_section(settings)}
"""


def _storage_sections(settings: FleetSettings, storage: StorageKeys) -> str:
    return f"""[board]
{storage.log}
lag = {settings.min_lag_messages}
tomb_s = {TOMBSTONE_RETENTION_S}
clean_s = {settings.compaction_interval_s}
topics = {list(settings.topics)}

[lease]
{storage.lease}
ttl_ms = {settings.lease_ttl_ms}
renew_ms = {settings.lease_ttl_ms // 5}
margin_ms = {settings.lease_ttl_ms // 4}
"""


def _rollout_section(settings: FleetSettings, number: int, version: str) -> str:
    return f"""[rollout]
site = "s{number % settings.site_count}"
version = "{version}"
wants = "wants"
every_ms = {settings.poll_interval_ms}
beat_ms = {settings.heartbeat_timeout_ms // 8}
silent_ms = {settings.heartbeat_timeout_ms}
back_ms = {settings.return_timeout_ms}
soak_ms = {settings.canary_soak_ms}
valid_ms = {settings.request_validity_ms}"""


def _sites_section(settings: FleetSettings) -> str:
    """Return ``[sites]`` for sites in a row, each 1 ms from the next."""
    if settings.site_count == 1:
        return ""
    names = [f"s{i}" for i in range(settings.site_count)]
    rows = [
        f'{{between = ["{a}", "{b}"], ms = {names.index(b) - names.index(a)}}}'
        for a, b in combinations(names, 2)
    ]
    capacities = ", ".join(f"{name} = {SITE_CAPACITY}" for name in names)
    return f"[sites]\nroom = {{{capacities}}}\ndistance = [{', '.join(rows)}]\n"


def _quota_section(settings: FleetSettings) -> str:
    if not settings.shares_quotas:
        return ""
    return f"[fleet]\nmembers = {settings.size}\nbeat_ms = {settings.quota_report_interval_ms}"
