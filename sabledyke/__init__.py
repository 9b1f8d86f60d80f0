"""sabledyke: an I/O scheduler for storage nodes; here, its decisions, for those who embed them."""

from sabledyke.interface import *  # noqa: F403
from sabledyke.rules import Scheduler as Scheduler
