"""Scenario of a topic of an operator, which the fleet only compacts."""

from __future__ import annotations

import asyncio
import contextlib
from random import Random

from sabledyke.compacted_log.client import CompactedLog
from sabledyke.compacted_log.reader import KeyRemoved, KeyUpdated, LogReader
from sabledyke.compacted_log.records import NewMessage
from sabledyke.compacted_log.subscription import subscribe_to_topic
from sabledyke.errors import CompactedLogError
from sabledyke.rollout import disruption_budget
from sabledyke.rollout.fleet_view import FleetView
from sabledyke.testbed.fleet import Fleet
from sabledyke.testbed.fleet_faults import FleetFault

TOPIC = "prices"
MESSAGES = 300
ARTICLES = 30
REMOVED_FRACTION = 0.2
SUBSCRIBERS = 8
AWAY_S = 5.0  # pause of every second subscriber
MAX_RETAINED = 120  # 30 articles, the newest 20 messages, and as many superseded messages
TIMEOUT_S = 120
View = dict[str, bytes | None]


class PriceTopic:
    """One writer, subscribers that join late or pause for a while, and the state that all should reach."""

    def __init__(self, fleet: Fleet) -> None:
        self.expected: dict[str, bytes] = {}
        self.views: list[View] = []
        self._fleet = fleet
        self._random = Random(fleet.settings.size)
        self._readers: list[asyncio.Task[None]] = []

    async def publish(self) -> None:
        writer = await self._fleet.log.claim_writer(TOPIC, "shop")
        published = 0
        while published < MESSAGES:
            key = f"article-{self._random.randrange(ARTICLES)}"
            value = None if self._random.random() < REMOVED_FRACTION else b"%d" % published
            with contextlib.suppress(CompactedLogError):  # the log stalls: the same number is sent again
                await writer.append([NewMessage(key, value)])
                published += 1
                self.expected.pop(key, None)
                if value is not None:
                    self.expected[key] = value
            await asyncio.sleep(0.02)

    def start_subscribers(self) -> None:
        self._readers.append(asyncio.create_task(self._start_one_after_the_other()))

    async def stop_subscribers(self) -> None:
        for reader in self._readers:
            reader.cancel()
        await asyncio.gather(*self._readers, return_exceptions=True)

    def all_are_up_to_date(self) -> bool:
        return len(self.views) == SUBSCRIBERS and all(view == self.expected for view in self.views)

    async def _start_one_after_the_other(self) -> None:
        for number in range(SUBSCRIBERS):
            self._readers.append(asyncio.create_task(self._subscribe(AWAY_S * (number % 2))))
            await asyncio.sleep(0.7)

    async def _subscribe(self, away_s: float) -> None:
        """Keep a view up to date; after the first changes, pause for a while."""
        view: View = {}
        self.views.append(view)
        backend = self._fleet.storage.create_backend()
        try:
            async for changes in subscribe_to_topic(CompactedLog(backend), TOPIC, LogReader(), 0.2, 7):
                for change in changes:
                    apply_change(view, change)
                await asyncio.sleep(away_s)
                away_s = 0.0
        finally:
            await backend.close()


def apply_change(view: View, change: object) -> None:
    if isinstance(change, KeyUpdated):
        view[change.message.key] = change.message.value
    elif isinstance(change, KeyRemoved):
        view.pop(change.key, None)


async def kill_each_member_in_turn(fleet: Fleet) -> None:
    for number in range(fleet.settings.size):
        name = f"n{number}"
        before = (await fleet.read_view()).members[name].incarnation
        await fleet.inject(FleetFault.KILL, number)

        def is_back(view: FleetView, name: str = name, before: int = before) -> bool:
            return view.members[name].incarnation > before and not disruption_budget.members_out(view)

        await fleet.wait_until(is_back)


async def topic_of_an_operator(fleet: Fleet) -> None:
    """Subscribers that join late or pause see the current state, whichever member compacts the topic."""
    topic = PriceTopic(fleet)
    topic.start_subscribers()
    publishing = asyncio.create_task(topic.publish())
    await kill_each_member_in_turn(fleet)
    await fleet.inject(FleetFault.PAUSE, await fleet.coordinator(), 2.5)
    await fleet.inject(FleetFault.STALL_LOG, duration_s=3.0)
    await publishing
    async with asyncio.timeout(TIMEOUT_S):
        while not topic.all_are_up_to_date():
            await asyncio.sleep(0.05)
        while len(await fleet.log.read_page(TOPIC, 1, 1000)) > MAX_RETAINED:
            await asyncio.sleep(0.1)
    late_reader = LogReader()
    await fleet.log.catch_up(TOPIC, late_reader)
    assert {key: message.value for key, message in late_reader.latest.items()} == topic.expected
    assert late_reader.position > MESSAGES
    await topic.stop_subscribers()
