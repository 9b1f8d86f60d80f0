"""Which cases of a module are selected, so that a fixture for all of them plays no others.

A test that is run alone then takes the time of its own play, not that of the whole module.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping

import pytest


def selected_parameters(request: pytest.FixtureRequest) -> Iterator[Mapping[str, object]]:
    """Yield the parameters of each test of the requesting module that is to run, {} for none."""
    for item in request.session.items:
        if not isinstance(item, pytest.Function) or item.path != request.path:
            continue
        if item.get_closest_marker("skip") is not None:
            continue
        yield item.callspec.params if hasattr(item, "callspec") else {}
