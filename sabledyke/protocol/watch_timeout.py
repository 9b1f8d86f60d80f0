"""When a call for the list has fallen silent, and when the next follows: one clock, lists asked or pushed.

Told when calls begin and end, and a seed; knows no socket and no clock of its own. Times are seconds.

Source: STANDING, 'One clock for silence': a call without its whole answer is broken and has to be made anew;
what it missed counts as told 6 s after it fell silent, or 2 s after its wait is over, whichever is later.
PROTOCOL, 'Discovery': a watch goes on where the next call comes within 0.2 s of the last answer.
"""

from __future__ import annotations

import random
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Terms:
    """How one kind of list is asked for."""

    wait: float  # for which a call lets discovery wait for news
    spare: float  # and for which its whole answer may come later than that
    jitter: float  # over which calls after a silence are spread, as all hosts' may fall silent at once
    again: tuple[float, float]  # after a refusal or a break: the first pause, doubled up to the last


# One discovery for all hosts: told 2 s after the wait, so 1 + 1 of them; refusals the module waits out.
ASKED = Terms(2.0, 1.0, 1.0, (0.05, 0.4))
# An agent on this machine: asking costs nothing, and what it has counts at once, also right after an outage
# in which it was silent; a drain leaves 2 s.
PUSHED = Terms(0.5, 0.25, 0.05, (0.05, 0.4))


class Silence:
    """One line of calls; at most one of them is out."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._pause = 0.0
        self.silent = 0  # calls in a row without their whole answer

    def answered(self) -> None:
        """A call got its whole answer."""
        self.silent, self._pause = 0, 0.0

    def fell_silent(self, terms: Terms) -> float:
        """A call did not get its whole answer in time: seconds until the next one.

        The spread doubles once, from the second silence in a row on: guards against 200 hosts asking a
        discovery that hangs in step, and against it not being asked in time.
        """
        self.silent += 1
        return self._random.random() * terms.jitter * min(self.silent, 2)

    def broke(self, terms: Terms) -> float:
        """A call was refused or cut off: seconds until the next one, where lists are pushed."""
        self._pause = min(max(terms.again[0], 2 * self._pause), terms.again[1])
        return self._pause
