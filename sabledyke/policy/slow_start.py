"""May a node that has just come up be sent a request? Told what one scheduler knows; no clock, no randomness.

Few schedulers have work for the node and none knows which. A scheduler's own part of what the node bears is
certain; beyond it a chance keeps the work of all of them within what the node bears. Source: WIRE, rule 4;
STANDING, the budget of a cold storage node. Sizes are units, times milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from sabledyke.policy.settings import Settings

AIMED_AT = 0.5  # part of what a young node bears that chance lets through, in the mean over all schedulers
FIRST_WINDOW = 3.0  # by how much more chance decides right after the node was listed, gone after one window


@dataclass(frozen=True, slots=True)
class Young:
    """What a scheduler knows of a node that is not warm yet."""

    warmth: float  # the part of its capacity that it has for sure
    sent: float  # units sent there by this scheduler within the rule's window
    known_for: float  # ms since it was listed
    expected: float  # units that all schedulers are asked for it within the window
    served: float  # part of what was asked of warm nodes of its kind that they served in time


def warmth(settings: Settings, age: float) -> float:
    """Part of its capacity that a node of this age has for sure, a window ago; 1 once it is warm."""
    grown = (age - settings.overload_window_ms) / settings.warm_up_ms
    return min(1.0, settings.slow_start_fraction + (1 - settings.slow_start_fraction) * max(0.0, grown))


def safe_units(settings: Settings, part: float) -> float:
    """Units that any node bears within the window, from all schedulers, at this part of its capacity."""
    return settings.slow_start_units * part / settings.slow_start_fraction


def chances(settings: Settings, node: Young, units: float, worth: float) -> tuple[float, float]:
    """The chance that a request may be sent there, at all and just now; its worth is over the usual one.

    It aims at the rule's multiple of the warm part of what nodes of its kind were seen to serve. Guards
    against holding new nodes to the least that any bears, which starves a fleet of them.
    """
    seen = settings.overload_multiple * node.warmth * node.served
    share = safe_units(settings, node.warmth) / node.expected
    chance = min(1.0, AIMED_AT * max(min(node.warmth, share), seen) * worth)
    # Less for the large, and soon after other sends or its listing; the warmer, the less chance decides.
    fresh = FIRST_WINDOW * max(0.0, 1 - node.known_for / settings.overload_window_ms)
    size = max(1.0, units / settings.mean_units)
    cold = (1 - node.warmth) / (1 - settings.slow_start_fraction)
    at_once = cold * (size + fresh + node.sent / settings.mean_units)
    return float(chance ** (cold * size)), float(chance**at_once)
