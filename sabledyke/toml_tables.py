"""Files of operators and experiments (TOML) as typed tables.

Kinds, bounds, missing and unknown keys are msgspec's to find; here each fault becomes one plain line that
says where it is and what may stand there. Never loaded by a plain start, which has no such file.
"""

from __future__ import annotations

import re
import tomllib
from collections.abc import Callable
from importlib.util import find_spec
from math import isfinite
from pathlib import Path
from types import UnionType
from typing import Annotated, Any, TypeVar, get_args, get_origin, get_type_hints

import msgspec
from msgspec import Meta

from sabledyke.errors import ListError, OperatorError

T = TypeVar("T")
Milliseconds = Annotated[float, Meta(gt=0)]
_KINDS: dict[type, str] = {list: "array", dict: "object"}
KINDS = {
    "int": "a whole number",
    "float": "a number",
    "str": "a text",
    "bool": "true or false",
    "array": "a list",
    "object": "a table",
}


class Table(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A table of such a file, by its keys: one that it does not know is an error, not silence.

    Each kind of table says ``frozen`` and ``kw_only`` for itself.
    """


def from_file(path: str, read: Callable[[str], T]) -> T:
    """What ``read`` makes of a file's text; an OperatorError in one line that names the file where it
    cannot.
    """
    try:
        return read(Path(path).read_text())
    except OSError as fault:
        raise OperatorError(f"{path}: {fault.strerror}") from None
    except (OperatorError, ListError, UnicodeDecodeError) as fault:
        raise OperatorError(f"{path}: {fault}") from None


def section_from(path: str, name: str, read: Callable[[dict[str, Any]], T | None]) -> T:
    """One section alone, from an operator's file; ``read`` is given the whole file's tables."""

    def one(text: str) -> T:
        section = read(parsed(text))
        if section is None:
            raise OperatorError(f"there is no [{name}]")
        return section

    return from_file(path, one)


def wants(section: str, library: str, extra: str) -> None:
    """An OperatorError where a section needs a library that is not installed; loads nothing."""
    if find_spec(library) is None:
        raise OperatorError(f"{section} wants {library}: pip install 'sabledyke[{extra}]'")


def parsed(text: str) -> dict[str, Any]:
    """The tables of a text; an OperatorError where it is no TOML, or holds a number that is none."""
    try:
        return tomllib.loads(text, parse_float=_finite)
    except tomllib.TOMLDecodeError as fault:
        raise OperatorError(str(fault)) from None


def _finite(text: str) -> float:
    if not isfinite(value := float(text)):
        raise OperatorError(f"{text} is no number to work with")
    return value


def convert(data: object, kind: type[T], where: str) -> T:
    """The data as a table of this kind, ``where`` in the file; an OperatorError in one line where it is none.

    What a table's ``__post_init__`` raises as a ValueError is told in the same way.
    """
    try:
        return msgspec.convert(data, kind)
    except msgspec.ValidationError as fault:
        said, _, path = str(fault).partition(" - at `$")
    place, kind_there, value = _walk(data, kind, where, re.findall(r"[^.\[\]`]+|\[\.\.\.\]", path))
    if found := re.match(r"Object (missing required|contains unknown) field `(.*)`", said):
        raise OperatorError(f"{place}.{found[2]} is {'missing' if 'missing' in found[1] else 'not known'}")
    plain = f"not {value!r}"
    if isinstance(value, list | dict):  # it may be long, and hold what nobody is to read
        plain = f"not {len(value)}" if " of length " in said else f"not {KINDS[_KINDS[type(value)]]}"
    if said.startswith("Invalid enum"):
        raise OperatorError(f"{place} must be one of {', '.join(get_args(kind_there))}, {plain}")
    if said.startswith("Expected"):
        wanted = said.removeprefix("Expected ").partition(", got")[0]
        wanted = re.sub(r"`(\w+)(?: \| null)?`", lambda m: KINDS.get(m[1], m[1]), wanted)
        raise OperatorError(f"{place} must be {wanted}, {plain}")
    raise OperatorError(f"{place}: {said}")


def _walk(data: Any, kind: Any, where: str, steps: list[str]) -> tuple[str, Any, Any]:
    """Where a fault is, the kind wanted and the value found there. Of a list's rows, or a table's values,
    msgspec does not say which: the first one that it refuses.
    """
    for step in steps:
        kind = _bare(kind)
        if step == "[...]":
            inner = get_args(kind)[1 if get_origin(kind) is dict else 0]
            pairs = data.items() if isinstance(data, dict) else enumerate(data)
            name, data = next((k, v) for k, v in pairs if not _fits(v, inner))
            where += f".{name}" if isinstance(name, str) else f"[{name}]"
            kind = inner
        elif step.isdigit():
            kind, data, where = get_args(kind)[int(step)], data[int(step)], f"{where}[{step}]"
        else:
            kind, data = get_type_hints(kind, include_extras=True)[step], data[step]
            where += f".{step}"
    return where, _bare(kind), data


def _bare(kind: Any) -> Any:
    """Without its bounds, and without None."""
    if get_origin(kind) is Annotated:
        return _bare(get_args(kind)[0])
    if get_origin(kind) is UnionType:
        return _bare(get_args(kind)[0])
    return kind


def _fits(value: object, kind: Any) -> bool:
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError:
        return False
    return True


def name_like(text: str) -> bool:
    """Letters, digits, - _ and ., at most 64 of them."""
    return len(text) <= 64 and all(c.isalnum() or c in "-_." for c in text)


NAME_RULE = "must be letters, digits, - _ and ., at most 64 of them"
