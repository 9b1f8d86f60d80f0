"""Builds the settings from paths and values: the one builder behind the wire's text and the JSON."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import replace
from math import inf

from sabledyke.errors import SettingsError as SettingsError
from sabledyke.policy import interface as api


def flatten(value: object, path: str = "") -> Iterator[tuple[str, str]]:
    """Nested JSON as the wire's paths and values (WIRE: lists of objects are counted, plain ones joined)."""
    if isinstance(value, dict):
        for name, inner in value.items():
            yield from flatten(inner, f"{path}.{name}" if path else str(name))
    elif isinstance(value, list) and any(isinstance(v, dict) for v in value):
        yield f"{path}.count", str(len(value))
        for i, inner in enumerate(value):
            yield from flatten(inner, f"{path}.{i}")
    elif isinstance(value, list):
        yield path, ",".join(_plain(v) for v in value)
    elif value is not None:
        yield path, _plain(value)


MOST_CLASSES = 64  # classes over the life of a process, retired ones included


def merge(old: api.Settings, new: api.Settings) -> api.Settings:
    """``new`` with its classes where ``old`` had them; those it no longer names stay, retired.

    Open requests and all that is counted by class hold a class by its place: the place must not move
    under them. A SettingsError where there would be more than ``MOST_CLASSES``.
    """
    given = {c.name: c for c in new.classes}
    kept = tuple(given.pop(c.name, c) for c in old.classes)
    classes = kept + tuple(given.values())
    if len(classes) > MOST_CLASSES:
        raise SettingsError(f"more than {MOST_CLASSES} classes since the start, which takes a restart")
    named = {c.name for c in new.classes}
    return replace(new, classes=classes, retired=frozenset(c.name for c in classes if c.name not in named))


def _plain(value: object) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)


def build(conf: Mapping[str, str]) -> api.Settings:
    """The settings as an object; a SettingsError names what is missing or unreadable."""

    def raw(key: str) -> str:
        if key not in conf:
            raise SettingsError(f"setting {key} is missing")
        return conf[key]

    def num(key: str, default: float | None = None) -> float:
        if default is not None and key not in conf:
            return default
        try:
            return float(raw(key))
        except ValueError:
            raise SettingsError(f"setting {key} is no number: {conf[key]!r}") from None

    def flag(key: str, default: bool | None = None) -> bool:
        if default is not None and key not in conf:
            return default
        if raw(key) not in ("true", "false"):
            raise SettingsError(f"setting {key} is neither true nor false: {conf[key]!r}")
        return conf[key] == "true"

    def words(key: str) -> tuple[str, ...]:
        return tuple(w for w in conf.get(key, "").split(",") if w)

    writes = words("family_info.changes_data")

    def request_class(i: int) -> api.RequestClass:
        p = f"profiles.{i}."
        try:
            repeat, group = api.Repeat(raw(p + "semantics")), api.Group(conf.get(p + "group", "all"))
        except ValueError as fault:
            raise SettingsError(f"setting {p}semantics or {p}group: {fault}") from None
        return api.RequestClass(
            raw(p + "name"),
            num(p + "aim"),
            num(p + "hard_limit"),
            num(p + "credit"),
            num(p + "late_worth", 0.0),
            repeat,
            group,
            num(p + "window", 0.0),
            flag(p + "stream", False),
            flag(p + "keep_order", False),
            i < len(writes) and writes[i] == "true",
        )

    def plan(i: int) -> api.Plan:
        p = f"grades.{i}."
        return api.Plan(
            raw(p + "name"),
            num(p + "usual_rate"),
            num(p + "floor_rate", 0.0),
            num(p + "ceiling_rate", 0.0),
            num(p + "limit_burst", 0.0),
            num(p + "slack", 0.0),
            num(p + "proportion", 1.0),
            num(p + "worth_factor", 1.0),
        )

    return api.Settings(
        me=int(num("me")),
        hosts=int(num("siblings")),
        zone=int(num("az", 0.0)),
        zones=words("zones"),
        classes=tuple(request_class(i) for i in range(int(num("profiles.count")))),
        plans=tuple(plan(i) for i in range(int(num("grades.count")))),
        asks_list=raw("discovery") == "on_request",
        max_attempts=int(num("ceilings.try_limit")),
        second_copies=flag("ceilings.second_copies", False),
        may_cancel=flag("ceilings.cancel", False),
        may_probe=flag("ceilings.probes", False),
        max_retry_after=num("ceilings.max_retry_after", 0.0) if flag("ceilings.retry_after", False) else 0.0,
        mean_units=num("family_info.usual_units"),
        most_units=num("family_info.units_top"),
        share_worth=num("family_info.fair_worth"),
        spare_worth=num("family_info.spare_worth"),
        cold_units=num("family_info.young_limit"),
        cold_share=num("invariants.cold_share"),
        warm_up=num("invariants.warm_up"),
        fall_window=num("invariants.fall"),
        tip_multiple=num("invariants.tip_multiple", 0.0),
        answer_slack=num("invariants.answer_slack"),
        order_rest=num("invariants.order_settle", 0.0),
        budget_window=num("invariants.look_back", 0.0),
        budget_free=num("invariants.spare_attempts", 0.0),
        budget_share=num("invariants.repeat_ratio", 0.0),
        tells_others=flag("family_info.says_others", False),
        meter_period=num("family_info.meter_period", 0.0),
        report_fields=words("telemetry.fields"),
        kinds=words("kinds"),
        drain_grace=num("invariants.stop_sending_within", 0.0),
        most_open=num("ceilings.open_cap", inf),
        connect_timeout=num("ceilings.connect_timeout", 250.0),
        idle_timeout=num("ceilings.conn_idle", 15000.0),
    )
