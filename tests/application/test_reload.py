"""A new configuration by SIGHUP: all of it is put in force, or none."""

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


def test_sighup_takes_on_a_whole_configuration_or_none_of_it(capfd: pytest.CaptureFixture[str]) -> None:
    """A request in work lives through both; discovery is watched at its new address at once."""

    async def scenario(rig: Rig) -> None:
        async def reloaded(line: str) -> None:
            os.kill(os.getpid(), signal.SIGHUP)
            while line not in capfd.readouterr().err:
                await asyncio.sleep(0.001)

        run = asyncio.create_task(rig.server.run())
        arrived, release = hold_answers(rig)
        one = asyncio.create_task(send_request(rig.port, GET.format(1, "i", INFO)))
        await arrived.wait()
        old, new = rig.config, Discovery()
        await new.open()
        new.add("plain", rig.http.port, 0)
        renamed = replace(DEPLOYMENT, plans=DEPLOYMENT.plans[::-1])
        rig.config = replace(old, settings=renamed, discovery=("127.0.0.1", new.port))
        await reloaded("is not used: the names of its plans differ")
        assert rig.server.core.settings is DEPLOYMENT
        assert not new.calls
        settings = replace(DEPLOYMENT, mean_units=3, plans=(replace(DEPLOYMENT.plans[0], weight=9), HELD))
        rig.config = replace(old, settings=settings, discovery=("127.0.0.1", new.port), sockets=128)
        await reloaded("the new configuration is in force")
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
        assert (await one)[::2] == (200, b"late")
        os.kill(os.getpid(), signal.SIGTERM)
        await run
        new.die()

    play(scenario)


def test_merged_classes_keep_their_places_and_removed_ones_are_retired() -> None:
    read, write = DEPLOYMENT.classes
    added = replace(DEPLOYMENT, classes=(replace(write, deadline_ms=500), read, replace(read, name="new")))
    once = merge(DEPLOYMENT, added)
    assert [c.name for c in once.classes] == ["read", "write", "new"]
    assert not once.retired_classes
    assert once.classes[1].deadline_ms == 500  # its effects change in its place
    removed = merge(once, replace(DEPLOYMENT, classes=(replace(read, name="new"),)))
    assert [c.name for c in removed.classes] == ["read", "write", "new"]
    assert removed.retired_classes == {"read", "write"}
    back = merge(removed, DEPLOYMENT)
    assert [c.name for c in back.classes] == ["read", "write", "new"]
    assert back.retired_classes == {"new"}
    many = replace(DEPLOYMENT, classes=tuple(replace(read, name=f"c{n}") for n in range(MAX_CLASSES)))
    with pytest.raises(SettingsError):
        merge(DEPLOYMENT, many)


def test_a_class_added_then_removed_binds_new_requests_and_spares_open_ones() -> None:
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
        # "read" takes no new request
        assert (await send_request(rig.port, GET.format(1, "gone", INFO)))[0] == 400
        assert (await send_request(rig.port, named.format("new-2")))[0] == 200
        release.set()
        assert (await open_read)[0] == 200  # it kept its class through both
        metrics = stats((await call(rig.server.console_port, "GET", "/admin/stats"))[1])
        assert metrics["svc.success.fresh"] == 2
        assert metrics["svc.success.read"] == 1
        assert metrics["svc.reload_success"] == 2
        assert rig.server.core.settings.max_attempts == 3

    play(scenario, console=True)


def test_a_bad_file_is_rejected_completely_and_counted(capfd: pytest.CaptureFixture[str]) -> None:
    async def scenario(rig: Rig) -> None:
        def bad(_: object) -> Config:
            raise ConfigError("config.json: setting deadline of read must be above 0, not -5.0")

        rig.server.reloader.read_config = bad
        before = rig.server.core.settings
        rig.server.reload()
        assert rig.server.core.settings is before
        assert capfd.readouterr().err.count("reload: the new configuration is not used") == 1
        metrics = stats((await call(rig.server.console_port, "GET", "/admin/stats"))[1])
        assert (metrics["svc.reload_failure"], metrics["svc.reload_success"]) == (1, 0)

    play(scenario, console=True)
