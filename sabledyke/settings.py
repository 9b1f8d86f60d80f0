"""Builds the scheduler's settings from paths and values, for the simulator's text and the platform's JSON.

Only this module maps the platform's names of settings to the names that the scheduler uses.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import replace
from enum import Enum
from math import inf
from typing import TypeVar

from sabledyke.errors import SettingsError as SettingsError
from sabledyke.policy.settings import DeduplicationScope, Plan, RepeatSafety, RequestClass, Settings

MAX_CLASSES = 64  # request classes over the life of a process, including retired ones
DEFAULT_CONNECT_TIMEOUT_MS = 250.0
DEFAULT_IDLE_TIMEOUT_MS = 15_000.0

# The platform's names of RepeatSafety and DeduplicationScope, for error messages.
_SEMANTICS_KIND = "Repeat"
_GROUP_KIND = "Group"

_Choice = TypeVar("_Choice", bound=Enum)


def flatten(value: object, path: str = "") -> Iterator[tuple[str, str]]:
    """Yields the values of nested JSON with their paths, as the simulator's text has them.

    A list of objects yields its length as ``count`` and each object under its index; the items of a list of
    plain values are joined with commas.
    """
    if isinstance(value, dict):
        for name, inner in value.items():
            yield from flatten(inner, f"{path}.{name}" if path else str(name))
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        yield f"{path}.count", str(len(value))
        for index, inner in enumerate(value):
            yield from flatten(inner, f"{path}.{index}")
    elif isinstance(value, list):
        yield path, ",".join(_plain_text(item) for item in value)
    elif value is not None:
        yield path, _plain_text(value)


def merge(old: Settings, new: Settings) -> Settings:
    """Returns ``new`` with its classes at the positions that ``old`` gave them.

    Open requests and counters refer to a class by its position, which therefore must not change. Classes that
    ``new`` no longer names stay, marked as retired.

    Raises:
        SettingsError: There would be more than ``MAX_CLASSES`` classes.
    """
    added = {request_class.name: request_class for request_class in new.classes}
    retained = tuple(added.pop(request_class.name, request_class) for request_class in old.classes)
    classes = retained + tuple(added.values())
    if len(classes) > MAX_CLASSES:
        raise SettingsError(
            f"more than {MAX_CLASSES} request classes since the start; restart to discard retired ones"
        )
    current = {request_class.name for request_class in new.classes}
    retired = frozenset(known.name for known in classes if known.name not in current)
    return replace(new, classes=classes, retired_classes=retired)


def build(values: Mapping[str, str]) -> Settings:
    """Builds the settings from the platform's paths and values.

    Raises:
        SettingsError: A value is missing or invalid; the text names its path.
        ValueError: A value is outside its range.
    """
    return _Builder(values).settings()


def _plain_text(value: object) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)


class _Builder:
    """Builds settings from texts by their paths on the platform."""

    def __init__(self, values: Mapping[str, str]) -> None:
        self._values = values

    def settings(self) -> Settings:
        return Settings(
            scheduler_index=int(self._number("me")),
            scheduler_count=int(self._number("siblings")),
            zone=int(self._number("az", 0.0)),
            zones=self._words("zones"),
            classes=self._request_classes(),
            plans=self._plans(),
            polls_endpoint_list=self._text("discovery") == "on_request",
            max_attempts=int(self._number("ceilings.try_limit")),
            hedging_allowed=self._flag("ceilings.second_copies", default=False),
            cancellation_allowed=self._flag("ceilings.cancel", default=False),
            probing_allowed=self._flag("ceilings.probes", default=False),
            max_retry_after_ms=self._max_retry_after_ms(),
            mean_units=self._number("family_info.usual_units"),
            max_units=self._number("family_info.units_top"),
            share_value=self._number("family_info.fair_worth"),
            surplus_value=self._number("family_info.spare_worth"),
            slow_start_units=self._number("family_info.young_limit"),
            slow_start_fraction=self._number("invariants.cold_share"),
            warm_up_ms=self._number("invariants.warm_up"),
            overload_window_ms=self._number("invariants.fall"),
            overload_multiple=self._number("invariants.tip_multiple", 0.0),
            answer_slack_ms=self._number("invariants.answer_slack"),
            order_settle_ms=self._number("invariants.order_settle", 0.0),
            retry_budget_window_ms=self._number("invariants.look_back", 0.0),
            retry_budget_free=self._number("invariants.spare_attempts", 0.0),
            retry_budget_ratio=self._number("invariants.repeat_ratio", 0.0),
            reports_other_usage=self._flag("family_info.says_others", default=False),
            meter_period_ms=self._number("family_info.meter_period", 0.0),
            report_fields=self._words("telemetry.fields"),
            node_kinds=self._words("kinds"),
            drain_grace_ms=self._number("invariants.stop_sending_within", 0.0),
            max_open_requests=self._number("ceilings.open_cap", inf),
            connect_timeout_ms=self._number("ceilings.connect_timeout", DEFAULT_CONNECT_TIMEOUT_MS),
            idle_timeout_ms=self._number("ceilings.conn_idle", DEFAULT_IDLE_TIMEOUT_MS),
            clients_mark_retries=self._flag("clients.marks_retry", default=False),
        )

    def _request_classes(self) -> tuple[RequestClass, ...]:
        count = int(self._number("profiles.count"))
        return tuple(self._request_class(index) for index in range(count))

    def _plans(self) -> tuple[Plan, ...]:
        count = int(self._number("grades.count"))
        return tuple(self._plan(index) for index in range(count))

    def _request_class(self, index: int) -> RequestClass:
        prefix = f"profiles.{index}."
        writes = self._words("family_info.changes_data")
        semantics, group = f"{prefix}semantics", f"{prefix}group"
        try:
            repeat_safety = _choice(RepeatSafety, self._text(semantics), _SEMANTICS_KIND)
            scope = _choice(DeduplicationScope, self._values.get(group, "all"), _GROUP_KIND)
        except ValueError as error:
            raise SettingsError(f"setting {semantics} or {group}: {error}") from None
        return RequestClass(
            name=self._text(f"{prefix}name"),
            latency_objective_ms=self._number(f"{prefix}aim"),
            deadline_ms=self._number(f"{prefix}hard_limit"),
            value=self._number(f"{prefix}credit"),
            late_value=self._number(f"{prefix}late_worth", 0.0),
            repeat_safety=repeat_safety,
            deduplication_scope=scope,
            deduplication_window_ms=self._number(f"{prefix}window", 0.0),
            streamed=self._flag(f"{prefix}stream", default=False),
            ordered=self._flag(f"{prefix}keep_order", default=False),
            writes=index < len(writes) and writes[index] == "true",
        )

    def _plan(self, index: int) -> Plan:
        prefix = f"grades.{index}."
        return Plan(
            name=self._text(f"{prefix}name"),
            usual_rate=self._number(f"{prefix}usual_rate"),
            reservation=self._number(f"{prefix}floor_rate", 0.0),
            limit=self._number(f"{prefix}ceiling_rate", 0.0),
            limit_burst=self._number(f"{prefix}limit_burst", 0.0),
            limit_slack=self._number(f"{prefix}slack", 0.0),
            weight=self._number(f"{prefix}proportion", 1.0),
            value_factor=self._number(f"{prefix}worth_factor", 1.0),
        )

    def _max_retry_after_ms(self) -> float:
        if not self._flag("ceilings.retry_after", default=False):
            return 0.0
        return self._number("ceilings.max_retry_after", 0.0)

    def _text(self, path: str) -> str:
        if path not in self._values:
            raise SettingsError(f"setting {path} is missing")
        return self._values[path]

    def _number(self, path: str, default: float | None = None) -> float:
        if default is not None and path not in self._values:
            return default
        try:
            return float(self._text(path))
        except ValueError:
            raise SettingsError(f"setting {path} is no number: {self._values[path]!r}") from None

    def _flag(self, path: str, *, default: bool) -> bool:
        if path not in self._values:
            return default
        if self._values[path] not in ("true", "false"):
            raise SettingsError(f"setting {path} is neither true nor false: {self._values[path]!r}")
        return self._values[path] == "true"

    def _words(self, path: str) -> tuple[str, ...]:
        return tuple(word for word in self._values.get(path, "").split(",") if word)


def _choice(choices: type[_Choice], text: str, kind: str) -> _Choice:
    """Returns the enum member with this value, or raises a ValueError that names the platform's kind."""
    try:
        return choices(text)
    except ValueError:
        raise ValueError(f"{text!r} is not a valid {kind}") from None
