"""Tables of the operator's file, read key by key: what a section does not know is an error, not silence."""

from __future__ import annotations

import tomllib
from collections.abc import Callable
from importlib.util import find_spec
from math import inf
from pathlib import Path
from typing import Any, TypeVar

from sabledyke.errors import ListError
from sabledyke.errors import OperatorError as OperatorError

T = TypeVar("T")


def from_file(path: str, read: Callable[[str], T]) -> T:
    """What ``read`` makes of a file's text; an OperatorError in one line that names the file where it
    cannot.
    """
    try:
        return read(Path(path).read_text())
    except OSError as fault:
        raise OperatorError(f"{path}: {fault.strerror}") from None
    except (OperatorError, ListError, tomllib.TOMLDecodeError, UnicodeDecodeError) as fault:
        raise OperatorError(f"{path}: {fault}") from None


def section_from(path: str, name: str, read: Callable[[dict[str, Any]], T | None]) -> T:
    """One section alone, from an operator's file; ``read`` is given the whole file's tables."""

    def one(text: str) -> T:
        section = read(tomllib.loads(text))
        if section is None:
            raise OperatorError(f"there is no [{name}]")
        return section

    return from_file(path, one)


def wants(section: str, library: str, extra: str) -> None:
    """An OperatorError where a section needs a library that is not installed; loads nothing."""
    if find_spec(library) is None:
        raise OperatorError(f"{section} wants {library}: pip install 'sabledyke[{extra}]'")


class Table:
    """One table, with its place in the file for what is said about it."""

    def __init__(self, data: object, where: str) -> None:
        if not isinstance(data, dict):
            raise OperatorError(f"{where} is no table")
        self._data, self.where = dict(data), where

    def take(self, key: str, kind: type | tuple[type, ...], default: Any = None) -> Any:
        """A value of this kind; without a default it must be there."""
        value = self._data.pop(key, default)
        if value is None:
            raise OperatorError(f"{self.where}.{key} is missing")
        if not isinstance(value, kind) or isinstance(value, bool):
            raise OperatorError(f"{self.where}.{key} is of the wrong kind: {value!r}")
        return value

    @property
    def empty(self) -> bool:
        """Nothing is left in it."""
        return not self._data

    def words(self, key: str) -> tuple[str, ...]:
        """A list of texts, () for none."""
        value = self.take(key, list, [])
        if not all(isinstance(word, str) for word in value):
            raise OperatorError(f"{self.where}.{key} must be a list of texts")
        return tuple(value)

    def number(self, key: str, low: float, high: float, default: float) -> float:
        """A number within these bounds."""
        value = float(self.take(key, (int, float), default))
        if not low <= value <= high or abs(value) == inf:
            raise OperatorError(f"{self.where}.{key} must be from {low} to {high}, not {value}")
        return value

    def flag(self, key: str, default: bool) -> bool:
        """True or false."""
        value = self._data.pop(key, default)
        if not isinstance(value, bool):
            raise OperatorError(f"{self.where}.{key} must be true or false, not {value!r}")
        return value

    def whole(self, key: str, low: int, high: int, default: int | None = None) -> int:
        """A whole number within these bounds."""
        value = self.take(key, int, default)
        if not low <= value <= high:
            raise OperatorError(f"{self.where}.{key} must be from {low} to {high}, not {value}")
        return int(value)

    def milliseconds(self, key: str, default: float, most: float = inf) -> float:
        """A time above 0."""
        value = float(self.take(key, (int, float), default))
        if not 0 < value < inf or value > most:
            bounds = "above 0" if most == inf else f"above 0 and up to {most:.0f}"
            raise OperatorError(f"{self.where}.{key} must be {bounds}, not {value}")
        return value

    def name(self, key: str, names: list[str], default: str | None = None) -> int:
        """The place of one of these names."""
        value = self.take(key, str, default)
        if value not in names:
            raise OperatorError(f"{self.where}.{key} must be one of {', '.join(names)}, not {value!r}")
        return names.index(value)

    def rows(self, key: str) -> list[Table]:
        """Its tables of this name, [] for none."""
        return [Table(row, f"{self.where}.{key}[{i}]") for i, row in enumerate(self.take(key, list, []))]

    def end(self) -> None:
        """Nothing else may be there."""
        if self._data:
            raise OperatorError(f"{self.where}.{min(self._data)} is not known")
