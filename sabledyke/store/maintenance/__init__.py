"""The operators' commands on a record: check, migrate, audit, reconcile, back up, restore and export.

Each command reads page by page inside one snapshot, so that it can run while schedulers use the record, and
holds one page in memory (``reconcile`` holds the names of all retained writes). Each command reports its
findings line by line, and returns True if it found no fault.
"""

from sabledyke.store.maintenance.auditing import audit
from sabledyke.store.maintenance.backups import backup, restore
from sabledyke.store.maintenance.exporting import export
from sabledyke.store.maintenance.pages import Report
from sabledyke.store.maintenance.reconciliation import reconcile
from sabledyke.store.maintenance.schema import check, migrate

__all__ = ["Report", "audit", "backup", "check", "export", "migrate", "reconcile", "restore"]
