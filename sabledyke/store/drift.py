"""Whether nodes still hold what the journal says was written there, by what their ordinary answers show.

Decides whether an answer shows other data than the last served write left. No node is probed: what nobody
reads is not compared. Digests are SHA-256 in hex, times Unix milliseconds.

Bounds: at most ``MAX_KNOWN_PIECES`` pieces are known, the one used longest ago is evicted first;
``_open_writes`` holds the writes that are open.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from sabledyke.store.types import DriftFinding

MAX_KNOWN_PIECES = 16_384
Piece = tuple[int, int]  # a volume and a piece of data in it


@dataclass(slots=True, frozen=True)
class _KnownPiece:
    digest: str
    written_at_ms: float


class DriftDetector:
    """What is known to stand where; a piece of which anything is uncertain is not known.

    Attributes:
        compared: How many answers were compared.
        differed: How many of these showed other data.
    """

    def __init__(self, max_known_pieces: int = MAX_KNOWN_PIECES) -> None:
        self.compared = 0
        self.differed = 0
        self._max_known_pieces = max_known_pieces
        self._known: OrderedDict[Piece, _KnownPiece] = OrderedDict()
        self._open_writes: dict[Piece, int] = {}

    def on_write_began(self, piece: Piece) -> None:
        """Note that a write of a piece was accepted: until it ends, answers may show either."""
        self._known.pop(piece, None)
        self._open_writes[piece] = self._open_writes.get(piece, 0) + 1

    def on_write_completed(self, now_ms: float, piece: Piece, digest: str | None) -> None:
        """Note that a write ended: served with this digest, or None where it may or may not have run."""
        others = self._open_writes.get(piece, 1) - 1
        if others:
            self._open_writes[piece] = others
        else:
            self._open_writes.pop(piece, None)
        self._known.pop(piece, None)
        if digest is None or others:
            return  # of two writes at a time nobody knows which was last
        self._known[piece] = _KnownPiece(digest, now_ms)
        if len(self._known) > self._max_known_pieces:
            self._known.popitem(last=False)

    def can_compare(self, requested_at_ms: float, piece: Piece) -> bool:
        """Whether the answer to a read that was requested then can be compared."""
        known = self._known.get(piece)
        return known is not None and known.written_at_ms < requested_at_ms

    def compare(
        self, now_ms: float, requested_at_ms: float, piece: Piece, digest: str, node: str
    ) -> DriftFinding | None:
        """Compare an answer to a read; return what differs, once for each write.

        Args:
            now_ms: The time.
            requested_at_ms: When the read was requested.
            piece: What was read.
            digest: The digest of what was read.
            node: The name of the node that answered.
        """
        if not self.can_compare(requested_at_ms, piece):
            return None
        known = self._known[piece]
        self._known.move_to_end(piece)
        self.compared += 1
        if known.digest == digest:
            return None
        self.differed += 1
        del self._known[piece]
        volume, offset = piece
        return DriftFinding(int(now_ms), f"{volume:016x}", f"{offset:016x}", node, known.digest, digest)

    @property
    def size(self) -> int:
        """Entries in all tables."""
        return len(self._known) + len(self._open_writes)
