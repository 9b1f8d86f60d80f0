"""Tests of the reload on SIGHUP, which applies a configuration completely or not at all."""

from __future__ import annotations

import asyncio
import os
import signal
from dataclasses import replace

import pytest

from sabledyke.config import Config, ConfigError
from sabledyke.settings import MAX_CLASSES, SettingsError, merge
from tests.standins import Discovery, send_request
from tests.support.console_calls import call, stats
from tests.support.server_rig import DEPLOYMENT, GET, INFO, Rig, hold_answers, play
from tests.support.settings import HELD


def test_sighup_applies_a_configuration_completely_or_not_at_all(capfd: pytest.CaptureFixture[str]) -> None:
    """A request in flight survives both reloads; the list watch moves to the new address of discovery."""

    async def scenario(rig: Rig) -> None:
        async def reload(line: str) -> None:
            os.kill(os.getpid(), signal.SIGHUP)
            while line not in capfd.readouterr().err:
                await asyncio.sleep(0.001)

        run = asyncio.create_task(rig.server.run())
        arrived, release = hold_answers(rig)
        response = asyncio.create_task(send_request(rig.port, GET.format(1, "i", INFO)))
        await arrived.wait()
        old, new = rig.config, Discovery()
        await new.open()
        new.add("plain", rig.http.port, 0)
        renamed = replace(DEPLOYMENT, plans=DEPLOYMENT.plans[::-1])
        rig.config = replace(old, settings=renamed, discovery=("127.0.0.1", new.port))
        await reload("is not used: the names of its plans differ")
        assert rig.server.core.settings is DEPLOYMENT
        assert not new.calls
        settings = replace(DEPLOYMENT, mean_units=3, plans=(replace(DEPLOYMENT.plans[0], weight=9), HELD))
        rig.config = replace(old, settings=settings, discovery=("127.0.0.1", new.port), sockets=128)
        await reload("the new configuration is in force")
        while len(new.calls) < 2:
            await asyncio.sleep(0.001)
        assert new.calls[0] == "GET /catalog/members HTTP/1.1"
        assert "since=1" in new.calls[1]
        scheduler = rig.server.core.scheduler
        assert scheduler.context.mean_units == 3
        assert next(iter(scheduler.quotas.volumes.values())).plan.weight == 9
        assert b"plain" in scheduler.nodes
        assert rig.server.pool.max_connections == 32
        release.set()
        assert (await response)[::2] == (200, b"late")
        os.kill(os.getpid(), signal.SIGTERM)
        await run
        new.die()

    play(scenario)


def test_merged_classes_keep_their_indexes_and_removed_ones_are_retired() -> None:
    read, write = DEPLOYMENT.classes
    added = replace(DEPLOYMENT, classes=(replace(write, deadline_ms=500), read, replace(read, name="new")))
    merged = merge(DEPLOYMENT, added)
    assert [c.name for c in merged.classes] == ["read", "write", "new"]
    assert not merged.retired_classes
    assert merged.classes[1].deadline_ms == 500  # the class keeps its index and gets the new deadline
    removed = merge(merged, replace(DEPLOYMENT, classes=(replace(read, name="new"),)))
    assert [c.name for c in removed.classes] == ["read", "write", "new"]
    assert removed.retired_classes == {"read", "write"}
    restored = merge(removed, DEPLOYMENT)
    assert [c.name for c in restored.classes] == ["read", "write", "new"]
    assert restored.retired_classes == {"new"}
    many = replace(DEPLOYMENT, classes=tuple(replace(read, name=f"c{n}") for n in range(MAX_CLASSES)))
    with pytest.raises(SettingsError):
        merge(DEPLOYMENT, many)


def test_an_added_and_a_removed_class_apply_to_new_requests_only() -> None:
    async def scenario(rig: Rig) -> None:
        read, write = DEPLOYMENT.classes
        arrived, release = hold_answers(rig)
        open_read = asyncio.create_task(send_request(rig.port, GET.format(1, "before", INFO)))
        await arrived.wait()
        rig.config = replace(
            rig.config,
            settings=replace(
                DEPLOYMENT, classes=(*DEPLOYMENT.classes, replace(read, name="fresh")), max_attempts=2
            ),
        )
        rig.server.reload()
        rig.http.answer = None
        named = GET.format(1, "{}", INFO).replace("Req-Kind: read", "Req-Kind: fresh")
        assert (await send_request(rig.port, named.format("new-1")))[0] == 200
        fewer = replace(DEPLOYMENT, classes=(write, replace(read, name="fresh")))
        rig.config = replace(rig.config, settings=fewer)
        rig.server.reload()
        assert (await send_request(rig.port, GET.format(1, "gone", INFO)))[
            0
        ] == 400  # "read" accepts no new requests
        assert (await send_request(rig.port, named.format("new-2")))[0] == 200
        release.set()
        assert (await open_read)[0] == 200  # the open request kept its class through both reloads
        metrics = stats((await call(rig.server.console_port, "GET", "/admin/stats"))[1])
        assert metrics["svc.success.fresh"] == 2
        assert metrics["svc.success.read"] == 1
        assert metrics["svc.reload_success"] == 2
        assert rig.server.core.settings.max_attempts == 3

    play(scenario, console=True)


def test_an_invalid_file_is_rejected_completely_and_counted(capfd: pytest.CaptureFixture[str]) -> None:
    async def scenario(rig: Rig) -> None:
        def read_invalid_config(_: object) -> Config:
            raise ConfigError("config.json: setting deadline of read must be above 0, not -5.0")

        rig.server.reloader.read_config = read_invalid_config
        before = rig.server.core.settings
        rig.server.reload()
        assert rig.server.core.settings is before
        assert capfd.readouterr().err.count("reload: the new configuration is not used") == 1
        metrics = stats((await call(rig.server.console_port, "GET", "/admin/stats"))[1])
        assert (metrics["svc.reload_failure"], metrics["svc.reload_success"]) == (1, 0)

    play(scenario, console=True)
