"""The selected tests of a module, so that a fixture shared by the module prepares only what they need.

Running a single test then takes only the time of its own scenario and not that of the whole module.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping

import pytest


def selected_parameters(request: pytest.FixtureRequest) -> Iterator[Mapping[str, object]]:
    """Yield the parameters of each test of the module that will run; {} for a test without parameters."""
    for item in request.session.items:
        if not isinstance(item, pytest.Function) or item.path != request.path:
            continue
        if item.get_closest_marker("skip") is not None:
            continue
        yield item.callspec.params if hasattr(item, "callspec") else {}
