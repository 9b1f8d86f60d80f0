"""Tests of the rotation of keys."""

from __future__ import annotations

from sabledyke.tls.key_material import KeyFiles
from sabledyke.tls.keyring import Keyring
from tests.tls.support import CHAIN, DAY_MS, KEY, NOW_MS, OTHER_ROOT, ROOT, make_keyring


def test_a_new_generation_is_used_completely_or_not_at_all() -> None:
    keys = make_keyring(chain=CHAIN, key=KEY)
    assert keys.generation.number == 1
    assert keys.generation.material.names == ("box-0",)
    bad = KeyFiles(CHAIN, OTHER_ROOT.issue("x")[1], ROOT.root)
    update = keys.offer(NOW_MS, bad)
    assert not update.changed
    assert "new keys were rejected" in update.messages[0]
    assert keys.offer(NOW_MS, bad).messages == ()  # reported once
    assert keys.generation.number == 1
    update = keys.offer(NOW_MS, KeyFiles(*OTHER_ROOT.issue("new"), OTHER_ROOT.root))
    assert update.changed
    assert keys.generation.number == 2
    # Both sets of roots are trusted during the overlap.
    assert keys.generation.roots == OTHER_ROOT.root + b"\n" + ROOT.root
    same = keys.generation.material.files
    assert not keys.offer(NOW_MS + 999, same).changed
    update = keys.offer(NOW_MS + 1000, same)
    assert update.changed
    assert keys.generation.number == 2
    assert keys.generation.roots == OTHER_ROOT.root


def test_each_expiration_warning_is_logged_once() -> None:
    keys = Keyring(0)
    files = KeyFiles(*ROOT.issue("x", days=31), ROOT.root)
    assert keys.offer(NOW_MS, files).messages == ()
    messages = [
        keys.offer(NOW_MS + day * DAY_MS, files).messages for day in (0.5, 1.5, 2, 24.5, 25, 30.5, 30.6)
    ]
    assert [bool(warnings) for warnings in messages] == [False, True, False, True, False, True, False]
    assert messages[1][0].startswith("certificate CN=x expires in 29.")
