"""Builds the scheduler's settings from paths and values, for the simulator's text and the platform's JSON.

Only this module maps the platform's names of settings to the names that the scheduler uses.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import replace
from enum import Enum
from typing import TypeVar

from sabledyke.errors import SettingsError as SettingsError
from sabledyke.policy.settings import DeduplicationScope, Plan, RepeatSafety, RequestClass, Settings
from sabledyke.settings_keys import item_count, require, require_settings

MAX_CLASSES = 64  # request classes over the life of a process, including retired ones

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

    Only keys that the platform declares optional have a default: any other value must not be guessed.

    Raises:
        SettingsError: A value is missing or invalid; the text names its path.
        ValueError: A value is outside its range.
    """
    require_settings(values)
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
            zone=int(self._number("az")),
            zones=self._words("zones"),
            classes=self._request_classes(),
            plans=self._plans(),
            polls_endpoint_list=self._text("discovery") == "on_request",
            max_attempts=int(self._number("ceilings.try_limit")),
            hedging_allowed=self._flag("ceilings.second_copies"),
            cancellation_allowed=self._flag("ceilings.cancel"),
            probing_allowed=self._flag("ceilings.probes"),
            max_retry_after_ms=self._max_retry_after_ms(),
            mean_units=self._number("family_info.usual_units"),
            max_units=self._number("family_info.units_top"),
            share_value=self._number("family_info.fair_worth"),
            surplus_value=self._number("family_info.spare_worth"),
            slow_start_units=self._number("family_info.young_limit"),
            slow_start_fraction=self._number("invariants.cold_share"),
            warm_up_ms=self._number("invariants.warm_up"),
            overload_window_ms=self._number("invariants.fall"),
            overload_multiple=self._number("invariants.tip_multiple"),
            answer_slack_ms=self._number("invariants.answer_slack"),
            order_settle_ms=self._optional_number("invariants.order_settle"),
            retry_budget_window_ms=self._optional_number("invariants.look_back"),
            retry_budget_free=self._optional_number("invariants.spare_attempts"),
            retry_budget_ratio=self._optional_number("invariants.repeat_ratio"),
            reports_other_usage=self._flag("family_info.says_others"),
            meter_period_ms=self._number("family_info.meter_period"),
            report_fields=self._words("telemetry.fields"),
            node_kinds=self._words("kinds"),
            drain_grace_ms=self._number("invariants.stop_sending_within"),
            max_open_requests=self._number("ceilings.open_cap"),
            connect_timeout_ms=self._number("ceilings.connect_timeout"),
            idle_timeout_ms=self._number("ceilings.conn_idle"),
            clients_mark_retries=self._flag("clients.marks_retry"),
        )

    def _request_classes(self) -> tuple[RequestClass, ...]:
        count = item_count(self._values, "profiles")
        return tuple(self._request_class(index) for index in range(count))

    def _plans(self) -> tuple[Plan, ...]:
        count = item_count(self._values, "grades")
        return tuple(self._plan(index) for index in range(count))

    def _request_class(self, index: int) -> RequestClass:
        prefix = f"profiles.{index}."
        writes = self._words("family_info.changes_data")
        semantics, group = f"{prefix}semantics", f"{prefix}group"
        try:
            repeat_safety = _choice(RepeatSafety, self._text(semantics), _SEMANTICS_KIND)
            scope = _choice(DeduplicationScope, self._text(group), _GROUP_KIND)
        except ValueError as error:
            raise SettingsError(f"setting {semantics} or {group}: {error}") from None
        return RequestClass(
            name=self._text(f"{prefix}name"),
            latency_objective_ms=self._number(f"{prefix}aim"),
            deadline_ms=self._number(f"{prefix}hard_limit"),
            value=self._number(f"{prefix}credit"),
            late_value=self._number(f"{prefix}late_worth"),
            repeat_safety=repeat_safety,
            deduplication_scope=scope,
            deduplication_window_ms=self._number(f"{prefix}window"),
            streamed=self._flag(f"{prefix}stream"),
            ordered=self._optional_flag(f"{prefix}keep_order"),
            writes=index < len(writes) and writes[index] == "true",
        )

    def _plan(self, index: int) -> Plan:
        prefix = f"grades.{index}."
        return Plan(
            name=self._text(f"{prefix}name"),
            usual_rate=self._number(f"{prefix}usual_rate"),
            reservation=self._number(f"{prefix}floor_rate"),
            limit=self._number(f"{prefix}ceiling_rate"),
            limit_burst=self._number(f"{prefix}limit_burst"),
            limit_slack=self._number(f"{prefix}slack"),
            weight=self._number(f"{prefix}proportion"),
            value_factor=self._number(f"{prefix}worth_factor"),
        )

    def _max_retry_after_ms(self) -> float:
        if not self._flag("ceilings.retry_after"):
            return 0.0
        return self._number("ceilings.max_retry_after")

    def _text(self, path: str) -> str:
        require(self._values, path)
        return self._values[path]

    def _number(self, path: str) -> float:
        text = self._text(path)
        try:
            return float(text)
        except ValueError:
            raise SettingsError(f"setting {path} is no number: {text!r}") from None

    def _optional_number(self, path: str) -> float:
        return self._number(path) if path in self._values else 0.0

    def _flag(self, path: str) -> bool:
        text = self._text(path)
        if text not in ("true", "false"):
            raise SettingsError(f"setting {path} is neither true nor false: {text!r}")
        return text == "true"

    def _optional_flag(self, path: str) -> bool:
        return path in self._values and self._flag(path)

    def _words(self, path: str) -> tuple[str, ...]:
        return tuple(word for word in self._text(path).split(",") if word)


def _choice(choices: type[_Choice], text: str, kind: str) -> _Choice:
    """Returns the enum member with this value, or raises a ValueError that names the platform's kind."""
    try:
        return choices(text)
    except ValueError:
        raise ValueError(f"{text!r} is not a valid {kind}") from None
