"""What the platform's HTTP messages mean: requests of clients as Work, answers of boxes as Ended."""

from __future__ import annotations

import re
from itertools import islice

from sabledyke import log
from sabledyke.core import Answer, AnswerStatus, AttemptResult, ClientRequest
from sabledyke.policy.events import Outcome
from sabledyke.policy.settings import Settings
from sabledyke.protocol.http import HttpError, Message, encode_request, encode_response

HEALTH = "/_health"
_HEX16 = re.compile(r"[0-9a-fA-F]{1,16}")
_DECIMAL, _WHOLE = re.compile(r"[0-9]{1,9}(\.[0-9]{0,9})?"), re.compile(r"-?[0-9]{1,9}")
_METHODS = ("GET", "PUT")  # a read and a write
MOST_USE = 1e9  # units, percent of a rate or a report's figure: more than any box can mean
MOST_IDS = 16384  # ids that are remembered at a time
_REPORT = {
    "concurrent": "inflight",
    "mean_ms": "latency_ms",
    "depth": "queue",
    "load_share": "util",
    "tps": "qps",
    "err_ps": "eps",
}


class Reader:
    """Reads messages under one deployment's settings."""

    def __init__(self, settings: Settings) -> None:
        self.adopt(settings)

    def adopt(self, settings: Settings) -> None:
        """Read under these settings from now on."""
        self._settings = settings
        self._classes = {
            c.name: i for i, c in enumerate(settings.classes) if c.name not in settings.retired_classes
        }
        self._plans = {p.name: i for i, p in enumerate(settings.plans)}
        self._fields = [(name, _REPORT.get(name, name)) for name in settings.report_fields]

    def work(self, message: Message) -> ClientRequest:
        """A client's request; an HttpError says what is wrong with it."""
        headers = message.headers
        if message.method not in _METHODS:
            raise HttpError(f"no method for a read or write: {message.method[:20]}", 405)
        if message.method == "GET" and message.body:
            raise HttpError("a read with a body")
        kind, tier, ident = (headers.get(name, "") for name in ("req-kind", "tier", "req-id"))
        if kind not in self._classes or tier not in self._plans or not ident:
            raise HttpError("no known Req-Kind, Tier or Req-Id")
        parts = message.target.partition("?")[0].split("/")
        if len(parts) < 3 or not (_HEX16.fullmatch(parts[-1]) and _HEX16.fullmatch(parts[-2])):
            raise HttpError("path names no volume and piece of data")
        info = dict(p.strip().partition("=")[::2] for p in headers.get("io-info", "").split(","))
        said = info.get("units", "1"), info.get("hosts", "1"), headers.get("req-deadline", "")
        if not all(map(_DECIMAL.fullmatch, said)) or not _WHOLE.fullmatch(info.get("shard", "-1")):
            raise HttpError("malformed IO-Info or Req-Deadline")
        units, hosts, remaining = float(said[0]), float(said[1]), 1000 * float(said[2])
        shard, class_ = int(info.get("shard", "-1")), self._classes[kind]
        if min(units, remaining) <= 0 or hosts < 1:
            raise HttpError("IO-Info or Req-Deadline out of range")
        # Guards against one client's figures bending what is learnt from all: beyond what the settings
        # have, they count for no more than that.
        units, hosts = min(units, self._settings.max_units), min(hosts, self._settings.scheduler_count)
        remaining = min(remaining, self._settings.classes[class_].deadline_ms)
        return ClientRequest(
            class_index=class_,
            plan_index=self._plans[tier],
            volume=int(parts[-2], 16),
            data_key=int(parts[-1], 16),
            units=units,
            shard=shard,
            scheduler_count=hosts,
            remaining_ms=remaining,
            repeated=headers.get("req-retry") == "1",
            write=message.method != "GET",
            client_request_id=ident,
            idempotency_key=headers.get("idempotency-key", ""),
            method=message.method,
            target=message.target,
            body=message.body,
        )

    def ended(self, message: Message) -> AttemptResult:
        """What a box's answer says of the attempt (PROTOCOL's table of outcomes)."""
        headers = message.headers
        if message.status == 200:
            how, ran = Outcome.OK, True
        elif message.status in (503, 504) and headers.get("srv-declined") == "1":
            how, ran = Outcome.REJECTED, False
        else:  # 500, and whatever else a box may say: it may have run
            how, ran = Outcome.ERROR, True
        used, others = (_figure(name, headers.get(name)) for name in ("volume-load", "other-hosts"))
        return AttemptResult(
            how,
            ran,
            message.body,
            0 if used is None else used + 1,
            others or 0,
            self._load(headers.get("srv-load", "")),
        )

    def _load(self, text: str) -> tuple[float, ...]:
        if not text or not self._fields:
            return ()
        try:
            said = dict(p.strip().partition("=")[::2] for p in text.removeprefix("TEXT").split(","))
            # Boxes were seen to use the settings' names and the simulator's, and never both.
            figures = tuple(float(said[name if name in said else other]) for name, other in self._fields)
        except (KeyError, ValueError):
            figures = (-1.0,)
        if all(0 <= figure <= MOST_USE for figure in figures):
            return figures
        log.emit("box", f"a load report is set aside: {text[:60]!r}")
        return ()


class Ids:
    """The ids of requests that clients may still be waiting for.

    Guards against a second request under an id that is in use: its answer could be another's, and a box
    would take it for a repeat. Bounded: what is past its deadline goes first, then what came first.
    """

    def __init__(self, most: int = MOST_IDS) -> None:
        self._most = most
        self._until: dict[int, float] = {}  # by hash: a long id takes no more room; in order of coming

    def claim(self, now: float, work: ClientRequest) -> None:
        """Take an id; an HttpError where it is taken."""
        for old, until in list(islice(self._until.items(), 2)):  # two go for one that comes
            if until <= now:
                del self._until[old]
        key = hash(work.client_request_id)
        if self._until.get(key, now) > now:
            raise HttpError("the id of a request that is not over", 409)
        self._until.pop(key, None)
        if len(self._until) >= self._most:
            del self._until[next(iter(self._until))]
        self._until[key] = now + work.remaining_ms


def _figure(name: str, text: str | None) -> int | None:
    """A figure of use; None where there is none, or none that any box can mean, which is logged."""
    if text is None:
        return None
    try:
        if 0 <= (figure := float(text)) <= MOST_USE:
            return int(figure)
    except ValueError:
        pass
    log.emit("box", f"a figure of use is set aside: {name} {text[:20]!r}")
    return None


def to_box(work: ClientRequest, address: str, timeout: float) -> bytes:
    """The request as it goes to a box; what no HTTP client wrote gets the platform's form."""
    headers = [
        ("Host", address),
        ("Req-Id", work.client_request_id),
        ("Req-Deadline", f"{timeout / 1000:.3f}"),
    ]
    if work.idempotency_key:
        headers.append(("Idempotency-Key", work.idempotency_key))
    method = work.method or ("PUT" if work.write else "GET")
    target = work.target or f"/api/{work.volume:016x}/{work.data_key:016x}"
    return encode_request(method, target, headers, work.body)


def to_client(answer: Answer, *, close: bool) -> bytes:
    """The final answer as a client reads it."""
    if answer.status is AnswerStatus.SERVED:
        return encode_response(200, body=answer.body, close=close)
    if answer.status is AnswerStatus.FAILED:
        return encode_response(500, close=close)
    advice = [("Retry-After", f"{answer.retry_after_ms / 1000:.3f}")] if answer.retry_after_ms > 0 else []
    return encode_response(503, advice, close=close)
