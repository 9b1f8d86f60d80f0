"""The state and the policies that the scheduler's components share."""

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
    """The collaborators of ``AttemptTracker``, ``NodeSelector`` and ``Dispatcher``; one set per scheduler.

    Each of the three copies the references that it needs when it is created, so that handling a request
    needs no extra attribute look-ups.
    """

    context: Context
    directory: NodeDirectory
    requests: RequestTable
    quotas: VolumeQuotas
    retries: RetryPolicy
    concurrency: ConcurrencyLimiter
    slow_start: SlowStart
    outliers: OutlierDetector
