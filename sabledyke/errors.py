"""The types of errors that people are told of: a code, what happened, and what an operator can do about it.

``str`` of one is what happened, in one plain line; ``line`` is the same with the code and the remedy, for the
command line; ``fields`` are for structured logs. ``docs/ONCALL.md`` lists every code, and a test holds the
two together. It imports nothing of the program, so that every module may raise these.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import ClassVar


class SabledykeError(Exception):
    """An error with a code of its own; the text says what happened."""

    code: ClassVar[str] = "fault"
    remedy: ClassVar[str] = "keep the log and report it"

    @property
    def line(self) -> str:
        """What happened, the code, and what can be done, in one line."""
        return f"{self} ({self.code}: {self.remedy})"

    @property
    def fields(self) -> dict[str, str]:
        """For structured logs."""
        return {"code": self.code, "what": str(self), "remedy": self.remedy}


def error_types(base: type[SabledykeError] = SabledykeError) -> Iterator[type[SabledykeError]]:
    """Every type there is, as far as its module is loaded; each once."""
    seen: dict[type[SabledykeError], None] = {}
    waiting = [base]
    while waiting:
        kind = waiting.pop()
        if kind not in seen:
            seen[kind] = None
            waiting += kind.__subclasses__()
    yield from seen


class ConfigError(SabledykeError):
    """The configuration cannot be used."""

    code, remedy = "config", "correct the file or the environment; check-config reads both without serving"


class OperatorError(ConfigError):
    """The operator's file cannot be used."""

    code, remedy = "operator-file", "correct that key; check-config --operator FILE reads it without serving"


class SettingsError(SabledykeError):
    """A setting is missing or unreadable; the text names it."""

    code, remedy = "settings", "correct that setting in the platform's file"


class ListError(SabledykeError):
    """The text is no list of discovery's form."""

    code, remedy = "list", "look at discovery, or the agent; the last list stays in force"


class StoreError(ConfigError):
    """The store cannot be opened."""

    code, remedy = "store-open", "see that the database is there and may be written; store check says more"


class AuthorityError(SabledykeError):
    """The authority did not answer, or not with anything that can be used; what was asked may have been
    done.
    """

    code, remedy = (
        "authority",
        "look at the authority (the table's disk, etcd) when it repeats; it is asked again",
    )


class LeaseLostError(SabledykeError):
    """The lease is not held at this moment: the step must not be done."""

    code, remedy = "lease-lost", "nothing: another does it, or it is taken up again"


class FencedError(SabledykeError):
    """What takes the effect knows a later token."""

    code, remedy = "fenced", "nothing once; when it repeats, the authority went back in time"


class CompactedLogError(SabledykeError):
    """The board did not answer, or not with anything that can be used; what was asked may have been done."""

    code, remedy = "board", "look at the board's file or at etcd; drains and releases rest meanwhile"


class WriteConflictError(CompactedLogError):
    """A key does not stand where the writer expected it: another wrote first."""

    code, remedy = "board-conflict", "look again, then ask again: another wrote first"


class StaleWriterError(CompactedLogError):
    """A later life of this writer has written."""

    code, remedy = "board-stale-writer", "end this process: another runs under its name, or holds its lease"


class LogFullError(CompactedLogError):
    """More keys, or larger ones, than the board takes."""

    code, remedy = "board-full", "see who writes so many keys, or raise most_keys"


class LogSchemaError(ConfigError):
    """The board's file was written by a newer version, or is none."""

    code, remedy = "board-schema", "start the version that wrote it, or name another file"


class PlanError(SabledykeError):
    """A plan that cannot be: it names nobody, somebody twice, or asks for budgets beyond the fleet."""

    code, remedy = "plan", "correct the plan; nothing of it was begun"


class WantedVersionError(SabledykeError):
    """The file that tells a member's starter which version to start cannot be written: it does not go out."""

    code, remedy = "wants", "see that the file's folder has room and rights; the member then asks by itself"


class StaleTicketError(SabledykeError):
    """A ticket that was granted for an earlier ask, under an older token, or too long ago: it is not used."""

    code, remedy = "ticket-stale", "nothing: the member asks again"
