"""Tests of registers."""

from __future__ import annotations

import pytest

from sabledyke.compacted_log import registers
from sabledyke.compacted_log.records import MAX_VALUE_BYTES
from sabledyke.errors import LogFullError, StaleWriterError
from tests.compacted_log.support import BACKENDS, Setup, run_on


@pytest.mark.parametrize("backend", BACKENDS)
def test_a_register_keeps_the_latest_value_of_the_latest_incarnation(backend: str) -> None:
    async def scenario(setup: Setup) -> None:
        names = [f"w{i}" for i in range(registers.PAGE_CELLS + 3)]
        identities = [(await setup.log.claim_writer("t", name)).identity for name in names]
        writers = [registers.RegisterWriter(setup.backend, "t", identity) for identity in identities]
        for writer, name in zip(writers, names, strict=True):
            await writer.put({name: name.encode()})
        await writers[0].put({"w0": b"again", "load/w0": b"7"})
        expected = {name: name.encode() for name in names} | {"w0": b"again", "load/w0": b"7"}
        assert await registers.read_values(setup.backend, "t") == expected
        identity = (await setup.log.claim_writer("t", "w0")).identity
        later = registers.RegisterWriter(setup.backend, "t", identity)
        for _ in range(2):  # the older incarnation is rejected, whether or not the later one has written
            with pytest.raises(StaleWriterError):
                await writers[0].put({"w0": b"old"})
            with pytest.raises(StaleWriterError):  # also a writer that has not read its cell before
                await registers.RegisterWriter(setup.backend, "t", identities[0]).put({"w0": b"old"})
            await later.put({"w0": b"new"})
        with pytest.raises(LogFullError, match="a value must have at most"):
            await later.put({"w0": b"x" * (MAX_VALUE_BYTES + 1)})
        await registers.delete(setup.backend, "t", ["w1", "load/w0"])
        values = await registers.read_values(setup.backend, "t")
        assert values.keys() == set(names) - {"w1"}
        assert values["w0"] == b"new"
        assert not await setup.read_with_new_reader()

    run_on(backend, scenario)
