"""Calls to discovery of both kinds: the first call, watch calls, and calls after a failure."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.transcripts.support import (
    Deployment,
    Response,
    check_approved,
    echo,
    response,
    run_scenario,
    settings,
)

FAILURES: dict[str, Response] = {
    "cut-off": None,
    "status-500": response(500, b"no"),
    "not-json": response(200, b"no"),
    "not-http": b"garbage\r\n\r\n",
}


@pytest.mark.parametrize("known", [True, False], ids=["with a cached list", "without a cached list"])
@pytest.mark.parametrize("kind", ["on_request", "pushed"])
@pytest.mark.parametrize("failure", FAILURES)
def test_discovery_gets_the_approved_calls(tmp_path: Path, kind: str, failure: str, *, known: bool) -> None:
    """Discovery serves version 7 of the list, then fails one call, then serves version 9."""
    failed = asyncio.Event()

    async def respond(_number: int, sent: bytes) -> Response:
        if b"since=9" in sent:
            await asyncio.Event().wait()
        if b"since=7" not in sent:
            return deployment.listing_response(7)
        if failed.is_set():
            return deployment.listing_response(9)
        failed.set()
        return FAILURES[failure]

    async def scenario() -> None:
        async with deployment:
            calls = deployment.discovery.requests
            while not any(b"since=9" in call for call in calls):
                await deployment.discovery.wait_for(len(calls) + 1)
            watch = next(number for number, call in enumerate(calls) if b"since=7" in call)
            last = next(call for call in calls if b"since=9" in call)
            shown = deployment.transcript(
                ("first call", calls[0]),
                ("watch call", calls[watch]),
                ("after the failure", calls[watch + 1]),
                ("after the newer list", last),
            )
            check_approved(f"discovery-{kind}-{'with' if known else 'without'}-cached-list.txt", shown)

    config = settings() | {"discovery": kind}
    deployment = Deployment(tmp_path, echo, known=known, discovery=respond, config=config)
    run_scenario(scenario())
