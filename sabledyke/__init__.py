"""sabledyke: the I/O scheduling decisions of a storage gateway."""

from sabledyke.interface import *  # noqa: F403
from sabledyke.rules import Scheduler as Scheduler
