"""What the scheduler's parts have in common: the state and the policies that each of them consults."""

from __future__ import annotations

from dataclasses import dataclass

from sabledyke.policy.concurrency import ConcurrencyLimiter
from sabledyke.policy.context import Context
from sabledyke.policy.node_directory import NodeDirectory
from sabledyke.policy.outlier import OutlierDetector
from sabledyke.policy.quota import VolumeQuotas
from sabledyke.policy.requests import RequestTable
from sabledyke.policy.retry import RetryPolicy
from sabledyke.policy.slow_start import SlowStart


@dataclass(slots=True, frozen=True)
class Collaborators:
    """The collaborators of ``AttemptTracker``, ``NodeSelector`` and ``Dispatcher``; one set for a scheduler.

    Each of these takes the collaborators that it needs when it is created, so that a request costs no
    look-up here.
    """

    context: Context
    directory: NodeDirectory
    requests: RequestTable
    quotas: VolumeQuotas
    retries: RetryPolicy
    concurrency: ConcurrencyLimiter
    slow_start: SlowStart
    outliers: OutlierDetector
