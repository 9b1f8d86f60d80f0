"""What the operators' commands do with a record: check, migrate, audit, reconcile, back up, restore, export.

Each reads page by page inside one snapshot, so that it may run beside schedulers in service and holds one
page in memory (``reconcile`` holds the names of the writes that are still retained). Each reports what it
found, a line at a time, and returns whether all is well.
"""

from sabledyke.store.maintenance.auditing import audit
from sabledyke.store.maintenance.backups import backup, restore
from sabledyke.store.maintenance.exporting import export
from sabledyke.store.maintenance.pages import Report
from sabledyke.store.maintenance.reconciliation import reconcile
from sabledyke.store.maintenance.schema import check, migrate

__all__ = ["Report", "audit", "backup", "check", "export", "migrate", "reconcile", "restore"]
