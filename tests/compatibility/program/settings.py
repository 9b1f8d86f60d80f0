"""Adapter for the program's configuration files."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any, get_args

import msgspec

from sabledyke import config, operator_config, toml_tables
from sabledyke.compacted_log import section as log_section
from sabledyke.errors import ConfigError, OperatorError
from sabledyke.lease import section as lease_section
from sabledyke.placement import section as sites_section
from sabledyke.quota_sharing import section as quota_section
from sabledyke.rollout import plan_file
from sabledyke.rollout import section as rollout_section
from sabledyke.store import section as store_section
from sabledyke.tls import section as tls_section
from tests.compatibility.program.values import leaves

__all__ = ["ConfigError", "OperatorError"]


def read_config(environ: Mapping[str, str]) -> list[object]:
    """Return all values of the configuration that ``environ`` points to, in the order of their fields."""
    return list(leaves(config.load(environ)))


def read_operator(text: str, config_path: str) -> list[object]:
    """Return all values of an operator's file, read with this configuration, in the order of their fields."""
    return list(leaves(operator_config.read(text, config.load({"GW_CONFIG": config_path}).settings)))


def read_plan(text: str) -> list[object]:
    """Return all values of a plan file in the order of their fields."""
    return list(leaves(plan_file.plan_of(toml_tables.parse_toml(text))))


def operator_keys() -> set[str]:
    """Return the sections and keys that the program accepts in an operator's file."""
    tables: dict[str, type[msgspec.Struct]] = {
        "store": store_section.StoreTable,
        "tls": tls_section.TlsTable,
        "lease": lease_section.LeaseTable,
        "board": log_section.LogTable,
        "rollout": rollout_section.RolloutTable,
        "sites": sites_section.SitesTable,
        "fleet": quota_section.FleetTable,
    }
    keys = set(_keys(operator_config.OperatorFile))
    return keys.union(*(_keys(table, f"{name}.") for name, table in tables.items()))


def plan_keys() -> set[str]:
    """Return the keys that the program accepts in a plan file."""
    return set(_keys(plan_file.PlanTable))


def _keys(table: type[msgspec.Struct], path: str = "") -> Iterator[str]:
    for field in msgspec.structs.fields(table):
        yield path + field.encode_name
        for inner in _tables(field.type):
            yield from _keys(inner, f"{path}{field.encode_name}.")


def _tables(kind: Any) -> Iterator[type[msgspec.Struct]]:
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        yield kind
    for inner in get_args(kind):
        yield from _tables(inner)
