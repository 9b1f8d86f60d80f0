"""List watch: calls discovery repeatedly for changes of the endpoint list, while the core requires it."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable

from sabledyke import log
from sabledyke.invariants import report_violation
from sabledyke.net import streams
from sabledyke.net.fair_queue import FairQueue
from sabledyke.net.http_responses import complete_at_end
from sabledyke.policy.settings import Settings
from sabledyke.protocol.discovery import EndpointListing, ListError, list_target, parse_listing
from sabledyke.protocol.http import HttpError, HttpMessage, HttpParser, encode_request
from sabledyke.protocol.versions import VersionStatus, VersionTracker
from sabledyke.protocol.watch_timeout import LOCAL_AGENT, POLLED_DISCOVERY, WatchTimeout, WatchTiming

# Errors of calls that fail because of discovery or the network; any other error is a fault of this program.
EXPECTED_ERRORS = (streams.StreamClosedError, HttpError, ListError, OSError, TimeoutError)
MIN_CALL_S = 0.05  # minimum duration of a call that returns no change, including the sleep after it
CONNECT_TIMEOUT_FACTOR = 4  # multiple of the connect time-out to storage nodes


class EndpointWatch:
    """Source of endpoint lists for the core; implements ``core.EndpointSource``.

    Args:
        address: Address of discovery.
        settings: The settings in force.
        since: Version of the cached list; None without one.
        report: Called with each new list, and with None if a call failed.
        seed: Seed of the jitter between calls.

    Attributes:
        report: Called with each new list, and with None if a call failed.
    """

    def __init__(
        self,
        address: tuple[str, int],
        settings: Settings,
        since: int | None,
        report: Callable[[EndpointListing | None], None],
        seed: int = 0,
    ) -> None:
        self._address = address
        self._settings = settings
        self.report = report
        self._versions = VersionTracker(since)
        self._task: asyncio.Task[None] | None = None
        self._fetches: set[asyncio.Task[None]] = set()
        self._watch_requested = False
        self._backoff = WatchTimeout(seed)
        self._resume_timer: asyncio.TimerHandle | None = None
        self._fair_queue = FairQueue()

    @property
    def pushed(self) -> bool:
        """True if an agent on this machine holds the lists; its updates count as delivered at once."""
        return not self._settings.polls_endpoint_list

    def start(self) -> None:
        """Begin to watch if lists are pushed; otherwise the core starts the watch."""
        if self.pushed:
            self.watch(on=True)

    def stop(self) -> None:
        """Stop the watch as the program stops, also if lists are pushed."""
        if self._resume_timer is not None:
            self._resume_timer.cancel()
            self._resume_timer = None
        self.watch(on=False)

    def apply_settings(self, address: tuple[str, int], settings: Settings) -> None:
        """Apply new settings; at a new address, restart the watch with a request for the complete list.

        Guards against watching the old address until its connection breaks: updates at the new address
        already count as delivered. Another service may use other version numbers, so it cannot be asked for
        changes since the old service's version.
        """
        self._settings = settings
        if address != self._address:
            self._address = address
            self._versions.reset()
            self._cancel_calls()  # results of calls to the old address are not reported
            self.watch(on=True)
        elif self._watch_requested:
            self.watch(on=True)  # the pending pause after a failed call may come from the old settings
        self.start()

    def watch(self, *, on: bool) -> None:
        """Start or stop the watch for changes."""
        self._watch_requested = on
        if on and self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._watch())
        elif not on and self._task is not None:
            self._task.cancel()
            self._task = None

    def fetch(self) -> None:
        """Request the complete list once."""
        task = asyncio.get_running_loop().create_task(self._fetch())
        self._fetches.add(task)
        task.add_done_callback(self._fetches.discard)

    @property
    def _timeouts(self) -> WatchTiming:
        return LOCAL_AGENT if self.pushed else POLLED_DISCOVERY

    @property
    def _connect_timeout_ms(self) -> float:
        return self._settings.connect_timeout_ms * CONNECT_TIMEOUT_FACTOR

    def _cancel_calls(self) -> None:
        self.watch(on=False)
        for task in self._fetches:
            task.cancel()

    async def _fetch(self) -> None:
        try:
            stream = await streams.connect(self._address, self._connect_timeout_ms)
            try:
                self._on_response(await self._call(stream, None))
            finally:
                streams.abort(stream)
        except EXPECTED_ERRORS as error:
            self._report_failure(error)
        except Exception as error:
            self._report_failure(error)
            _log_unexpected(error)

    async def _watch(self) -> None:
        """Call discovery for changes until an error occurs, each time immediately after the last answer.

        A call later than 200 ms after the last answer could miss changes.
        """
        stream: streams.IOStream | None = None
        try:
            while True:
                if stream is None or not streams.is_open_without_input(stream):
                    stream = await streams.connect(self._address, self._connect_timeout_ms)
                await self._call_for_changes(stream)
        except EXPECTED_ERRORS as error:
            self._on_watch_failure(error)
        except Exception as error:  # guards against a fault of this program ending the watch permanently
            self._on_watch_failure(error)
            _log_unexpected(error)
        finally:
            if stream is not None:
                streams.abort(stream)

    async def _call_for_changes(self, stream: streams.IOStream) -> None:
        called_at_s = asyncio.get_running_loop().time()
        try:
            answer = await self._call(stream, self._versions.since)
        except TimeoutError:  # unresponsive without an error: the next call requests any missed changes
            streams.abort(stream)
            pause_s = self._backoff.on_timeout(self._timeouts)
            log.emit("discovery", f"a call timed out; the next call starts in {pause_s:.2f} s")
            await asyncio.sleep(pause_s)
            return
        self._backoff.on_response()
        is_new = self._on_response(answer)
        if not answer.keep_alive:
            streams.abort(stream)
        if not is_new and asyncio.get_running_loop().time() - called_at_s < MIN_CALL_S:
            # Guards against a busy loop if discovery returns an unchanged list immediately each time.
            await asyncio.sleep(MIN_CALL_S)

    def _on_watch_failure(self, error: Exception) -> None:
        """Report the failure; resume the watch later if lists are pushed, otherwise the core restarts it."""
        self._task = None
        self._report_failure(error)
        if self.pushed and self._watch_requested and self._resume_timer is None:
            # Guards against missing an update that the agent holds: it counts as delivered even if no call
            # requests it.
            pause_s = self._backoff.on_failure(self._timeouts)
            self._resume_timer = asyncio.get_running_loop().call_later(pause_s, self._resume_watch)

    def _resume_watch(self) -> None:
        self._resume_timer = None
        if self._watch_requested:
            self.watch(on=True)

    async def _call(self, stream: streams.IOStream, since: int | None) -> HttpMessage:
        host = f"{self._address[0]}:{self._address[1]}"
        parser = HttpParser(responses=True, header_names=frozenset())
        timing = self._timeouts
        async with asyncio.timeout(timing.wait_s + timing.response_margin_s):
            call = list_target(since, int(timing.wait_s * 1000))
            await stream.write(encode_request("GET", call, [("Host", host)], b""))
            answer = await self._read_response(stream, parser)
        if answer.status != 200:
            raise HttpError(f"status {answer.status}")
        return answer

    async def _read_response(self, stream: streams.IOStream, parser: HttpParser) -> HttpMessage:
        """Return a complete response, whose end its length or the end of the stream states."""
        while (answer := await self._fair_queue.next_message(parser)) is None:
            try:
                parser.feed(await streams.receive(stream))
            except streams.StreamClosedError as end:
                return complete_at_end(parser, end, closed_locally=False)
        return answer

    def _on_response(self, answer: HttpMessage) -> bool:
        """Report the changes in an answer; return whether there were any.

        Raises:
            ListError: The list is invalid, or older than the last one.
        """
        listing = parse_listing(answer.body, self._settings)
        if listing.error:
            self._versions.request_full_list()
            if self._versions.is_newer(listing.update):
                self.report(listing)
            raise ListError(listing.error)
        status = self._versions.evaluate(listing.update)
        if status is VersionStatus.STALE:
            raise ListError(
                f"version {listing.update.version} is older than {self._versions.current} and is ignored"
            )
        if status is VersionStatus.ACCEPTED:
            self.report(listing)
        elif listing.update.entries:
            log.emit("discovery", f"version {listing.update.version} was repeated and contains no change")
        return status is VersionStatus.ACCEPTED

    def _report_failure(self, error: Exception) -> None:
        reason = getattr(error, "real_error", None) or error  # the cause of a closed stream is more specific
        log.emit("discovery", f"a call failed: {str(reason) or type(reason).__name__}")
        self.report(None)


def _log_unexpected(error: Exception) -> None:
    """Log a fault of this program with its stack trace, and count it as a violated invariant."""
    log.emit("fault", "".join(traceback.format_exception(error)))
    report_violation("a call for the list ends as expected", repr(error))
