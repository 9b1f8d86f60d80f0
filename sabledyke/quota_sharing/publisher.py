"""Publishes a member's demands on the log, and polls those of the others.

Each publication is written over the one before (a compare-and-set of the member's own register), so that one
whose answer got lost is never written after a later one.
"""

from __future__ import annotations

from collections.abc import Callable

import orjson

from sabledyke.compacted_log import registers
from sabledyke.compacted_log.client import CompactedLog
from sabledyke.compacted_log.records import Cell, decode_writer_state, register_key, writer_key
from sabledyke.errors import StaleWriterError
from sabledyke.quota_sharing.allocation import NEVER, SHARES_TOPIC, Demands, QuotaAllocator
from sabledyke.quota_sharing.demand import DemandMeter


class DemandPublisher:
    """One incarnation of a member; what it learns goes to the allocator."""

    def __init__(
        self,
        name: str,
        compacted_log: CompactedLog,
        allocator: QuotaAllocator,
        meter: DemandMeter,
        clock: Callable[[], float],
    ) -> None:
        """Create a publisher that has written nothing yet.

        Args:
            name: The member's name.
            compacted_log: The log.
            allocator: Gets what stands on the log.
            meter: Says what to publish.
            clock: Returns the time in ms.
        """
        self.is_quiet = True
        """Whether the publication that stands asks for nothing."""
        self.confirmed_at_ms = NEVER
        """Since when the publication that stands is known to stand."""
        self._name = name
        self._compacted_log = compacted_log
        self._backend = compacted_log.backend
        self._allocator = allocator
        self._meter = meter
        self._clock = clock
        self._writer_key = writer_key(SHARES_TOPIC, name)
        self._register_key = register_key(SHARES_TOPIC, name)
        self._number = 0  # of the last publication
        self._standing_number = 0  # of the one that is known to stand
        self._register_version = 0
        self._writer_version = 0  # 0 before this incarnation has begun
        self._polled: dict[str, tuple[int, tuple[int, Demands]]] = {}  # of others, with its version

    @property
    def has_begun(self) -> bool:
        """Whether this incarnation is the writer."""
        return bool(self._writer_version)

    async def begin(self) -> None:
        """Begin an incarnation on the log.

        Raises:
            CompactedLogError: The log does not answer.
            StaleWriterError: Another incarnation of this name took over.
        """
        await self._backend.open()
        self._nonce = (await self._compacted_log.claim_writer(SHARES_TOPIC, self._name)).identity.nonce
        cells = await self._backend.get([self._writer_key, self._register_key])
        self._check_writer(cells.get(self._writer_key))
        self._on_register(cells.get(self._register_key))
        self._number = self._standing_number
        self._writer_version = cells[self._writer_key].version

    async def poll(self) -> None:
        """Read what all members have published."""
        started_at_ms = self._clock()
        cells = await registers.read_cells(self._backend, SHARES_TOPIC)
        known = self._polled
        self._on_register(cells.pop(self._name, None))
        self._polled = {
            name: known[name]
            if name in known and known[name][0] == cell.version
            else (cell.version, decode_demands(cell))
            for name, cell in cells.items()
        }
        found = {name: publication for name, (_, publication) in self._polled.items()}
        self._allocator.on_poll(started_at_ms, self._clock(), found)

    async def publish(self) -> None:
        """Write the next demands.

        Raises:
            CompactedLogError: The log did not answer: they may stand or not, and the next poll may tell.
            StaleWriterError: Another incarnation of this name took over.
        """
        now_ms = self._clock()
        demands = self._meter.next_demands(now_ms)
        self._number += 1
        number = self._number
        self.is_quiet = False  # it may stand
        self._allocator.on_publishing(number, demands, now_ms, self._standing_number)
        checks = {self._writer_key: self._writer_version, self._register_key: self._register_version}
        if await self._backend.commit(checks, {self._register_key: encode_demands(number, demands)}):
            self._standing_number = number
            self.confirmed_at_ms = self._clock()
            self._allocator.on_published(number, self.confirmed_at_ms)
            self.is_quiet = not demands  # the next poll finds the version that the next one is written over
        else:
            self._allocator.on_rejected(number)
            self._check_writer((await self._backend.get([self._writer_key])).get(self._writer_key))

    def _check_writer(self, cell: Cell | None) -> None:
        written = decode_writer_state(cell)
        if written is None or written.nonce != self._nonce:
            raise StaleWriterError(f"{self._name}: another incarnation of it shares")

    def _on_register(self, cell: Cell | None) -> None:
        """Take this member's own register; never an older one than is known to stand."""
        number = decode_demands(cell)[0] if cell is not None else 0
        if number < self._standing_number:
            return
        if number > self._standing_number:
            self.confirmed_at_ms = self._clock()
        self._standing_number = number
        self._register_version = cell.version if cell is not None else 0
        self._allocator.on_published(number, self._clock())


def encode_demands(number: int, demands: Demands) -> bytes:
    """Encode a publication: its number, and units per second by volume in hex."""
    return orjson.dumps([number, {f"{volume:x}": units for volume, units in demands.items()}])


def decode_demands(cell: Cell) -> tuple[int, Demands]:
    """Decode a publication: its number, and units per second by volume."""
    number, demands = orjson.loads(cell.data)
    return number, {int(volume, 16): units for volume, units in demands.items()}
