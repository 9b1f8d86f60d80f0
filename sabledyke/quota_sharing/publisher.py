"""Publishes a member's demands on the compacted log, and polls those of the other members.

Each publication replaces the previous one by a compare-and-set of the member's own register. A write whose
answer was lost can therefore never take effect after a later one.
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
    """Publisher of one incarnation of a member; the allocator receives the results of writes and polls."""

    def __init__(
        self,
        name: str,
        compacted_log: CompactedLog,
        allocator: QuotaAllocator,
        meter: DemandMeter,
        clock: Callable[[], float],
    ) -> None:
        """Create a publisher; it accesses the log from ``begin`` on.

        Args:
            name: Name of the member.
            compacted_log: Compacted log that holds the registers of all members.
            allocator: Allocator that receives confirmed and polled publications.
            meter: Meter that supplies the demands to publish.
            clock: Function that returns the time in ms.
        """
        self.has_no_demand = True
        """True if the confirmed publication contains no demands."""
        self.confirmed_at_ms = NEVER
        """Time at which the current publication was confirmed."""
        self._name = name
        self._compacted_log = compacted_log
        self._backend = compacted_log.backend
        self._allocator = allocator
        self._meter = meter
        self._clock = clock
        self._writer_key = writer_key(SHARES_TOPIC, name)
        self._register_key = register_key(SHARES_TOPIC, name)
        self._number = 0  # number of the last publication, confirmed or not
        self._confirmed_number = 0  # number of the last confirmed publication
        self._register_version = 0
        self._writer_version = 0  # 0 before this incarnation has begun
        self._polled: dict[str, tuple[int, tuple[int, Demands]]] = {}  # other members: version, publication

    @property
    def has_begun(self) -> bool:
        """True if this incarnation has become the writer of its register."""
        return bool(self._writer_version)

    async def begin(self) -> None:
        """Begin a new incarnation of the member on the log.

        Raises:
            CompactedLogError: The log does not answer.
            StaleWriterError: A later incarnation of this name has become the writer.
        """
        await self._backend.open()
        self._nonce = (await self._compacted_log.claim_writer(SHARES_TOPIC, self._name)).identity.nonce
        cells = await self._backend.get([self._writer_key, self._register_key])
        self._check_writer(cells.get(self._writer_key))
        self._process_own_register(cells.get(self._register_key))
        self._number = self._confirmed_number
        self._writer_version = cells[self._writer_key].version

    async def poll(self) -> None:
        """Read the publications of all members."""
        started_at_ms = self._clock()
        cells = await registers.read_cells(self._backend, SHARES_TOPIC)
        known = self._polled
        self._process_own_register(cells.pop(self._name, None))
        self._polled = {
            name: known[name]
            if name in known and known[name][0] == cell.version
            else (cell.version, decode_demands(cell))
            for name, cell in cells.items()
        }
        found = {name: publication for name, (_, publication) in self._polled.items()}
        self._allocator.on_poll(started_at_ms, self._clock(), found)

    async def publish(self) -> None:
        """Publish the next demands.

        Raises:
            CompactedLogError: The log did not answer; the write has an unknown outcome until a later poll.
            StaleWriterError: A later incarnation of this name has become the writer.
        """
        now_ms = self._clock()
        demands = self._meter.next_demands(now_ms)
        self._number += 1
        number = self._number
        self.has_no_demand = False  # the write may take effect even if no answer arrives
        self._allocator.on_publishing(number, demands, now_ms, self._confirmed_number)
        checks = {self._writer_key: self._writer_version, self._register_key: self._register_version}
        if await self._backend.commit(checks, {self._register_key: encode_demands(number, demands)}):
            self._confirmed_number = number
            self.confirmed_at_ms = self._clock()
            self._allocator.on_published(number, self.confirmed_at_ms)
            self.has_no_demand = not demands  # the next poll reads the register's new version
        else:
            self._allocator.on_rejected(number)
            self._check_writer((await self._backend.get([self._writer_key])).get(self._writer_key))

    def _check_writer(self, cell: Cell | None) -> None:
        written = decode_writer_state(cell)
        if written is None or written.nonce != self._nonce:
            raise StaleWriterError(f"{self._name}: another incarnation with this name has become the writer")

    def _process_own_register(self, cell: Cell | None) -> None:
        """Process a read of this member's own register, unless it is older than the confirmed publication."""
        number = decode_demands(cell)[0] if cell is not None else 0
        if number < self._confirmed_number:
            return
        if number > self._confirmed_number:
            self.confirmed_at_ms = self._clock()
        self._confirmed_number = number
        self._register_version = cell.version if cell is not None else 0
        self._allocator.on_published(number, self._clock())


def encode_demands(number: int, demands: Demands) -> bytes:
    """Encode a publication as its number and units per second by volume in hex."""
    return orjson.dumps([number, {f"{volume:x}": units for volume, units in demands.items()}])


def decode_demands(cell: Cell) -> tuple[int, Demands]:
    """Decode a publication into its number and units per second by volume."""
    number, demands = orjson.loads(cell.data)
    return number, {int(volume, 16): units for volume, units in demands.items()}
