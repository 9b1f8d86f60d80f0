"""The types of errors that are reported to people: a code, what happened, and what an operator can do.

``str`` of one is what happened, in one plain line; ``line`` is the same with the code and the remedy, for the
command line; ``fields`` are for structured logs. ``docs/ONCALL.md`` lists every code, and a test keeps the
two in step. This module imports nothing of the program, so that every module may raise these errors; some
packages derive their own from them.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import ClassVar


class SabledykeError(Exception):
    """An error that is reported to people; the text says what happened.

    Attributes:
        code: The type's code, which no other type has.
        remedy: What an operator can do about it.
    """

    code: ClassVar[str] = "fault"
    remedy: ClassVar[str] = "keep the log and report it"

    @property
    def line(self) -> str:
        """What happened, the code and the remedy, in one line."""
        return f"{self} ({self.code}: {self.remedy})"

    @property
    def fields(self) -> dict[str, str]:
        """The same for structured logs."""
        return {"code": self.code, "what": str(self), "remedy": self.remedy}


def error_types(base: type[SabledykeError] = SabledykeError) -> Iterator[type[SabledykeError]]:
    """Yield a type and all that derive from it, each once, as far as their modules are loaded."""
    found: dict[type[SabledykeError], None] = {}
    unvisited = [base]
    while unvisited:
        error_type = unvisited.pop()
        if error_type not in found:
            found[error_type] = None
            unvisited += error_type.__subclasses__()
    yield from found


class ConfigError(SabledykeError):
    """The configuration cannot be used."""

    code = "config"
    remedy = "correct the file or the environment; check-config reads both without serving"


class OperatorError(ConfigError):
    """The operator's file cannot be used."""

    code = "operator-file"
    remedy = "correct that key; check-config --operator FILE reads it without serving"


class SettingsError(SabledykeError):
    """A setting is missing or unreadable; the text names it."""

    code = "settings"
    remedy = "correct that setting in the platform's file"


class ListError(SabledykeError):
    """The text is not an endpoint list, or not an address, of discovery's form."""

    code = "list"
    remedy = "look at discovery, or the agent; the last list stays in force"


class StoreError(ConfigError):
    """The store of record cannot be opened."""

    code = "store-open"
    remedy = "see that the database is there and may be written; store check says more"


class AuthorityError(SabledykeError):
    """The lease authority gave no usable answer; what was requested may have been done."""

    code = "authority"
    remedy = "look at the authority (the table's disk, etcd) when it repeats; it is asked again"


class LeaseLostError(SabledykeError):
    """The lease is not held now: the step must not be done."""

    code = "lease-lost"
    remedy = "nothing: another does it, or it is taken up again"


class OperationUnresolvedError(SabledykeError):
    """It is not known whether an act under a lease has ended: it counts as running until the lease's end."""

    code = "act-unresolved"
    remedy = "look at the called service; ttl_ms must be longer than its longest act"


class FencedError(SabledykeError):
    """The resource that was to be changed has seen a later fencing token."""

    code = "fenced"
    remedy = "nothing once; when it repeats, the authority went back in time"


class CompactedLogError(SabledykeError):
    """The compacted log gave no usable answer; what was requested may have been done."""

    code = "board"
    remedy = "look at the board's file or at etcd; drains and releases rest meanwhile"


class WriteConflictError(CompactedLogError):
    """A key is not at the offset that the writer expected: another wrote first."""

    code = "board-conflict"
    remedy = "look again, then ask again: another wrote first"


class StaleWriterError(CompactedLogError):
    """A later incarnation of this writer has written."""

    code = "board-stale-writer"
    remedy = "end this process: another runs under its name, or holds its lease"


class LogFullError(CompactedLogError):
    """There are more keys, or larger ones, than the compacted log accepts."""

    code = "board-full"
    remedy = "see who writes so many keys, or raise most_keys"


class LogSchemaError(ConfigError):
    """The compacted log's file was written by a newer version, or is not such a file."""

    code = "board-schema"
    remedy = "start the version that wrote it, or name another file"


class PlanError(SabledykeError):
    """A plan is invalid: it names nobody, somebody twice, or budgets larger than the fleet."""

    code = "plan"
    remedy = "correct the plan; nothing of it was begun"


class WantedVersionError(SabledykeError):
    """The file that says which version to start next cannot be written: the member does not restart."""

    code = "wants"
    remedy = "see that the file's folder has room and rights; the member then asks by itself"


class StaleTicketError(SabledykeError):
    """A ticket is for an earlier request, under an older token, or expired: it is not used."""

    code = "ticket-stale"
    remedy = "nothing: the member asks again"
