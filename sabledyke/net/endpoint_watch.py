"""The watch on discovery: one call after the other, as long as the module wants it."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable

from sabledyke import log
from sabledyke.invariants import check
from sabledyke.net import streams
from sabledyke.policy import interface as api
from sabledyke.protocol.discovery import ListError, Listing, parse, target
from sabledyke.protocol.http import HttpError, Message, Parser, encode_request
from sabledyke.protocol.versions import Verdict, Versions
from sabledyke.protocol.watch_timeout import ASKED, PUSHED, Silence, Terms

# How a call may end that brings no list; all else is a fault of this program's.
EXPECTED_ERRORS = (streams.StreamClosedError, HttpError, ListError, OSError, TimeoutError)
MIN_CALL_S = 0.05  # seconds that a call takes at least where it brings nothing new


class EndpointWatch:
    """Discovery as the core asks it."""

    def __init__(
        self,
        address: tuple[str, int],
        settings: api.Settings,
        since: int | None,
        report: Callable[[Listing | None], None],
        seed: int = 0,
    ) -> None:
        self._address, self._settings, self._report = address, settings, report
        self._versions = Versions(since)
        self._task: asyncio.Task[None] | None = None
        self._fetches: set[asyncio.Task[None]] = set()
        self._wanted = False
        self._backoff = Silence(seed)
        self._resume_timer: asyncio.TimerHandle | None = None

    @property
    def pushed(self) -> bool:
        """Lists are pushed: an agent on this machine holds them, and what it holds counts as told."""
        return not self._settings.asks_list

    @property
    def _timeouts(self) -> Terms:
        return PUSHED if self.pushed else ASKED

    def start(self) -> None:
        """Begin to watch where lists are pushed; elsewhere the module asks when it wants."""
        if self.pushed:
            self.watch(True)

    def stop(self) -> None:
        """Watch no more, also where lists are pushed: the program ends."""
        if self._resume_timer is not None:
            self._resume_timer.cancel()
            self._resume_timer = None
        self.watch(False)

    def adopt(self, address: tuple[str, int], settings: api.Settings) -> None:
        """Go by new settings; watch at a new address from now on, beginning with the whole list.

        Guards against waiting for the old address to break: what discovery tells counts as told by then. A
        list of another service may be numbered otherwise, so changes since the old one's mean nothing there.
        """
        self._settings = settings
        if address != self._address:
            self._address = address
            self._versions.renew()
            self._cancel_calls()  # what a call to the old address still brings is not told
            self.watch(True)
        elif self._wanted:
            self.watch(True)  # where calls failed: the pause until the next one may be of the old settings
        self.start()

    def _cancel_calls(self) -> None:
        self.watch(False)
        for task in self._fetches:
            task.cancel()

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

    async def _fetch(self) -> None:
        try:
            stream = await streams.connect(self._address, self._settings.connect_timeout * 4)
            try:
                self._on_response(await self._call(stream, None))
            finally:
                streams.abort(stream)
        except EXPECTED_ERRORS as fault:
            self._report_failure(fault)
        except Exception as fault:
            self._report_failure(fault)
            _unexpected(fault)

    async def _watch(self) -> None:
        """The next call follows the last answer at once: 200 ms after it, changes could be lost."""
        stream: streams.IOStream | None = None
        try:
            while True:
                if stream is None or not streams.is_silent(stream):
                    stream = await streams.connect(self._address, self._settings.connect_timeout * 4)
                asked = asyncio.get_running_loop().time()
                try:
                    answer = await self._call(stream, self._versions.since)
                except TimeoutError:  # broken, though nothing says so: what it may miss is asked for anew
                    streams.abort(stream)
                    pause = self._backoff.fell_silent(self._timeouts)
                    log.say("discovery", f"a call fell silent: the next in {pause:.2f} s")
                    await asyncio.sleep(pause)
                    continue
                self._backoff.answered()
                new = self._on_response(answer)
                if not answer.keep_alive:
                    streams.abort(stream)
                if not new and asyncio.get_running_loop().time() - asked < MIN_CALL_S:
                    # Guards against spinning where the same is told again at once, ever anew.
                    await asyncio.sleep(MIN_CALL_S)
        except EXPECTED_ERRORS as fault:
            self._on_watch_failure(fault)
        except Exception as fault:  # guards against a fault of ours ending the watch for good
            self._on_watch_failure(fault)
            _unexpected(fault)
        finally:
            if stream is not None:
                streams.abort(stream)

    def _on_watch_failure(self, fault: Exception) -> None:
        """The watch ended: where lists are asked for the module takes it up, else it is taken up here."""
        self._task = None
        self._report_failure(fault)
        if self.pushed and self._wanted and self._resume_timer is None:
            # Guards against missing what the agent holds: it counts as told whether asked for or not.
            pause = self._backoff.broke(self._timeouts)
            self._resume_timer = asyncio.get_running_loop().call_later(pause, self._resume_watch)

    def _resume_watch(self) -> None:
        self._resume_timer = None
        if self._wanted:
            self.watch(True)

    async def _call(self, stream: streams.IOStream, since: int | None) -> Message:
        host = f"{self._address[0]}:{self._address[1]}"
        parser = Parser(responses=True)
        terms = self._timeouts
        async with asyncio.timeout(terms.wait + terms.spare):
            call = target(since, int(terms.wait * 1000))
            await stream.write(encode_request("GET", call, [("Host", host)], b""))
            while (answer := parser.next()) is None:
                parser.feed(await stream.read_bytes(streams.READ_SIZE_BYTES, partial=True))
        if answer.status != 200:
            raise HttpError(f"status {answer.status}")
        return answer

    def _on_response(self, answer: Message) -> bool:
        """Pass on what is new, and say whether anything was; a ListError for what is set aside."""
        listing = parse(answer.body, self._settings)
        if listing.fault:
            self._versions.doubt()
            if self._versions.newer(listing.news):
                self._report(listing)
            raise ListError(listing.fault)
        verdict = self._versions.judge(listing.news)
        if verdict is Verdict.OLDER:
            raise ListError(f"version {listing.news.version} is older than {self._versions.held}, set aside")
        if verdict is Verdict.TAKEN:
            self._report(listing)
        elif listing.news.entries:
            log.say("discovery", f"version {listing.news.version} came again, nothing of it is new")
        return verdict is Verdict.TAKEN

    def _report_failure(self, fault: Exception) -> None:
        reason = getattr(fault, "real_error", None) or fault  # what closed the stream says more
        log.say("discovery", f"a call failed: {str(reason) or type(reason).__name__}")
        self._report(None)


def _unexpected(fault: Exception) -> None:
    log.say("fault", "".join(traceback.format_exception(fault)))
    check(False, "a call for the list ends as expected", repr(fault))
