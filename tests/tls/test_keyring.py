"""Generations of keys."""

from __future__ import annotations

from sabledyke.tls.key_material import KeyFiles
from sabledyke.tls.keyring import Keyring
from tests.tls.support import CHAIN, DAY, KEY, NOW, OTHER, ROOT, ring


def test_a_generation_is_accepted_completely_or_not_at_all() -> None:
    keys = ring(chain=CHAIN, key=KEY)
    assert keys.generation.number == 1
    assert keys.generation.material.names == ("box-0",)
    bad = KeyFiles(CHAIN, OTHER.issue("x")[1], ROOT.root)
    update = keys.offer(NOW, bad)
    assert not update.changed
    assert "are not used" in update.messages[0]
    assert keys.offer(NOW, bad).messages == ()  # said once
    assert keys.generation.number == 1
    update = keys.offer(NOW, KeyFiles(*OTHER.issue("new"), OTHER.root))
    assert update.changed
    assert keys.generation.number == 2
    assert keys.generation.roots == OTHER.root + b"\n" + ROOT.root  # both, while they overlap
    same = keys.generation.material.files
    assert not keys.offer(NOW + 999, same).changed
    update = keys.offer(NOW + 1000, same)
    assert update.changed
    assert keys.generation.number == 2
    assert keys.generation.roots == OTHER.root


def test_expirations_are_warned_of_once_each() -> None:
    keys = Keyring(0)
    files = KeyFiles(*ROOT.issue("x", days=31), ROOT.root)
    assert keys.offer(NOW, files).messages == ()
    said = [keys.offer(NOW + day * DAY, files).messages for day in (0.5, 1.5, 2, 24.5, 25, 30.5, 30.6)]
    assert [bool(s) for s in said] == [False, True, False, True, False, True, False]
    assert said[1][0].startswith("certificate CN=x ends in 29.")
