"""Input for property tests of parsers: valid bytes split into pieces, and corrupted bytes."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies as st

FIXED = hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=150)
SIZES = st.lists(st.integers(1, 300), max_size=40)


def pieces(data: bytes, sizes: list[int]) -> list[bytes]:
    """Split the data into pieces of these sizes and the remainder; empty pieces are left out."""
    cut = []
    for size in sizes:
        cut.append(data[:size])
        data = data[size:]
    return [piece for piece in (*cut, data) if piece]


@st.composite
def damaged(draw: st.DrawFn, data: bytes) -> bytes:
    """Draw a corrupted copy of valid bytes (overwritten, removed or truncated), or entirely random bytes."""
    if draw(st.integers(0, 4)) == 0:
        return draw(st.binary(max_size=400))
    changed = bytearray(data)
    for _ in range(draw(st.integers(1, 4))):
        offset = draw(st.integers(0, max(0, len(changed) - 1)))
        changed[offset : offset + draw(st.integers(0, 3))] = draw(st.binary(max_size=3))
    return bytes(changed[: draw(st.integers(0, len(changed)))])
