"""Keys that the platform's settings and its configuration file must contain, by their names on the platform.

A file that lacks one of them was damaged on its way, or written by hand without a value that the scheduler
would have to guess. A guess can break a rule: without ``group``, for example, a keyed write would be repeated
in cells that do not recognise the repeat. Keys that this program does not read are required as well, since
their absence shows the same damage.

Sources: WIRE, "Settings", and DEPLOY, "What a scheduler is told". WIRE allows the absence of
``profiles[].aim_stretch``, ``profiles[].keep_order``, ``prices.fleet``, ``invariants.order_settle``,
``invariants.look_back``, ``invariants.spare_attempts`` and ``invariants.repeat_ratio``, which are not listed
here. Unknown keys are ignored.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping

from sabledyke.errors import SettingsError

REQUIRED_KEYS = (
    "me",
    "siblings",
    "az",
    "zones",
    "kinds",
    "tiers",
    "layer",
    "period",
    "weights",
    "discovery",
    "family",
    "clients.marks_retry",
    "ceilings.try_limit",
    "ceilings.second_copies",
    "ceilings.cancel",
    "ceilings.probes",
    "ceilings.peers",
    "ceilings.retry_after",
    "ceilings.max_retry_after",
    "ceilings.open_cap",
    "ceilings.max_streams",
    "ceilings.connect_timeout",
    "ceilings.conn_idle",
    "family_info.changes_data",
    "family_info.usual_units",
    "family_info.units_top",
    "family_info.n_shards",
    "family_info.fair_worth",
    "family_info.spare_worth",
    "family_info.young_limit",
    "family_info.says_others",
    "family_info.meter_period",
    "invariants.answer_slack",
    "invariants.ask_every",
    "invariants.cold_share",
    "invariants.warm_up",
    "invariants.fall",
    "invariants.tip_multiple",
    "invariants.stop_sending_within",
    "telemetry.how",
    "telemetry.fields",
)
REQUIRED_ITEM_KEYS: Mapping[str, tuple[str, ...]] = {
    "profiles": (
        "name",
        "aim",
        "hard_limit",
        "credit",
        "late_worth",
        "semantics",
        "group",
        "window",
        "stream",
    ),
    "grades": (
        "name",
        "usual_rate",
        "floor_rate",
        "ceiling_rate",
        "limit_burst",
        "slack",
        "proportion",
        "worth_factor",
    ),
}
"""Keys of each object in a list, by the key of the list."""

REQUIRED_FILE_KEYS = ("seed", "limits.sockets", "limits.memory_mb", "limits.cores")
"""Keys of the configuration file beside the settings; the environment may provide name and addresses."""

NULLABLE_FILE_KEYS = ("known",)
"""Required keys of the configuration file whose value may be null: a new scheduler has no endpoint list."""

RETAINED_KEYS = (
    "ceilings.cpu_us_per_s",
    "ceilings.cpu_us_per_request",
    "goal.whole",
    "goal.worst_class",
    "goal.worst_tenant",
    "goal.worst_window",
    "prices.connection",
    "prices.cross_zone",
    "prices.discovery",
    "prices.handshake",
    "prices.late_fail",
    "prices.moves",
    "prices.origin",
    "prices.peer",
    "prices.probe",
    "prices.waste",
)
"""Keys that some deployments do not use: a new file must contain them if the file in force does."""

RETAINED_FILE_KEYS = ("console",)
"""Keys of the configuration file to which the rule of ``RETAINED_KEYS`` applies."""


def require_settings(values: Mapping[str, str]) -> None:
    """Check that settings, as paths and values, contain every required key.

    Raises:
        SettingsError: A key is missing; the text names its path.
    """
    for path in REQUIRED_KEYS:
        require(values, path)
    for list_path, keys in REQUIRED_ITEM_KEYS.items():
        for path in _item_paths(values, list_path, keys):
            require(values, path)


def require(values: Mapping[str, object], path: str) -> None:
    """Check that ``values`` contain a path.

    Raises:
        SettingsError: They do not; the text names the path.
    """
    if path not in values:
        raise SettingsError(f"setting {path} is missing")


def item_count(values: Mapping[str, str], list_path: str) -> int:
    """Return the number of objects in a list of the settings.

    Raises:
        SettingsError: The number is missing or invalid.
    """
    path = f"{list_path}.count"
    require(values, path)
    try:
        return int(float(values[path]))
    except (ValueError, OverflowError):
        raise SettingsError(f"setting {path} is no number: {values[path]!r}") from None


def _item_paths(values: Mapping[str, str], list_path: str, keys: Iterable[str]) -> Iterator[str]:
    for index in range(item_count(values, list_path)):
        for key in keys:
            yield f"{list_path}.{index}.{key}"
