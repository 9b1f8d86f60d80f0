"""Drives this process as a member: writes the participant's changes, and shuts down on a used ticket."""

from __future__ import annotations

import asyncio
import os
from dataclasses import replace

from sabledyke import log
from sabledyke.application.extensions import ServerContext
from sabledyke.compacted_log import registers
from sabledyke.compacted_log.client import CompactedLog
from sabledyke.compacted_log.section import LogSection
from sabledyke.config import ENVIRONMENT_PREFIX, ConfigError
from sabledyke.errors import CompactedLogError, StaleWriterError
from sabledyke.lease.manager import boottime_ms
from sabledyke.rollout.canary_analysis import AnswerCount
from sabledyke.rollout.commands import append_change
from sabledyke.rollout.configuration_switch import RETIRED_VERSION, VersionFile, switch_settings
from sabledyke.rollout.fleet_log import FleetLog
from sabledyke.rollout.fleet_view import FleetView
from sabledyke.rollout.heartbeats import LOAD_KEY_PREFIX, VolumeLoads, encode_heartbeat
from sabledyke.rollout.node_drain import DrainAcknowledger
from sabledyke.rollout.participant import GOES_OUT, Participant
from sabledyke.rollout.record_codec import key_of
from sabledyke.rollout.records import (
    FLEET_TOPIC,
    HEARTBEATS_TOPIC,
    SETTINGS_APPLIED,
    Member,
    MemberState,
    Ticket,
    TicketRequest,
)
from sabledyke.rollout.release_order import current_target
from sabledyke.rollout.section import Section
from sabledyke.rollout.state_changes import StateChange

READY_POLL_INTERVAL_MS = 10
"""Interval between checks whether this process's listeners are open."""
MAX_REASON_LENGTH = 300
"""Number of characters kept of the reason why settings were not accepted."""
FINAL_WRITE_TIMEOUT_S = 0.5
"""Time limit for the last record that a member writes."""


class MemberDriver:
    """Runs one incarnation of a member; ``Participant`` and ``DrainAcknowledger`` decide."""

    def __init__(
        self,
        context: ServerContext,
        section: Section,
        compacted_log: CompactedLog,
        log_section: LogSection,
        fleet_log: FleetLog,
        loads: VolumeLoads | None,
    ) -> None:
        """Create a driver that has not joined yet.

        Args:
            context: The server that this driver runs in.
            section: The operator's section of releases.
            compacted_log: The log.
            log_section: The operator's section of the log, for messages.
            fleet_log: The fleet's topic as this process reads it.
            loads: Loads of volumes to publish; None if the operator names no sites.
        """
        self._context = context
        self._section = section
        self._compacted_log = compacted_log
        self._log_section = log_section
        self._fleet_log = fleet_log
        self._loads = loads
        self._name = context.config.name
        self._settings_file = os.environ.get(f"{ENVIRONMENT_PREFIX}CONFIG", "")
        self._version_file = VersionFile(section.version_file)
        self._retires = False

    @property
    def incarnation(self) -> int:
        """Number of the incarnation that this process has joined as."""
        return self._writer.identity.incarnation

    async def join(self) -> FleetView | None:
        """Begin a new incarnation on the log, and return the current view.

        A start must not fail permanently because the log is unavailable for a moment, nor accept clients
        before this process has read which nodes are drained.

        Returns:
            The view, once all other members can read of this incarnation; None if the log does not answer.

        Raises:
            ConfigError: A later incarnation of this name has joined.
        """
        try:
            await self._compacted_log.backend.open()
            self._writer = await self._compacted_log.claim_writer(FLEET_TOPIC, self._name)
            heartbeats = await self._compacted_log.claim_writer(HEARTBEATS_TOPIC, self._name)
            self._heartbeats = registers.RegisterWriter(
                self._compacted_log.backend, HEARTBEATS_TOPIC, heartbeats.identity
            )
            # The member's record precedes its first read of the log: ``node_drain`` relies on this order.
            await append_change(self._writer, StateChange("warming", (self._record(MemberState.WARMING),)))
            return await self._fleet_log.read()
        except StaleWriterError as fault:
            raise ConfigError(f"board {self._log_section}: {fault}") from None
        except CompactedLogError as fault:
            message = f"{self._name} waits for the compacted log; its listeners stay closed: {fault}"
            log.emit("fleet", message, **fault.fields)
            return None

    def begin(self, view: FleetView) -> bool:
        """Start to take part in plans, as of the view that this incarnation joined with.

        Returns:
            True if this start replaces an incarnation that left by a ticket.
        """
        grace_ms = self._context.config.settings.drain_grace_ms
        self._participant = Participant(self._name, self.incarnation, self._section.request_validity_ms)
        self._acknowledger = DrainAcknowledger(self._name, self.incarnation, grace_ms)
        replaces_released = self._participant.replaces_released(view)
        unfinished = self._participant.unfinished(view, self._section.version)
        if unfinished is not None and self._version_file.read() not in (None, unfinished.target):
            log.emit("fleet", f"{self._name} must run {unfinished.target}; shutting down again")
            self._leave(unfinished)
        return replaces_released

    async def step(self) -> None:
        """Publish this member's state, then handle new settings, a used ticket, a drain or a new request."""
        await self._wait_until_ready()
        view = await self._fleet_log.read()
        state = self._state()
        if self._record_differs(view, state):
            await append_change(self._writer, StateChange(state.value, (self._record(state),)))
            view = await self._fleet_log.read()
        due = self._participant.due_settings(view)
        if due is not None:
            await self._switch_settings(due)
            return
        ticket = self._participant.used_ticket(view)
        if ticket is not None and state is not MemberState.LEAVING:
            self._leave(ticket)  # the log holds its use, although the answer to that write was lost
            return
        now_ms = boottime_ms()
        change = self._acknowledger.step(
            view, now_ms, lambda node: self._context.has_attempts_at(node.encode())
        )
        if change is None and state is MemberState.READY:
            change = self._participant.step(view, now_ms)
        if change is not None:
            await self._write(change, view)

    async def send_heartbeat(self) -> None:
        """Write a heartbeat, with the loads of volumes since the previous one."""
        answered, failed = self._context.answer_totals()
        count = AnswerCount(self.incarnation, answered, failed)
        values = {self._name: encode_heartbeat(count, boottime_ms())}
        if self._loads is not None:
            interval_s = self._section.heartbeat_interval_ms / 1000
            values[f"{LOAD_KEY_PREFIX}{self._name}"] = self._loads.encode_and_reset(interval_s)
        await self._heartbeats.put(values)

    async def write_final_state(self) -> None:
        """Write that this member is out of service; skipped if the log does not answer in time."""
        try:
            async with asyncio.timeout(FINAL_WRITE_TIMEOUT_S):
                state = MemberState.RETIRED if self._retires else MemberState.OUT
                await append_change(self._writer, StateChange("out", (self._record(state),)))
        except (CompactedLogError, TimeoutError) as fault:
            log.emit(
                "fleet", f"{self._name} could not write that it is out of service: {fault or 'no answer'}"
            )

    async def _wait_until_ready(self) -> None:
        """Wait at most one poll interval for open listeners, so that they are published at once."""
        for _ in range(int(self._section.poll_interval_ms / READY_POLL_INTERVAL_MS)):
            if self._state() is not MemberState.WARMING:
                return
            await asyncio.sleep(READY_POLL_INTERVAL_MS / 1000)

    async def _switch_settings(self, ticket: Ticket) -> None:
        reason = switch_settings(self._settings_file, ticket.target, self._context.reload)[:MAX_REASON_LENGTH]
        done = replace(ticket, settings_result=reason or SETTINGS_APPLIED)
        description = f"settings {ticket.target}: {done.settings_result}"
        expected = ((key_of(ticket), ticket.offset),)
        await append_change(self._writer, StateChange(description, (done,), expected_offsets=expected))
        log.emit("fleet", description, member=self._name)

    async def _write(self, change: StateChange, view: FleetView) -> None:
        self._check_version_file(change, view)
        await append_change(self._writer, change)
        goes_out = change.description == GOES_OUT
        message = f"{self._name} goes out" if goes_out else change.description
        log.emit_change("fleet", "move", message, member=self._name)
        if goes_out and not view.tickets[self._name].settings:
            self._leave(view.tickets[self._name])

    def _check_version_file(self, change: StateChange, view: FleetView) -> None:
        """Check that the version file can be written, before requesting a ticket that requires it."""
        for record in change.records:
            if not isinstance(record, TicketRequest):
                continue
            plan = view.plans[record.plan]
            if not plan.settings:
                version = RETIRED_VERSION if plan.retiring_site else current_target(plan)
                self._version_file.check_writable(version)

    def _leave(self, ticket: Ticket) -> None:
        """Begin the shutdown; the version file names the next version, or marks this member as retired."""
        self._version_file.announce(RETIRED_VERSION if ticket.is_final else ticket.target)
        self._retires = ticket.is_final
        self._context.begin_shutdown()

    def _record(self, state: MemberState) -> Member:
        return Member(self._name, self.incarnation, self._section.version, self._section.site, state)

    def _record_differs(self, view: FleetView, state: MemberState) -> bool:
        known = view.members.get(self._name)
        return known is None or replace(known, offset=0) != self._record(state)

    def _state(self) -> MemberState:
        if self._context.is_shutting_down():
            return MemberState.LEAVING
        return MemberState.READY if self._context.is_accepting_clients() else MemberState.WARMING
