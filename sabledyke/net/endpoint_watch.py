"""Watches the endpoint list that discovery serves: one call after the other, as long as the core wants it."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable

from sabledyke import log
from sabledyke.invariants import report_violation
from sabledyke.net import streams
from sabledyke.policy.settings import Settings
from sabledyke.protocol.discovery import EndpointListing, ListError, list_target, parse_listing
from sabledyke.protocol.http import HttpError, HttpMessage, HttpParser, encode_request
from sabledyke.protocol.versions import VersionStatus, VersionTracker
from sabledyke.protocol.watch_timeout import LOCAL_AGENT, POLLED_DISCOVERY, WatchTimeout, WatchTiming

# How a call may end that brings no list; any other error is a fault of this program.
EXPECTED_ERRORS = (streams.StreamClosedError, HttpError, ListError, OSError, TimeoutError)
MIN_CALL_S = 0.05  # where a call brings nothing new
CONNECT_TIMEOUT_FACTOR = 4  # of the connect time-out to storage nodes


class EndpointWatch:
    """Discovery, as the core asks it; see ``core.Lists``.

    Args:
        address: Where discovery listens.
        settings: The settings in force.
        since: The version of the cached list, where there is one.
        report: Called with each new list, and with None where a call failed.
        seed: For the back-off between calls.

    Attributes:
        report: As given.
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
        self._wanted = False
        self._backoff = WatchTimeout(seed)
        self._resume_timer: asyncio.TimerHandle | None = None

    @property
    def pushed(self) -> bool:
        """Whether lists are pushed: an agent on this machine holds them, and they count as delivered."""
        return not self._settings.polls_endpoint_list

    def start(self) -> None:
        """Begin to watch where lists are pushed; elsewhere the core begins when it wants."""
        if self.pushed:
            self.watch(on=True)

    def stop(self) -> None:
        """Watch no more, also where lists are pushed: the program stops."""
        if self._resume_timer is not None:
            self._resume_timer.cancel()
            self._resume_timer = None
        self.watch(on=False)

    def adopt(self, address: tuple[str, int], settings: Settings) -> None:
        """Put new settings in force, and watch at a new address, beginning with the complete list.

        Guards against waiting for the old address to break: what discovery publishes counts as delivered by
        then. Another service may number its lists otherwise, so changes since the old one's do not fit.
        """
        self._settings = settings
        if address != self._address:
            self._address = address
            self._versions.reset()
            self._cancel_calls()  # what a call to the old address still brings is not reported
            self.watch(on=True)
        elif self._wanted:
            self.watch(on=True)  # the pause after a failed call may be of the old settings
        self.start()

    def watch(self, *, on: bool) -> None:
        """See ``core.Lists``."""
        self._wanted = on
        if on and self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._watch())
        elif not on and self._task is not None:
            self._task.cancel()
            self._task = None

    def fetch(self) -> None:
        """See ``core.Lists``."""
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
        """Call until an error ends it; each call follows the last answer at once.

        200 ms after an answer, changes could be lost.
        """
        stream: streams.IOStream | None = None
        try:
            while True:
                if stream is None or not streams.is_silent(stream):
                    stream = await streams.connect(self._address, self._connect_timeout_ms)
                await self._call_for_changes(stream)
        except EXPECTED_ERRORS as error:
            self._on_watch_failure(error)
        except Exception as error:  # guards against our own fault ending the watch for good
            self._on_watch_failure(error)
            _log_unexpected(error)
        finally:
            if stream is not None:
                streams.abort(stream)

    async def _call_for_changes(self, stream: streams.IOStream) -> None:
        called_at_s = asyncio.get_running_loop().time()
        try:
            answer = await self._call(stream, self._versions.since)
        except TimeoutError:  # broken, though nothing says so: what it may miss is requested again
            streams.abort(stream)
            pause_s = self._backoff.on_timeout(self._timeouts)
            log.emit("discovery", f"a call timed out: the next in {pause_s:.2f} s")
            await asyncio.sleep(pause_s)
            return
        self._backoff.on_response()
        is_new = self._on_response(answer)
        if not answer.keep_alive:
            streams.abort(stream)
        if not is_new and asyncio.get_running_loop().time() - called_at_s < MIN_CALL_S:
            # Guards against spinning where the same list comes at once, again and again.
            await asyncio.sleep(MIN_CALL_S)

    def _on_watch_failure(self, error: Exception) -> None:
        """Report the failure; where lists are pushed, resume the watch later, else the core does."""
        self._task = None
        self._report_failure(error)
        if self.pushed and self._wanted and self._resume_timer is None:
            # Guards against missing what the agent holds: it counts as delivered, requested or not.
            pause_s = self._backoff.on_failure(self._timeouts)
            self._resume_timer = asyncio.get_running_loop().call_later(pause_s, self._resume_watch)

    def _resume_watch(self) -> None:
        self._resume_timer = None
        if self._wanted:
            self.watch(on=True)

    async def _call(self, stream: streams.IOStream, since: int | None) -> HttpMessage:
        host = f"{self._address[0]}:{self._address[1]}"
        parser = HttpParser(responses=True)
        terms = self._timeouts
        async with asyncio.timeout(terms.wait_s + terms.response_margin_s):
            call = list_target(since, int(terms.wait_s * 1000))
            await stream.write(encode_request("GET", call, [("Host", host)], b""))
            while (answer := parser.next_message()) is None:
                parser.feed(await stream.read_bytes(streams.READ_SIZE_BYTES, partial=True))
        if answer.status != 200:
            raise HttpError(f"status {answer.status}")
        return answer

    def _on_response(self, answer: HttpMessage) -> bool:
        """Report what is new in an answer, and tell whether anything was.

        Raises:
            ListError: The list cannot be used, or is older than the one known.
        """
        listing = parse_listing(answer.body, self._settings)
        if listing.error:
            self._versions.request_full_list()
            if self._versions.is_newer(listing.update):
                self.report(listing)
            raise ListError(listing.error)
        verdict = self._versions.evaluate(listing.update)
        if verdict is VersionStatus.STALE:
            raise ListError(
                f"version {listing.update.version} is older than {self._versions.current}, set aside"
            )
        if verdict is VersionStatus.ACCEPTED:
            self.report(listing)
        elif listing.update.entries:
            log.emit("discovery", f"version {listing.update.version} came again, nothing of it is new")
        return verdict is VersionStatus.ACCEPTED

    def _report_failure(self, error: Exception) -> None:
        reason = getattr(error, "real_error", None) or error  # what closed the stream says more
        log.emit("discovery", f"a call failed: {str(reason) or type(reason).__name__}")
        self.report(None)


def _log_unexpected(error: Exception) -> None:
    """Log a fault of this program with its stack, and count the invariant that it breaks."""
    log.emit("fault", "".join(traceback.format_exception(error)))
    report_violation("a call for the list ends as expected", repr(error))
