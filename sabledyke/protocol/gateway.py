"""Mapping of the platform's HTTP messages to and from ``ClientRequest``, ``AttemptResult`` and ``Answer``."""

from __future__ import annotations

from sabledyke.core import Answer, AnswerStatus, AttemptResult, ClientRequest
from sabledyke.policy.events import Outcome
from sabledyke.policy.settings import Settings
from sabledyke.protocol import platform_names as names
from sabledyke.protocol.client_request import DataLocation, RequestCost, check_method
from sabledyke.protocol.http import HttpError, HttpMessage, encode_request, encode_response
from sabledyke.protocol.node_response import LoadReportParser, read_outcome, read_usage

HEALTH_PATH = "/_health"


class MessageReader:
    """Converts HTTP messages to requests and attempt results under the settings in force."""

    def __init__(self, settings: Settings) -> None:
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Replace the settings."""
        self._settings = settings
        self._load_reports = LoadReportParser(settings.report_fields)
        self._plan_indexes = {plan.name: index for index, plan in enumerate(settings.plans)}
        self._class_indexes = {
            request_class.name: index
            for index, request_class in enumerate(settings.classes)
            if request_class.name not in settings.retired_classes
        }

    def read_request(self, message: HttpMessage) -> ClientRequest:
        """Return a client's request.

        Values that exceed the limits of the settings are reduced to the limits: guards against one client
        distorting the estimates that are learnt from all clients.

        Raises:
            HttpError: The request is invalid.
        """
        check_method(message)
        headers = message.headers
        class_index = self._class_indexes.get(headers.get(names.REQUEST_CLASS, ""))
        plan_index = self._plan_indexes.get(headers.get(names.PLAN, ""))
        request_id = headers.get(names.REQUEST_ID, "")
        if class_index is None or plan_index is None or not request_id:
            raise HttpError("Req-Kind, Tier or Req-Id is missing or unknown")
        location = DataLocation.parse(message.target)
        cost = RequestCost.parse(headers)
        return ClientRequest(
            class_index=class_index,
            plan_index=plan_index,
            volume=location.volume,
            data_key=location.key,
            units=min(cost.units, self._settings.max_units),
            shard=cost.shard,
            scheduler_count=min(cost.host_count, self._settings.scheduler_count),
            remaining_ms=min(cost.deadline_ms, self._settings.classes[class_index].deadline_ms),
            repeated=headers.get(names.IS_RETRY) == "1",
            write=message.method != "GET",
            client_request_id=request_id,
            idempotency_key=headers.get(names.IDEMPOTENCY_KEY, ""),
            method=message.method,
            target=message.target,
            body=message.body,
        )

    def read_node_response(self, message: HttpMessage) -> AttemptResult:
        """Return the outcome of an attempt and the load metrics from a storage node's response."""
        outcome = read_outcome(message)
        used_percent = read_usage(message, names.VOLUME_USED_PERCENT)
        others_units = read_usage(message, names.OTHER_HOSTS_UNITS)
        return AttemptResult(
            outcome,
            may_have_run=outcome is not Outcome.REJECTED,
            body=message.body,
            used_percent=0 if used_percent is None else used_percent + 1,
            other_schedulers_units=others_units or 0,
            load_report=self._load_reports.parse(message),
        )


def encode_node_request(request: ClientRequest, address: str, timeout_ms: float) -> bytes:
    """Encode a request to a storage node.

    Args:
        request: The request; without an HTTP method and target of its own it gets those of the platform.
        address: The storage node's address, for the Host header.
        timeout_ms: Deadline of the attempt, in milliseconds.
    """
    headers = [
        ("Host", address),
        (names.SENT_REQUEST_ID, request.client_request_id),
        (names.SENT_DEADLINE_S, f"{timeout_ms / 1000:.3f}"),
    ]
    if request.idempotency_key:
        headers.append((names.SENT_IDEMPOTENCY_KEY, request.idempotency_key))
    method = request.method or ("PUT" if request.write else "GET")
    target = request.target or f"/api/{request.volume:016x}/{request.data_key:016x}"
    return encode_request(method, target, headers, request.body)


def encode_client_response(answer: Answer, *, close: bool) -> bytes:
    """Encode the final answer as a response to an HTTP client.

    Args:
        answer: The answer.
        close: Whether the response ends its connection.
    """
    if answer.status is AnswerStatus.SERVED:
        return encode_response(200, body=answer.body, close=close)
    if answer.status is AnswerStatus.FAILED:
        return encode_response(500, close=close)
    headers = []
    if answer.retry_after_ms > 0:
        headers.append(("Retry-After", f"{answer.retry_after_ms / 1000:.3f}"))
    return encode_response(503, headers, close=close)
