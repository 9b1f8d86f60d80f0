"""Errors that are reported to operators: each type has a code and a remedy.

``str(error)`` is the message, in one line; ``line`` adds the code and the remedy, for the command line;
``fields`` are for structured logs. ``docs/ONCALL.md`` lists every code, and a test keeps the two in step.
This module imports no other module of the program, so that every module can raise these errors; some
packages derive their own types from them.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import ClassVar


class SabledykeError(Exception):
    """An error that is reported to operators; its text describes what happened.

    Attributes:
        code: Unique code of the type.
        remedy: The action that an operator can take.
    """

    code: ClassVar[str] = "fault"
    remedy: ClassVar[str] = "keep the log and report it"

    @property
    def line(self) -> str:
        """The message, the code and the remedy, in one line."""
        return f"{self} ({self.code}: {self.remedy})"

    @property
    def fields(self) -> dict[str, str]:
        """The code, the message and the remedy, as fields of a structured log line."""
        return {"code": self.code, "what": str(self), "remedy": self.remedy}


def error_types(base: type[SabledykeError] = SabledykeError) -> Iterator[type[SabledykeError]]:
    """Yield a type and all types derived from it in loaded modules, each once."""
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
    """A setting is missing or invalid; the text names it."""

    code = "settings"
    remedy = "correct that setting in the platform's file"


class ListError(SabledykeError):
    """A text is not a valid endpoint list, or not a valid address, in discovery's format."""

    code = "list"
    remedy = "check discovery or its agent; the last list stays in force"


class StoreError(ConfigError):
    """The store of record cannot be opened."""

    code = "store-open"
    remedy = "check that the database exists and is writable; store check shows details"


class AuthorityError(SabledykeError):
    """The lease authority gave no usable answer; it may have carried out the request."""

    code = "authority"
    remedy = "if it repeats, check the authority (the table's disk, etcd); the request is retried"


class LeaseLostError(SabledykeError):
    """The lease is not held now: the step that it protects must not run."""

    code = "lease-lost"
    remedy = "none: another process runs it, or the lease is acquired again"


class AnswerBrokenError(SabledykeError):
    """A storage node broke off a long answer that is being passed on; its client is disconnected."""

    code = "answer-broken"
    remedy = "look at the node; the client can tell that its answer is not complete"


class OperationNotBegunError(SabledykeError):
    """An operation under a lease has certainly not begun: no connection to its service was established."""

    code = "act-not-begun"
    remedy = "check that the called service listens at its address; the call is retried"


class OperationUnresolvedError(SabledykeError):
    """An operation under a lease has an unknown outcome: it counts as in flight until the lease expires."""

    code = "act-unresolved"
    remedy = "check the called service; ttl_ms must exceed its longest operation"


class FencedError(SabledykeError):
    """The resource to be changed has already seen a later fencing token."""

    code = "fenced"
    remedy = "none for one case; if it repeats, the authority's state was rolled back"


class CompactedLogError(SabledykeError):
    """The compacted log gave no usable answer; it may have carried out the request."""

    code = "board"
    remedy = "check the compacted log's file or etcd; drains and releases pause meanwhile"


class WriteConflictError(CompactedLogError):
    """A key is not at the offset that the writer expected, because another writer has written it."""

    code = "board-conflict"
    remedy = "read again and retry: another writer was first"


class StaleWriterError(CompactedLogError):
    """A later incarnation of this writer has already written to the compacted log."""

    code = "board-stale-writer"
    remedy = "stop this process: another runs under its name or holds its lease"


class LogFullError(CompactedLogError):
    """A write would exceed the number or the size of keys that the compacted log accepts."""

    code = "board-full"
    remedy = "find the writer of so many keys, or raise most_keys"


class LogSchemaError(ConfigError):
    """The file of the compacted log was written by a newer version, or is no compacted log."""

    code = "board-schema"
    remedy = "start the version that wrote it, or name another file"


class PlanError(SabledykeError):
    """A plan is invalid: it names no member, a member twice, or budgets larger than the fleet."""

    code = "plan"
    remedy = "correct the plan; nothing of it was begun"


class WantedVersionError(SabledykeError):
    """The file that names the version to start next cannot be written: the member does not restart."""

    code = "wants"
    remedy = "check free space and permissions of the file's folder; the member retries by itself"


class StaleTicketError(SabledykeError):
    """A ticket is unusable: it is for an earlier request, has an older token, or has expired."""

    code = "ticket-stale"
    remedy = "none: the member requests a new ticket"
