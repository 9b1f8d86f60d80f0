"""Detection of drift: nodes whose answers to reads differ from the last served write.

Only ordinary answers are compared: no node is probed, so pieces that no client reads are not checked. Digests
are SHA-256 in hex, times are Unix milliseconds.

Memory is bounded: at most ``MAX_KNOWN_PIECES`` pieces are known, and the least recently used one is evicted
first. ``_open_writes`` holds open writes only.
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
    """The digests of pieces whose contents are certain.

    Attributes:
        compared: Number of answers that were compared.
        differed: Number of compared answers that showed other data.
    """

    def __init__(self, max_known_pieces: int = MAX_KNOWN_PIECES) -> None:
        self.compared = 0
        self.differed = 0
        self._max_known_pieces = max_known_pieces
        self._known: OrderedDict[Piece, _KnownPiece] = OrderedDict()
        self._open_writes: dict[Piece, int] = {}

    def on_write_began(self, piece: Piece) -> None:
        """Record the start of a write; until it ends, reads may return the old or the new data."""
        self._known.pop(piece, None)
        self._open_writes[piece] = self._open_writes.get(piece, 0) + 1

    def on_write_completed(self, now_ms: float, piece: Piece, digest: str | None) -> None:
        """Record the end of a write: its digest if it was served, or None if it may have run."""
        others = self._open_writes.get(piece, 1) - 1
        if others:
            self._open_writes[piece] = others
        else:
            self._open_writes.pop(piece, None)
        self._known.pop(piece, None)
        if digest is None or others:
            return  # another write of the piece is open, and which of them runs last is unknown
        self._known[piece] = _KnownPiece(digest, now_ms)
        if len(self._known) > self._max_known_pieces:
            self._known.popitem(last=False)

    def can_compare(self, requested_at_ms: float, piece: Piece) -> bool:
        """Return True if the answer to a read requested at that time can be compared."""
        known = self._known.get(piece)
        return known is not None and known.written_at_ms < requested_at_ms

    def compare(
        self, now_ms: float, requested_at_ms: float, piece: Piece, digest: str, node: str
    ) -> DriftFinding | None:
        """Compare the answer to a read with the last write; report a difference once for each write.

        Args:
            now_ms: The time.
            requested_at_ms: Time at which the read was requested.
            piece: The piece that was read.
            digest: The digest of the data that was read.
            node: The name of the node that answered.

        Returns:
            The finding, or None if the answer agrees or cannot be compared.
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
        """Number of entries in all tables."""
        return len(self._known) + len(self._open_writes)
