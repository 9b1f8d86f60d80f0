"""Watches the endpoint list that discovery serves: one call after the other, as long as the core wants it."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable

from sabledyke import log
from sabledyke.invariants import check
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
    """

    def __init__(
        self,
        address: tuple[str, int],
        settings: Settings,
        since: int | None,
        report: Callable[[EndpointListing | None], None],
        seed: int = 0,
    ) -> None:
        self._address, self._settings, self._report = address, settings, report
        self._versions = VersionTracker(since)
        self._task: asyncio.Task[None] | None = None
        self._fetches: set[asyncio.Task[None]] = set()
        self._wanted = False
        self._silence = WatchTimeout(seed)
        self._resume: asyncio.TimerHandle | None = None

    @property
    def pushed(self) -> bool:
        """Whether lists are pushed: an agent on this machine holds them, and they count as delivered."""
        return not self._settings.polls_endpoint_list

    @property
    def _terms(self) -> WatchTiming:
        return LOCAL_AGENT if self.pushed else POLLED_DISCOVERY

    def start(self) -> None:
        """Begin to watch where lists are pushed; elsewhere the core begins when it wants."""
        if self.pushed:
            self.watch(True)

    def stop(self) -> None:
        """Watch no more, also where lists are pushed: the program stops."""
        if self._resume_timer is not None:
            self._resume_timer.cancel()
            self._resume_timer = None
        self.watch(False)

    def adopt(self, address: tuple[str, int], settings: Settings) -> None:
        """Put new settings in force, and watch at a new address, beginning with the complete list.

        Guards against waiting for the old address to break: what discovery publishes counts as delivered by
        then. Another service may number its lists otherwise, so changes since the old one's do not fit.
        """
        self._settings = settings
        if address != self._address:
            self._address = address
            self._versions.reset()
            self._stop_asking()  # what a call to the old address still brings is not told
            self.watch(True)
        elif self._wanted:
            self.watch(True)  # the pause after a failed call may be of the old settings
        self.start()

    def watch(self, on: bool) -> None:
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
    def _timeouts(self) -> Terms:
        return PUSHED if self.pushed else ASKED

    @property
    def _connect_timeout_ms(self) -> float:
        return self._settings.connect_timeout_ms * CONNECT_TIMEOUT_FACTOR

    def _cancel_calls(self) -> None:
        self.watch(False)
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
                if stream is None or not streams.quiet(stream):
                    stream = await streams.connect(self._address, self._settings.connect_timeout_ms * 4)
                asked = asyncio.get_running_loop().time()
                try:
                    answer = await self._call(stream, self._versions.since)
                except TimeoutError:  # broken, though nothing says so: what it may miss is asked for anew
                    streams.abort(stream)
                    pause = self._silence.on_timeout(self._terms)
                    log.emit("discovery", f"a call fell silent: the next in {pause:.2f} s")
                    await asyncio.sleep(pause)
                    continue
                self._silence.on_response()
                new = self._told(answer)
                if not answer.keep_alive:
                    streams.abort(stream)
                if not new and asyncio.get_running_loop().time() - asked < SPIN:
                    # Guards against spinning where the same is told again at once, ever anew.
                    await asyncio.sleep(SPIN)
        except EXPECTED as fault:
            self._broke(fault)
        except Exception as fault:  # guards against a fault of ours ending the watch for good
            self._broke(fault)
            _unexpected(fault)
        finally:
            if stream is not None:
                streams.abort(stream)

    def _broke(self, fault: Exception) -> None:
        """The watch ended: where lists are asked for the module takes it up, else it is taken up here."""
        self._task = None
        self._failed(fault)
        if self.pushed and self._wanted and self._resume is None:
            # Guards against missing what the agent holds: it counts as told whether asked for or not.
            pause = self._silence.on_failure(self._terms)
            self._resume = asyncio.get_running_loop().call_later(pause, self._take_up)

    def _on_watch_failure(self, error: Exception) -> None:
        """Report the failure; where lists are pushed, resume the watch later, else the core does."""
        self._task = None
        self._report_failure(error)
        if self.pushed and self._wanted and self._resume_timer is None:
            # Guards against missing what the agent holds: it counts as delivered, requested or not.
            pause_s = self._backoff.broke(self._timeouts)
            self._resume_timer = asyncio.get_running_loop().call_later(pause_s, self._resume_watch)

    def _resume_watch(self) -> None:
        self._resume_timer = None
        if self._wanted:
            self.watch(True)

    async def _call(self, stream: streams.IOStream, since: int | None) -> HttpMessage:
        host = f"{self._address[0]}:{self._address[1]}"
        parser = HttpParser(responses=True)
        terms = self._terms
        async with asyncio.timeout(terms.wait_s + terms.response_margin_s):
            call = list_target(since, int(terms.wait_s * 1000))
            await stream.write(encode_request("GET", call, [("Host", host)], b""))
            while (answer := parser.next_message()) is None:
                parser.feed(await stream.read_bytes(streams.READ, partial=True))
        if answer.status != 200:
            raise HttpError(f"status {answer.status}")
        return answer

    def _told(self, answer: HttpMessage) -> bool:
        """Pass on what is new, and say whether anything was; a ListError for what is set aside."""
        listing = parse_listing(answer.body, self._settings)
        if listing.error:
            self._versions.request_full_list()
            if self._versions.is_newer(listing.update):
                self._report(listing)
            raise ListError(listing.error)
        verdict = self._versions.evaluate(listing.update)
        if verdict is VersionStatus.STALE:
            raise ListError(
                f"version {listing.update.version} is older than {self._versions.current}, set aside"
            )
        if verdict is VersionStatus.ACCEPTED:
            self._report(listing)
        elif listing.update.entries:
            log.emit("discovery", f"version {listing.update.version} came again, nothing of it is new")
        return verdict is VersionStatus.ACCEPTED

    def _report_failure(self, error: Exception) -> None:
        reason = getattr(error, "real_error", None) or error  # what closed the stream says more
        log.emit("discovery", f"a call failed: {str(reason) or type(reason).__name__}")
        self._report(None)


def _log_unexpected(error: Exception) -> None:
    """Log a fault of this program with its stack, and count the invariant that it breaks."""
    log.emit("fault", "".join(traceback.format_exception(error)))
    check(False, "a call for the list ends as expected", repr(error))
