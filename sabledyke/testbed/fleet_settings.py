"""Settings of a fleet of processes, and the operator's file of each member."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import combinations

SITE_CAPACITY = 1000  # volumes; each site has capacity for all of them
TOMBSTONE_RETENTION_S = 1.0


@dataclass(slots=True, frozen=True)
class FleetSettings:
    """The settings of a fleet.

    Attributes:
        size: The number of processes.
        backend: The storage of the compacted log and the leases, ``table`` or ``etcd``.
        lease_ttl_ms: The time to live of the coordinator's lease.
        poll_interval_ms: The interval of polls of the log while a plan is in progress.
        heartbeat_timeout_ms: The time without a heartbeat after which a member counts as out of service.
        return_timeout_ms: The time in which a released member must be ready again; after it the plan halts.
        canary_soak_ms: The observation time of a canary before other members follow.
        site_count: The number of sites that the members are spread over.
        min_lag_messages: The number of a topic's newest messages that are not compacted.
        request_validity_ms: The time after its request in which a ticket may be used.
        client_count: The number of clients; storage nodes and a discovery are started only if it is not 0.
        nodes_per_shard: The number of storage nodes that serve each shard.
        node_warm_up_ms: The warm-up time of a storage node.
        topics: The operator's additional topics.
        compaction_interval_s: The interval of checks for topics to compact.
        volume_limit: The rate of each volume on the limited plan, in units per second, and its burst in
            units; 0 for no limited plan.
        shares_quotas: True if members share limits by demand.
        quota_report_interval_ms: The interval of a member's reports of its demand.
        has_proxies: True for a proxy between each process and etcd, for network faults.
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
    """The keys of an operator's file that configure the storage of the log and the leases."""

    log: str
    lease: str


def operator_file(settings: FleetSettings, storage: StorageKeys, number: int, version: str) -> str:
    """Return the text of a member's operator's file.

    Args:
        settings: The fleet's settings.
        storage: The keys for the storage of the log and the leases.
        number: The member's number.
        version: The version that the member reports.
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
    """Return the ``[sites]`` section for sites in a row, each at a distance of 1 ms from the next."""
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
