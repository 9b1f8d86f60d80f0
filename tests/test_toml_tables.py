"""Typed tables: each invalid value is reported in one line with its place in the file."""

from __future__ import annotations

import re
from typing import Annotated, Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec import Meta

from sabledyke.errors import OperatorError
from sabledyke.toml_tables import Table, convert

Port = Annotated[int, Meta(ge=1, le=65535)]


class Row(Table, frozen=True, kw_only=True):
    """A row with a container of its own."""

    ports: tuple[Port, ...] = ()
    by_name: dict[str, Port] = {}


class Containers(Table, frozen=True, kw_only=True):
    """A field for each kind of container."""

    rows: tuple[Row, ...] = ()
    row_list: list[Row] = []
    pair: tuple[str, Port] = ("a", 1)
    optional_pair: tuple[str, Port] | None = None
    tables: dict[str, Row] = {}
    nested: tuple[tuple[Port, ...], ...] = ()
    lists_by_name: dict[str, list[Port]] = {}


# Paths from the top table to each place that holds a port.
INDEX = st.integers(0, 3)
NAME = st.sampled_from(["a", "b-1", "7"])
PLACES = st.one_of(
    st.tuples(st.just("rows"), INDEX, st.just("ports"), INDEX),
    st.tuples(st.just("row_list"), INDEX, st.just("by_name"), NAME),
    st.tuples(st.just("pair"), st.just(1)),
    st.tuples(st.just("optional_pair"), st.just(1)),
    st.tuples(st.just("tables"), NAME, st.just("ports"), INDEX),
    st.tuples(st.just("nested"), INDEX, INDEX),
    st.tuples(st.just("lists_by_name"), NAME, INDEX),
)
WRONG_VALUES = st.one_of(
    st.sampled_from([0, -1, 65536, True, "7", 1.5]), st.just([1]), st.just({"port": 1}), st.just(None)
)


def nest(place: tuple[Any, ...], value: object) -> Any:
    """Return tables that hold a value at a place, with valid elements before it in each list."""
    if not place:
        return value
    step, *rest = place
    inner = nest(tuple(rest), value)
    if isinstance(step, str):
        return {step: inner}
    return [*(valid_like(tuple(rest), position) for position in range(step)), inner]


def valid_like(rest: tuple[Any, ...], position: int) -> Any:
    """Return a valid sibling of an element on the path to a place."""
    if rest:
        return [] if isinstance(rest[0], int) else {}
    return position + 1


@given(place=PLACES, wrong=WRONG_VALUES)
def test_a_wrong_value_in_any_container_is_one_line_with_its_place(
    place: tuple[Any, ...], wrong: object
) -> None:
    """Guards against a traceback in place of one line and exit status 2."""
    data = nest(place, wrong)
    if place[0] in ("pair", "optional_pair"):
        data[place[0]][0] = "a"
    steps = "".join(f"[{step}]" if isinstance(step, int) else f".{step}" for step in place)
    with pytest.raises(OperatorError) as raised:
        convert(data, Containers, "section")
    text = str(raised.value)
    assert re.match(rf"section{re.escape(steps)}\b|section{re.escape(steps)}[: ]", text), text
    assert "\n" not in text


@given(place=PLACES)
def test_a_valid_value_in_any_container_is_accepted(place: tuple[Any, ...]) -> None:
    data = nest(place, 7)
    if place[0] in ("pair", "optional_pair"):
        data[place[0]][0] = "a"
    assert convert(data, Containers, "section")
