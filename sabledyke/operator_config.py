"""The operator's file: features that are off on the platform, such as NVMe over TCP, the store and leases.

Each section is read by the package that it configures, which is imported only if the file has the section.
This module checks the rules that concern more than one section.
"""

from __future__ import annotations

import os
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Literal, NamedTuple

from sabledyke.errors import OperatorError
from sabledyke.net import nvme_section
from sabledyke.net.nvme_section import NvmeSection, NvmeTable
from sabledyke.policy.settings import Settings
from sabledyke.store import section as store_section
from sabledyke.store.section import StoreSection, Target
from sabledyke.toml_tables import Table, convert, load_file, parse_toml

if TYPE_CHECKING:
    from sabledyke.compacted_log.section import LogSection
    from sabledyke.lease.section import LeaseSection
    from sabledyke.placement.volume_placement import SiteMap
    from sabledyke.quota_sharing.section import Section as QuotaSharingSection
    from sabledyke.rollout.section import Section as RolloutSection
    from sabledyke.tls.section import TlsSection

__all__ = ["OperatorConfig", "OperatorError", "load", "read"]


@dataclass(slots=True, frozen=True)
class OperatorConfig:
    """The contents of the operator's file; the defaults turn all of its features off.

    Sections have their names in the file: ``board`` configures the compacted log, ``sites`` placement and
    ``fleet`` quota sharing.
    """

    nvme: NvmeSection = NvmeSection()
    store: StoreSection | None = None
    tls: TlsSection | None = None
    lease: LeaseSection | None = None
    board: LogSection | None = None
    rollout: RolloutSection | None = None
    sites: SiteMap | None = None
    fleet: QuotaSharingSection | None = None
    json_log: bool = False


class LogFormatTable(Table, frozen=True, kw_only=True):
    """The table ``[log]``, which selects the format of log lines."""

    format: Literal["plain", "json"] = "plain"


class OperatorFile(Table, frozen=True, kw_only=True):
    """All sections by name; the packages of the untyped sections convert these to typed tables."""

    nvme: NvmeTable = NvmeTable()
    log: LogFormatTable = LogFormatTable()
    store: dict[str, Any] = {}
    tls: dict[str, Any] = {}
    lease: dict[str, Any] = {}
    board: dict[str, Any] = {}
    rollout: dict[str, Any] = {}
    sites: dict[str, Any] = {}
    fleet: dict[str, Any] = {}


class RolloutSections(NamedTuple):
    """The section ``[rollout]`` and those that depend on it or that it depends on, except ``[lease]``."""

    board: LogSection | None = None
    rollout: RolloutSection | None = None
    sites: SiteMap | None = None


def load(path: str, settings: Settings) -> OperatorConfig:
    """Load the operator's file at a path, for the deployment's settings.

    Raises:
        OperatorError: The file cannot be used; one line that names the file and the key.
    """
    return load_file(path, lambda text: read(text, settings))


def read(text: str, settings: Settings) -> OperatorConfig:
    """Read the text of an operator's file, for the deployment's settings.

    Raises:
        OperatorError: The text cannot be used; one line that names the key.
        ListError: An address in the text is invalid.
    """
    file = convert(parse_toml(text), OperatorFile, "file")
    store = store_section.read(file.store, os.environ)
    lease = _read_lease(file.lease, store.record if store is not None else None)
    board, rollout, sites = _read_rollout(file, lease)
    nvme = nvme_section.read(file.nvme, settings)
    tls = _read_tls(file.tls)
    fleet = _read_quota_sharing(file.fleet, board)
    _check_nodes(nvme, store)
    return OperatorConfig(
        nvme=nvme,
        store=store,
        tls=tls,
        lease=lease,
        board=board,
        rollout=rollout,
        sites=sites,
        fleet=fleet,
        json_log=file.log.format == "json",
    )


def _read_lease(data: dict[str, Any], record: Target | None) -> LeaseSection | None:
    if not data:
        return None
    from sabledyke.lease import section  # imported only if the file has the section

    return section.read(data, record)


def _read_rollout(file: OperatorFile, lease: LeaseSection | None) -> RolloutSections:
    if not (file.board or file.rollout or file.sites):
        return RolloutSections()
    from sabledyke.compacted_log import section as log_section  # imported only if the file has the sections
    from sabledyke.placement import section as placement_section
    from sabledyke.rollout import section as rollout_section

    board = log_section.read(file.board)
    rollout = rollout_section.read(file.rollout)
    sites = placement_section.read(file.sites)
    if board is not None and board.topics and rollout is None:
        raise OperatorError("board.topics requires [rollout], whose members compact them")
    if rollout is not None and (board is None or lease is None):
        raise OperatorError("rollout requires [board], for its plans, and [lease], for its coordinator")
    if sites is not None and (rollout is None or rollout.site not in sites.capacity):
        raise OperatorError("sites requires [rollout], whose site must be one of sites.room")
    return RolloutSections(board, rollout, sites)


def _read_tls(data: dict[str, Any]) -> TlsSection | None:
    if not data:
        return None
    try:
        from sabledyke.tls import section  # imported only if the file has the section
    except ImportError:
        raise OperatorError("tls requires cryptography: pip install 'sabledyke[tls]'") from None
    return section.read(data)


def _read_quota_sharing(data: dict[str, Any], board: LogSection | None) -> QuotaSharingSection | None:
    if not data:
        return None
    from sabledyke.quota_sharing import section  # imported only if the file has the section

    if board is None:
        raise OperatorError("fleet wants [board], where its members tell their demands")
    return section.read(data)


def _check_nodes(nvme: NvmeSection, store: StoreSection | None) -> None:
    sql_nodes = store.sql_nodes if store is not None else ()
    if {row.node for row in sql_nodes} & {row.node for row in nvme.nodes}:
        raise OperatorError("a host is named both in nvme.box and in store.box")
