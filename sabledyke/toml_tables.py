"""Typed tables for the TOML files of operators and experiments.

msgspec detects wrong types, values out of bounds, and missing and unknown keys; this module turns each of its
errors into one plain line with the place of the error and the expected value. A plain start, which reads no
such file, does not import this module.
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
"""Names of types in error messages, by msgspec's names."""

ANY_ELEMENT = "[...]"
"""A step of msgspec's error paths: an unspecified element of a list or value of a table."""

_PATH_STEP = re.compile(r"[^.\[\]`]+|\[\.\.\.\]")
_FIELD_ERROR = re.compile(r"Object (missing required|contains unknown) field `(.*)`")
_TYPE_NAME = re.compile(r"`(\w+)(?: \| null)?`")


class Table(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base class of typed tables, whose fields are the keys of the table; an unknown key is an error.

    Each subclass must repeat ``frozen`` and ``kw_only``.
    """


def load_file(path: str, read: Callable[[str], T]) -> T:
    """Return the result of ``read`` on the text of a file.

    Raises:
        OperatorError: The file cannot be read, or ``read`` rejects it; one line that names the file.
    """
    try:
        return read(Path(path).read_text())
    except OSError as error:
        raise OperatorError(f"{path}: {error.strerror}") from None
    except (OperatorError, ListError, UnicodeDecodeError) as error:
        raise OperatorError(f"{path}: {error}") from None


def load_section(path: str, name: str, read: Callable[[dict[str, Any]], T | None]) -> T:
    """Load a single section of an operator's file.

    Args:
        path: Path of the file.
        name: Name of the section, for error messages.
        read: Function that reads the section from all tables of the file; returns None if it is missing.

    Raises:
        OperatorError: The file or the section cannot be used, or the section is missing.
    """

    def read_section(text: str) -> T:
        section = read(parse_toml(text))
        if section is None:
            raise OperatorError(f"there is no [{name}]")
        return section

    return load_file(path, read_section)


def require_library(section: str, library: str, extra: str) -> None:
    """Check that a library that a section requires is installed, without importing it.

    Raises:
        OperatorError: The library is not installed; the text names the extra to install.
    """
    if find_spec(library) is None:
        raise OperatorError(f"{section} requires {library}: pip install 'sabledyke[{extra}]'")


def parse_toml(text: str) -> dict[str, Any]:
    """Parse a TOML text, and return its tables.

    Raises:
        OperatorError: The text is not TOML, or contains an infinite number or NaN.
    """
    try:
        return tomllib.loads(text, parse_float=_finite_float)
    except tomllib.TOMLDecodeError as error:
        raise OperatorError(str(error)) from None


def convert(data: object, kind: type[T], where: str) -> T:
    """Convert data to a typed table.

    Args:
        data: The data, as parsed from TOML.
        kind: The type of the table. A ValueError of its ``__post_init__`` is reported like every other error.
        where: Path of the data in the file, for error messages.

    Raises:
        OperatorError: The data does not fit the type; one line with the place and the reason.
    """
    try:
        return msgspec.convert(data, kind)
    except msgspec.ValidationError as error:
        message, _, path = str(error).partition(" - at `$")
    location = _locate(data, kind, where, _PATH_STEP.findall(path))
    raise OperatorError(_plain_error(message, location))


def is_valid_name(text: str) -> bool:
    """Return whether a text satisfies ``NAME_RULE``; an empty text does."""
    return len(text) <= MAX_NAME_CHARS and all(char.isalnum() or char in "-_." for char in text)


def _finite_float(text: str) -> float:
    value = float(text)
    if not isfinite(value):
        raise OperatorError(f"{text} is no number to work with")
    return value


class _Location(NamedTuple):
    """The place of a value in the file, its expected type, and the value itself."""

    where: str
    kind: Any
    value: Any


def _locate(data: Any, kind: Any, where: str, steps: list[str]) -> _Location:
    """Follow the path of a msgspec error to the rejected value."""
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
    """Return the first element that msgspec rejects, which is the one that its error is about."""
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
    """Return the type of an element: by position, or one type for all (``tuple[X, ...]``, a list)."""
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
    """Return the message for an operator that corresponds to a msgspec error."""
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
    """Describe the value found, but not a container's contents, which may be long or confidential."""
    if not isinstance(value, list | dict):
        return f"not {value!r}"
    if " of length " in message:
        return f"not {len(value)}"
    return f"not {PLAIN_TYPE_NAMES['object' if isinstance(value, dict) else 'array']}"
