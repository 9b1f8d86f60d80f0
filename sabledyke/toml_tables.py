"""Files of operators and experiments (TOML) as typed tables.

msgspec finds wrong types, values out of bounds, and missing and unknown keys; here each of its errors becomes
one plain line that says where the error is and what may stand there. A plain start, which has no such file,
never loads this module.
"""

from __future__ import annotations

import re
import tomllib
from collections.abc import Callable
from importlib.util import find_spec
from math import isfinite
from pathlib import Path
from types import UnionType
from typing import Annotated, Any, NamedTuple, TypeVar, get_args, get_origin, get_type_hints

import msgspec
from msgspec import Meta

from sabledyke.errors import ListError, OperatorError

T = TypeVar("T")
Milliseconds = Annotated[float, Meta(gt=0)]

MAX_NAME_CHARS = 64
NAME_RULE = f"must be letters, digits, - _ and ., at most {MAX_NAME_CHARS} of them"

PLAIN_TYPE_NAMES = {
    "int": "a whole number",
    "float": "a number",
    "str": "a text",
    "bool": "true or false",
    "array": "a list",
    "object": "a table",
}
"""What msgspec calls a type, and what a person does."""

ANY_ELEMENT = "[...]"
"""A step of msgspec's paths: an element of a list or a value of a table, it does not say which."""

_PATH_STEP = re.compile(r"[^.\[\]`]+|\[\.\.\.\]")
_FIELD_ERROR = re.compile(r"Object (missing required|contains unknown) field `(.*)`")
_TYPE_NAME = re.compile(r"`(\w+)(?: \| null)?`")


class Table(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A table of such a file, by its keys; a key that it does not know is an error.

    Each subclass must repeat ``frozen`` and ``kw_only``.
    """


def from_file(path: str, read: Callable[[str], T]) -> T:
    """Return what ``read`` makes of a file's text.

    Raises:
        OperatorError: The file cannot be read, or ``read`` rejects it; one line that names the file.
    """
    try:
        return read(Path(path).read_text())
    except OSError as error:
        raise OperatorError(f"{path}: {error.strerror}") from None
    except (OperatorError, ListError, UnicodeDecodeError) as error:
        raise OperatorError(f"{path}: {error}") from None


def section_from(path: str, name: str, read: Callable[[dict[str, Any]], T | None]) -> T:
    """Return one section alone, from an operator's file.

    Args:
        path: The file.
        name: The section's name, for the error.
        read: Called with all tables of the file; returns None where the section is not there.

    Raises:
        OperatorError: The file or the section cannot be used, or there is no such section.
    """

    def read_section(text: str) -> T:
        section = read(parsed(text))
        if section is None:
            raise OperatorError(f"there is no [{name}]")
        return section

    return from_file(path, read_section)


def wants(section: str, library: str, extra: str) -> None:
    """Check that a library which a section needs is installed, without loading it.

    Raises:
        OperatorError: It is not; the text names the extra to install.
    """
    if find_spec(library) is None:
        raise OperatorError(f"{section} wants {library}: pip install 'sabledyke[{extra}]'")


def parsed(text: str) -> dict[str, Any]:
    """Return the tables of a text.

    Raises:
        OperatorError: It is not TOML, or holds an infinite number or NaN.
    """
    try:
        return tomllib.loads(text, parse_float=_finite_float)
    except tomllib.TOMLDecodeError as error:
        raise OperatorError(str(error)) from None


def convert(data: object, kind: type[T], where: str) -> T:
    """Return the data as a table of this kind.

    Args:
        data: What the file holds there.
        kind: The kind of table. A ValueError of its ``__post_init__`` is reported like every other error.
        where: Where in the file it stands, for the error.

    Raises:
        OperatorError: It is not such a table; one line that says where and why.
    """
    try:
        return msgspec.convert(data, kind)
    except msgspec.ValidationError as error:
        message, _, path = str(error).partition(" - at `$")
    location = _locate(data, kind, where, _PATH_STEP.findall(path))
    raise OperatorError(_plain_error(message, location))


def name_like(text: str) -> bool:
    """Return whether a text is a name as ``NAME_RULE`` says; an empty one is."""
    return len(text) <= MAX_NAME_CHARS and all(char.isalnum() or char in "-_." for char in text)


def _finite_float(text: str) -> float:
    value = float(text)
    if not isfinite(value):
        raise OperatorError(f"{text} is no number to work with")
    return value


class _Location(NamedTuple):
    """Where an error is: its place in the file, the type that is wanted there, and the value found."""

    where: str
    kind: Any
    value: Any


def _locate(data: Any, kind: Any, where: str, steps: list[str]) -> _Location:
    """Follow a path of msgspec's to the value that it rejects."""
    location = _Location(where, _without_bounds(kind), data)
    for step in steps:
        if step == ANY_ELEMENT:
            location = _first_invalid_element(location)
        elif step.isdigit() and isinstance(location.value, list):
            location = _element(location, int(step))
        else:
            location = _field(location, step)
    return location


def _first_invalid_element(container: _Location) -> _Location:
    """Return the first element that msgspec rejects: it rejects the container for that one."""
    values = container.value
    if isinstance(values, dict):
        kind = get_args(container.kind)[1]
        key = next(key for key, value in values.items() if not _is_valid(value, kind))
        return _Location(f"{container.where}.{key}", _without_bounds(kind), values[key])
    index = next(i for i, value in enumerate(values) if not _is_valid(value, _element_kind(container, i)))
    return _element(container, index)


def _element(container: _Location, index: int) -> _Location:
    kind = _element_kind(container, index)
    return _Location(f"{container.where}[{index}]", _without_bounds(kind), container.value[index])


def _element_kind(container: _Location, index: int) -> Any:
    """Return the type of an element: each position's own, or one for all (``tuple[X, ...]``, a list)."""
    kinds = get_args(container.kind)
    if get_origin(container.kind) is tuple and kinds[-1] is not Ellipsis:
        return kinds[index]
    return kinds[0]


def _field(table: _Location, name: str) -> _Location:
    kind = get_type_hints(table.kind, include_extras=True)[name]
    return _Location(f"{table.where}.{name}", _without_bounds(kind), table.value[name])


def _without_bounds(kind: Any) -> Any:
    """Return a type without its bounds, and without None."""
    if get_origin(kind) in (Annotated, UnionType):
        return _without_bounds(get_args(kind)[0])
    return kind


def _is_valid(value: object, kind: Any) -> bool:
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError:
        return False
    return True


def _plain_error(message: str, location: _Location) -> str:
    """Return an error of msgspec's in plain words."""
    field_error = _FIELD_ERROR.match(message)
    if field_error:
        problem = "missing" if "missing" in field_error[1] else "not known"
        return f"{location.where}.{field_error[2]} is {problem}"
    found = _describe_value(location.value, message)
    if message.startswith("Invalid enum"):
        return f"{location.where} must be one of {', '.join(get_args(location.kind))}, {found}"
    if message.startswith("Expected"):
        expected = message.removeprefix("Expected ").partition(", got")[0]
        plain = _TYPE_NAME.sub(lambda match: PLAIN_TYPE_NAMES.get(match[1], match[1]), expected)
        return f"{location.where} must be {plain}, {found}"
    return f"{location.where}: {message}"


def _describe_value(value: object, message: str) -> str:
    """Say what stands there instead; a container may be long, and hold what nobody should read."""
    if not isinstance(value, list | dict):
        return f"not {value!r}"
    if " of length " in message:
        return f"not {len(value)}"
    return f"not {PLAIN_TYPE_NAMES['object' if isinstance(value, dict) else 'array']}"
