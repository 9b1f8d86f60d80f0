"""Whether boxes still hold what the journal says was written there, by what their ordinary answers show.

Told: writes as they begin and end, and the answers to reads. Decides: whether an answer shows other data than
the last served write left. No box is probed: what nobody reads is not compared. Digests are SHA-256 in hex.

Bounds: ``MOST`` pieces known, the one used longest ago goes first; ``_open`` holds writes in work.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from sabledyke.store.types import DriftFinding

MAX_KNOWN_PIECES = 16_384
Piece = tuple[int, int]  # a volume and a piece of data in it


@dataclass(slots=True, frozen=True)
class _Known:
    digest: str
    at: float


class DriftDetector:
    """What is known to stand where; a piece of which anything is uncertain is not known."""

    def __init__(self, most: int = MAX_KNOWN_PIECES) -> None:
        self._most = most
        self._known: OrderedDict[Piece, _Known] = OrderedDict()
        self._open: dict[Piece, int] = {}
        self.compared = self.differed = 0

    def on_write_began(self, piece: Piece) -> None:
        """A write of it was taken: until it ends, answers may show either."""
        self._known.pop(piece, None)
        self._open[piece] = self._open.get(piece, 0) + 1

    def on_write_ended(self, now: float, piece: Piece, digest: str | None) -> None:
        """A write ended: served with this digest, or None where it may or may not have run."""
        left = self._open.get(piece, 1) - 1
        if left:
            self._open[piece] = left
        else:
            self._open.pop(piece, None)
        self._known.pop(piece, None)
        if digest is None or left:
            return  # of two writes at a time nobody knows which was last
        self._known[piece] = _Known(digest, now)
        if len(self._known) > self._most:
            self._known.popitem(last=False)

    def can_compare(self, asked: float, piece: Piece) -> bool:
        """Whether the answer to a read that was asked then can be compared."""
        known = self._known.get(piece)
        return known is not None and known.at < asked

    def compare(self, now: float, asked: float, piece: Piece, digest: str, box: str) -> DriftFinding | None:
        """An answer to a read; what differs, said once for each write."""
        if not self.can_compare(asked, piece):
            return None
        known = self._known[piece]
        self._known.move_to_end(piece)
        self.compared += 1
        if known.digest == digest:
            return None
        self.differed += 1
        del self._known[piece]
        return DriftFinding(int(now), f"{piece[0]:016x}", f"{piece[1]:016x}", box, known.digest, digest)

    @property
    def size(self) -> int:
        """Entries in all tables."""
        return len(self._known) + len(self._open)
