"""sabledyke: an I/O scheduler for storage nodes; here, its decisions, for those who embed them."""

from sabledyke.policy.interface import *  # noqa: F403
from sabledyke.policy.scheduler import Scheduler as Scheduler
