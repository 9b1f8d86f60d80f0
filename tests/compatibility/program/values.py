"""Values of the program's records, independent of field names."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import astuple, is_dataclass
from enum import Enum
from typing import Any, cast

import msgspec


def values(record: object) -> list[Any]:
    """Return the values of a record in the order of its fields; enumeration members by their values."""
    fields = (
        msgspec.structs.astuple(record) if isinstance(record, msgspec.Struct) else astuple(cast(Any, record))
    )
    return [list(v) if isinstance(v, tuple) else v.value if isinstance(v, Enum) else v for v in fields]


def leaves(value: object) -> Iterator[object]:
    """Yield all scalar values inside a nested value, independent of field names and nesting."""
    if isinstance(value, msgspec.Struct):
        value = msgspec.structs.astuple(value)
    elif is_dataclass(value) and not isinstance(value, type):
        value = [getattr(value, name) for name in value.__dataclass_fields__]
    if isinstance(value, Enum):
        yield value.value
    elif isinstance(value, Mapping):
        for key, inner in value.items():
            yield from leaves(key)
            yield from leaves(inner)
    elif isinstance(value, list | tuple | frozenset):
        for inner in sorted(value) if isinstance(value, frozenset) else value:
            yield from leaves(inner)
    else:
        yield value.decode() if isinstance(value, bytes) else value
