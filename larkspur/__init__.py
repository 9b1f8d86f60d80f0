"""larkspur: the I/O scheduling decisions of a storage gateway."""

from larkspur.interface import *  # noqa: F403
from larkspur.rules import Scheduler as Scheduler
