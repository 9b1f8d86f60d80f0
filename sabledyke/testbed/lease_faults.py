"""Injection of an experiment's faults into processes, the network and the lease authority."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random

from sabledyke.testbed.cluster import Cluster
from sabledyke.testbed.etcd_server import Etcd
from sabledyke.testbed.experiment import Experiment, Fault, FaultKind
from sabledyke.testbed.fault_proxy import Proxy
from sabledyke.testbed.fenced_resource import FencedResource

WAIT_TIMEOUT_S = 30.0  # limit of one wait of an experiment, with room for a busy machine
POLL_S = 0.01  # interval of checks of a condition
MAX_BYTES_UNTIL_RESET = 400
LATE_OPERATION_PAUSE_S = 1.0  # time for the resource to get the late operation, and for its rejection

HOLDER_KEEPING_FAULTS = {FaultKind.RESTART_AUTHORITY, FaultKind.SLOW_NETWORK, FaultKind.DELAY_OPERATIONS}


@dataclass(slots=True, frozen=True)
class InstanceProxies:
    """The proxies of one instance; an authority in a table has no proxy."""

    to_authority: Proxy | None
    to_resource: Proxy


@dataclass(slots=True, frozen=True)
class HolderLoss:
    """A fault that hit the lease holder."""

    at_ms: float
    holder: str


class FaultInjector:
    """Begins each fault at its time, and ends it after its duration.

    Attributes:
        holder_losses: The faults so far that hit the lease holder.
    """

    def __init__(
        self,
        experiment: Experiment,
        cluster: Cluster,
        resource: FencedResource,
        etcd: Etcd | None,
        proxies: list[InstanceProxies],
        random: Random,
    ) -> None:
        self.holder_losses: list[HolderLoss] = []
        self._experiment = experiment
        self._cluster = cluster
        self._resource = resource
        self._etcd = etcd
        self._proxies = proxies
        self._random = random
        self._tasks: set[asyncio.Task[None]] = set()
        self._handlers: dict[FaultKind, Callable[[Fault, int], Awaitable[None]]] = {
            FaultKind.PAUSE: self._pause,
            FaultKind.KILL: self._end_process,
            FaultKind.TERMINATE: self._end_process,
            FaultKind.PARTITION: self._partition,
            FaultKind.PARTITION_REQUESTS: self._partition,
            FaultKind.PARTITION_ANSWERS: self._partition,
            FaultKind.SLOW_NETWORK: self._slow_network,
            FaultKind.RESET_CONNECTION: self._reset_connection,
            FaultKind.RESTART_AUTHORITY: self._restart_authority,
            FaultKind.DELAY_OPERATIONS: self._delay_operations,
            FaultKind.OPERATION_AFTER_TAKEOVER: self._operate_after_takeover,
            FaultKind.STOP_IN_TRANSACTION: self._stop_in_transaction,
        }

    async def start_all(self, started_at: float) -> None:
        """Start each fault ``at_s`` seconds after ``started_at``, a time of ``time.monotonic()``."""
        for fault in sorted(self._experiment.faults, key=lambda fault: fault.at_s):
            await asyncio.sleep(max(0.0, started_at + fault.at_s - time.monotonic()))
            self._tasks.add(asyncio.create_task(self._inject(fault)))

    async def finish(self) -> None:
        """Wait for the end of all faults, which may take longer than their durations on a busy machine."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=WAIT_TIMEOUT_S)

    def cancel(self) -> None:
        """Cancel all faults that are in progress."""
        for task in self._tasks:
            task.cancel()

    async def _inject(self, fault: Fault) -> None:
        target = self._holder() if fault.target is None else fault.target
        if fault.kind is FaultKind.OPERATION_AFTER_TAKEOVER:
            target = await self._delay_operation_of_holder()
        if target == self._holder() and fault.kind not in HOLDER_KEEPING_FAULTS:
            self.holder_losses.append(HolderLoss(time.monotonic() * 1000, self._resource.last_holder))
        await self._handlers[fault.kind](fault, target)

    def _holder(self) -> int:
        """Return the number of the instance whose operation was accepted last."""
        return int(self._resource.last_holder.partition(".")[0].removeprefix("n"))

    async def _wait_for_takeover(self, target: int) -> None:
        await wait_until(lambda: self._holder() != target)

    async def _wait_until_over(self, fault: Fault, target: int) -> None:
        """Wait for the fault's duration and, if that exceeds the lease's time to live, for a takeover.

        On a busy machine the takeover may come later than expected, and the fault tests what happens after
        it.
        """
        await asyncio.sleep(fault.duration_s)
        if fault.duration_s * 1000 > self._experiment.ttl_ms:
            await self._wait_for_takeover(target)

    async def _pause(self, fault: Fault, target: int) -> None:
        await self._cluster.pause(target)
        await self._wait_until_over(fault, target)
        self._cluster.send_signal(target, signal.SIGCONT)

    async def _stop_in_transaction(self, fault: Fault, target: int) -> None:
        """Stop a process inside a transaction, kill it later, and wait for the takeover.

        The end of the process releases the table's lock. Stopping it at such a moment may take some time, so
        that the takeover has no fixed time.
        """
        await self._cluster.pause(target, locking=True)
        await asyncio.sleep(fault.duration_s)
        self._cluster.send_signal(target, signal.SIGKILL)
        await self._wait_for_takeover(target)

    async def _end_process(self, fault: Fault, target: int) -> None:
        killed = fault.kind is FaultKind.KILL
        self._cluster.send_signal(target, signal.SIGKILL if killed else signal.SIGTERM)
        await asyncio.sleep(fault.duration_s)
        if fault.duration_s:
            await self._cluster.start(target)

    async def _restart_authority(self, fault: Fault, _target: int) -> None:
        if self._etcd is not None:
            await self._etcd.restart(fault.duration_s)

    async def _delay_operations(self, fault: Fault, target: int) -> None:
        """Hold back the instance's operations in the network, and deliver them late."""
        proxy = self._proxies[target].to_resource
        proxy.partition(to_client=False)
        await asyncio.sleep(fault.duration_s)
        proxy.heal()

    async def _operate_after_takeover(self, fault: Fault, target: int) -> None:
        """Pause the instance, and deliver its held-back operation after another instance's operation."""
        proxy = self._proxies[target].to_resource
        await self._cluster.pause(target)
        await asyncio.sleep(fault.duration_s)
        await self._wait_for_takeover(target)
        proxy.heal()  # the paused instance cannot close the connection that carries the operation
        await wait_until(lambda: proxy.to_server.pending_reads == 0)
        await asyncio.sleep(LATE_OPERATION_PAUSE_S)
        self._cluster.send_signal(target, signal.SIGCONT)
        await asyncio.sleep(LATE_OPERATION_PAUSE_S)

    async def _delay_operation_of_holder(self) -> int:
        """Hold back an operation of the lease holder, and return the holder's number.

        On a busy machine another instance may acquire the lease before an operation begins; then the new
        holder's operation is held back.
        """

        def delayed_or_holder_changed() -> bool:
            return proxy.to_server.pending_reads > 0 or self._holder() != target

        while True:
            target = self._holder()
            proxy = self._proxies[target].to_resource
            proxy.partition(to_client=False)
            await wait_until(delayed_or_holder_changed)
            if proxy.to_server.pending_reads or self._holder() == target:
                return target
            proxy.heal()

    async def _slow_network(self, fault: Fault, target: int) -> None:
        """Delay all messages to and from the authority, by less than causes the loss of a lease."""
        proxy = self._proxies[target].to_authority
        if proxy is None:
            return
        for direction in (proxy.to_server, proxy.to_client):
            direction.delay_ms = self._experiment.renew_interval_ms / 4
            direction.jitter_ms = self._experiment.renew_interval_ms / 2
        await asyncio.sleep(fault.duration_s)
        proxy.heal()

    async def _reset_connection(self, fault: Fault, target: int) -> None:
        """Reset the connection to the authority in the middle of a message."""
        proxy = self._proxies[target].to_authority
        if proxy is None:
            return
        bytes_until_reset = self._random.randrange(MAX_BYTES_UNTIL_RESET)
        proxy.to_server.bytes_until_reset = bytes_until_reset
        proxy.to_client.bytes_until_reset = bytes_until_reset
        await asyncio.sleep(fault.duration_s)
        proxy.heal()

    async def _partition(self, fault: Fault, target: int) -> None:
        """Hold back messages between the instance and the authority, in one direction or both."""
        proxy = self._proxies[target].to_authority
        if proxy is None:
            return
        proxy.partition(
            to_server=fault.kind is not FaultKind.PARTITION_ANSWERS,
            to_client=fault.kind is not FaultKind.PARTITION_REQUESTS,
        )
        await self._wait_until_over(fault, target)
        proxy.heal()


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until the condition holds, for ``WAIT_TIMEOUT_S`` at most; the evaluation reports failures."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(POLL_S)
