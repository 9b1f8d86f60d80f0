"""TLS's decisions and its layer, without a socket."""

from __future__ import annotations

import random
import ssl
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import hypothesis
import pytest
from hypothesis import strategies as st

from sabledyke.__main__ import main
from sabledyke.tls import contexts
from sabledyke.tls.handshake_admission import HandshakeAdmission, HandshakeBudget
from sabledyke.tls.key_material import KeyFiles, MaterialError, check_key_files
from sabledyke.tls.keyring import Keyring
from sabledyke.tls.session_tickets import TicketCache
from sabledyke.tls.tls_machine import MAX_HANDSHAKE_BYTES, TlsError, TlsMachine, TlsState, certificate_names
from tests.helpers import FIXED, SIZES, pieces, spoilt
from tests.standins.keys import Authority
from tests.standins.tls import server_context

ROOT, OTHER = Authority(), Authority("other")
CHAIN, KEY = ROOT.issue("box-0")
NOW = time.time() * 1000
DAY = 86_400_000.0
SERVER = server_context(CHAIN, KEY)


def ring(chain: bytes = b"", key: bytes = b"") -> Keyring:
    made = Keyring(1000)
    made.offer(NOW, KeyFiles(chain, key, ROOT.root))
    return made


CLIENT = contexts.client_context(ring().generation)


def pair(session: ssl.SSLSession | None = None) -> tuple[TlsMachine, TlsMachine]:
    client = TlsMachine(CLIENT, name="box-0", session=session)
    server = TlsMachine(SERVER, server=True)
    for _ in range(4):
        server.feed(client.output)
        client.feed(server.output)
    assert client.state is server.state is TlsState.OPEN
    return client, server


@FIXED
@hypothesis.given(SIZES, st.binary(min_size=1, max_size=3000))
def test_what_is_sent_comes_out_the_same_in_any_cuts(sizes: list[int], body: bytes) -> None:
    client, server = TlsMachine(CLIENT, name="box-0"), TlsMachine(SERVER, server=True)
    chance = random.Random(len(body))
    while client.state is TlsState.HANDSHAKE or server.state is TlsState.HANDSHAKE:
        for piece in pieces(client.output, sizes):
            server.feed(piece)
        for piece in pieces(server.output, sizes):
            client.feed(piece)
    client.send(body)
    out = client.output
    for piece in pieces(out, [chance.randrange(1, 200) for _ in range(50)]):
        server.feed(piece)
    assert bytes(server.plaintext) == body and body not in out or len(body) < 8
    client.close()
    server.feed(client.output)
    server.on_end_of_stream()
    assert server.state is TlsState.CLOSED


@FIXED
@hypothesis.given(st.data(), SIZES)
def test_spoilt_bytes_are_a_tls_error_or_nothing_at_all(data: st.DataObject, sizes: list[int]) -> None:
    client, server = pair()
    server.send(b"a whole answer")
    spoil = data.draw(spoilt(server.output))
    try:
        for piece in pieces(spoil, sizes):
            client.feed(piece)
    except TlsError:
        assert client.state is TlsState.BROKEN
    assert b"a whole answer".startswith(bytes(client.plaintext))


@FIXED
@hypothesis.given(st.binary(max_size=600), SIZES)
def test_garbage_in_a_handshake_is_a_tls_error_or_waits(garbage: bytes, sizes: list[int]) -> None:
    for layer in (TlsMachine(CLIENT, name="box-0"), TlsMachine(SERVER, server=True)):
        try:
            for piece in pieces(garbage, sizes):
                layer.feed(piece)
        except TlsError:
            pass
        assert layer.state in (TlsState.HANDSHAKE, TlsState.BROKEN) and not layer.plaintext


def test_an_end_without_the_closing_alert_is_no_end() -> None:
    client, server = pair()
    server.send(b"half")
    client.feed(server.output)
    with pytest.raises(TlsError, match="closing alert"):
        client.on_end_of_stream()
    with pytest.raises(TlsError, match="does not end"):
        TlsMachine(SERVER, server=True).feed(bytes(MAX_HANDSHAKE_BYTES + 1))


def test_an_old_version_is_named() -> None:
    client = TlsMachine(CLIENT, name="box-0")
    server = TlsMachine(server_context(CHAIN, KEY, version=ssl.TLSVersion.TLSv1_2), server=True)
    with pytest.raises(TlsError, match="old version of TLS"):
        server.feed(client.output)
    with pytest.raises(TlsError, match="does not speak this version"):
        client.feed(server.output)


def test_tickets_resume_and_names_are_read() -> None:
    client, server = pair()
    server.send(b"x")
    client.feed(server.output)
    assert client.ticket is not None and not client.resumed and client.version == "TLSv1.3"
    again, _ = pair(client.ticket)
    assert again.resumed and certificate_names(client.peer_certificate()) == {"box-0"}


@pytest.mark.parametrize(
    ("files", "says"),
    [
        (KeyFiles(), "no trusted roots"),
        (KeyFiles(roots=b"nonsense"), "no certificate in PEM"),
        (KeyFiles(CHAIN, b"", ROOT.root), "needs its key"),
        (KeyFiles(CHAIN, KEY, ROOT.root, key_mode=0o644), "its owner alone"),
        (KeyFiles(CHAIN, OTHER.issue("x")[1], ROOT.root), "does not belong"),
        (KeyFiles(CHAIN, KEY, OTHER.root), "no trusted root has signed"),
        (KeyFiles(CHAIN, b"junk", ROOT.root), "the key cannot"),
        (KeyFiles(*ROOT.issue("x", days=-0.5), ROOT.root), "has expired"),
        (KeyFiles(*ROOT.issue("x", begin=1), ROOT.root), "does not hold yet"),
        (KeyFiles(CHAIN + OTHER.issue("y")[0], KEY, ROOT.root), "chain breaks"),
        (KeyFiles(roots=ROOT.root, revocation_lists=b"x"), "revocation lists"),
        (KeyFiles(roots=ROOT.root, revocation_lists=ROOT.revoke(days=-0.5)), "out of date"),
    ],
)
def test_keys_that_do_not_fit_are_refused_in_one_line(files: KeyFiles, says: str) -> None:
    with pytest.raises(MaterialError, match=says) as raised:
        check_key_files(files, NOW)
    assert "\n" not in str(raised.value) and "PRIVATE" not in str(raised.value)


def test_a_generation_is_taken_whole_or_not_at_all() -> None:
    keys = ring(chain=CHAIN, key=KEY)
    assert keys.generation.number == 1 and keys.generation.material.names == ("box-0",)
    bad = KeyFiles(CHAIN, OTHER.issue("x")[1], ROOT.root)
    news = keys.offer(NOW, bad)
    assert not news.changed and "are not used" in news.messages[0]
    assert keys.offer(NOW, bad).messages == ()  # said once
    assert keys.generation.number == 1
    news = keys.offer(NOW, KeyFiles(*OTHER.issue("new"), OTHER.root))
    assert news.changed and keys.generation.number == 2
    assert keys.generation.roots == OTHER.root + b"\n" + ROOT.root  # both, while they overlap
    same = keys.generation.material.files
    assert not keys.offer(NOW + 999, same).changed
    news = keys.offer(NOW + 1000, same)
    assert news.changed and keys.generation.number == 2 and keys.generation.roots == OTHER.root


def test_ends_are_warned_of_once_each() -> None:
    keys = Keyring(0)
    files = KeyFiles(*ROOT.issue("x", days=31), ROOT.root)
    assert keys.offer(NOW, files).messages == ()
    said = [keys.offer(NOW + day * DAY, files).messages for day in (0.5, 1.5, 2, 24.5, 25, 30.5, 30.6)]
    assert [bool(s) for s in said] == [False, True, False, True, False, True, False]
    assert said[1][0].startswith("certificate CN=x ends in 29.")


def test_tickets_are_newest_first_single_use_and_bounded() -> None:
    tickets: TicketCache[str] = TicketCache(max_per_node=2, max_total=5, max_age_ms=1000)
    for n in range(3):
        tickets.add(n, b"a", 1.0, 1, f"a{n}")
    assert [tickets.pop_newest(5, b"a", 1.0, 1) for _ in range(3)] == ["a2", "a1", None]
    tickets.add(0, b"a", 1.0, 1, "old")
    assert tickets.pop_newest(1000, b"a", 1.0, 1) is None and tickets.ticket_count == 0
    tickets.add(0, b"a", 1.0, 1, "before its restart")
    assert tickets.pop_newest(1, b"a", 2.0, 1) is None and tickets.ticket_count == 0
    tickets.add(0, b"a", 1.0, 1, "withdrawn")
    tickets.add(0, b"b", 1.0, 2, "kept")
    tickets.drop_older_generations(2)
    assert tickets.ticket_count == 1 and tickets.pop_newest(1, b"b", 1.0, 2) == "kept"
    for n in range(100):
        tickets.add(n, b"%d" % n, 1.0, 2, "x")
    assert tickets.ticket_count == tickets.node_count == 5
    tickets.forget(b"99")
    assert tickets.ticket_count == 4


TERMS = HandshakeBudget(
    scheduler_count=20,
    initial_capacity_share=0.2,
    warm_up_ms=10_000,
    handshake_share=0.2,
    cores=2,
    full_handshake_ms=1.0,
    resumed_handshake_ms=0.5,
)


def test_a_crowd_of_schedulers_stays_within_what_a_cold_box_bears() -> None:
    """20 schedulers each want 50 connections to a box that has just come back, all at one moment."""
    schedulers = [HandshakeAdmission(TERMS, seed) for seed in range(20)]
    spent: list[tuple[float, float]] = []
    waiting = 0
    for n, one in enumerate(schedulers):
        for attempt in range(50):
            answer = one.request(0, b"box", 0, attempt, 3000, False)
            if answer:
                spent.append((0, 1.0))
                one.on_handshake_completed(0, b"box", good=True)
            waiting += answer is False
        assert one.entry_count <= 51, n
    for ms in range(1, 4000):
        for one in schedulers:
            while one.next_due_ms(ms, b"box") <= ms:
                go, late = one.pop_due(ms, b"box")
                spent += [(ms, 1.0)] * len(go)
                waiting -= len(go) + len(late)
                for _ in go:
                    one.on_handshake_completed(ms, b"box", good=True)
                if not go and not late:
                    break
    assert waiting == 0 and len(spent) > 150
    for start in range(0, 4000, 250):  # any second: what handshakes may take, and a bucket at the start
        work = sum(cost for at, cost in spent if start <= at < start + 1000)
        warmth = 0.2 + 0.8 * min(1.0, (start + 1000) / 10_000)
        assert work <= warmth * 2 * 0.2 * 1000 * 2 + 20


def test_who_waits_leaves_by_deadline_and_who_has_no_time_is_told_at_once() -> None:
    one = HandshakeAdmission(TERMS, 1)
    began = 0
    while one.request(0, b"box", 0, began, 100_000, False):
        began += 1
    assert began >= 1
    assert one.request(0, b"box", 0, 100, 50_000, False) is False
    assert one.request(0, b"box", 0, 101, 20_000, False) is False
    assert one.request(0, b"box", 0, 102, 1, False) is None  # at once
    at = one.next_due_ms(0, b"box")
    while not (go := one.pop_due(at, b"box")[0]):
        at = one.next_due_ms(at, b"box") + 0.01
    assert go == [101]
    one.withdraw(b"box", 100)
    assert one.pop_due(1e9, b"box")[1] == [began]  # the first that waited is out of time by then


def test_a_box_whose_handshakes_fail_is_tried_singly_and_backs_off() -> None:
    one, now, gaps = HandshakeAdmission(TERMS, 2), 0.0, []
    assert one.request(now, b"box", -1e6, 0, now + 500, False)
    for attempt in range(1, 8):
        one.on_handshake_completed(now, b"box", good=False)
        assert one.request(now, b"box", -1e6, attempt, now + 60_000, False) is False
        trial = one.next_due_ms(now, b"box")
        gaps.append(trial - now)
        now = trial
        assert one.pop_due(now, b"box")[0] == [attempt]
        assert one.request(now, b"box", -1e6, 99, now + 100, False) is None  # one at a time
    assert gaps[0] <= 100 and gaps[-1] > 2000 and max(gaps) <= TERMS.max_backoff_ms
    one.on_handshake_completed(now, b"box", good=True)
    assert one.request(now, b"box", -1e6, 100, now + 1, False)


def test_boxes_at_rest_are_forgotten() -> None:
    one = HandshakeAdmission(TERMS, 3)
    for n in range(500):
        one.request(n, b"%d" % n, -1e6, n, n + 10, True)
        one.on_handshake_completed(n, b"%d" % n, good=True)
    one.evict_idle(1e6)
    assert one.entry_count == 0
    one.request(0, b"a", 0, 1, 10, True)
    assert one.forget(b"a") == [] and one.entry_count == 0


@contextmanager
def operators(tmp_path: Path, chain: bytes, key: bytes, mode: int = 0o600) -> Iterator[str]:
    for name, data in (("chain", chain), ("key", key), ("roots", ROOT.root)):
        (tmp_path / name).write_bytes(data)
        (tmp_path / name).chmod(mode)
    file = tmp_path / "operator.toml"
    lines = [f'{name} = "{tmp_path / name}"' for name in ("chain", "key", "roots")]
    file.write_text("[tls]\n" + "\n".join(lines) + "\n")
    yield str(file)


def test_the_command_tells_what_keys_are_good_for(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    with operators(tmp_path, CHAIN, KEY) as file:
        assert main(["tls", "check", file]) == 0
        assert "for box-0" in capsys.readouterr().out
    with operators(tmp_path, *ROOT.issue("x", days=5)) as file:
        assert main(["tls", "check", file]) == 1
    with operators(tmp_path, CHAIN, KEY, 0o640) as file:
        assert main(["tls", "check", file]) == 2 and "its owner alone" in capsys.readouterr().err
    assert main(["tls", "check", str(tmp_path / "none")]) == 2
