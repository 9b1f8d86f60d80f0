"""Tickets and plans: the pure parts, every order of events in a model, and processes with faults between
them.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import traceback
from collections import Counter
from collections.abc import Awaitable, Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any

import orjson
import pytest
from syrupy.assertion import SnapshotAssertion

from sabledyke.__main__ import main as command
from sabledyke.compacted_log.client import PATIENCE as ASKED_AGAIN
from sabledyke.compacted_log.client import Board
from sabledyke.compacted_log.reader import Follower, Gone, Put
from sabledyke.compacted_log.records import Draft, Message
from sabledyke.compacted_log.sqlite_backend import TableShelf
from sabledyke.compacted_log.subscription import follow
from sabledyke.errors import CompactedLogError, OperatorError, PlanError
from sabledyke.rollout import node_drain, planner, section
from sabledyke.rollout.canary_analysis import Baseline, Count, bad_plans, worse
from sabledyke.rollout.commands import write
from sabledyke.rollout.participant import GOES, Participant
from sabledyke.rollout.planner import Patience, Watch
from sabledyke.rollout.records import (
    FLEET,
    Ask,
    Box,
    Clear,
    Drain,
    Epoch,
    Member,
    Phase,
    Plan,
    Record,
    Stage,
    State,
    Ticket,
    View,
    key,
    pack,
    read,
    view,
)
from sabledyke.testbed import drain_model, model_log, scenario, ticket_model
from sabledyke.testbed.fleet_release import Fleet, Seen, Setting, most_out, plan, play, transcript
from sabledyke.testbed.ticket_model import Budget, Rules
from sabledyke.testbed.workload import CAPACITY, COLD, FALL, TIP, YOUNG, Boxes

PATIENCE = Patience(silent=100, back=1000, soak=50)
QUIET = Budget(0, 0, 0, 0)


def fleet(*states: State, sites: int = 1, **of: Any) -> View:
    """Members n0, n1, ... in these states, a plan for all of them (``of``), and asks of those that are
    ready.
    """
    seen = View(100, epoch=Epoch("c", 1, 1))
    for i, state in enumerate(states):
        seen.members[f"n{i}"] = Member(f"n{i}", 1, "1", f"s{i % sites}", state, i + 2)
    names = tuple(seen.members)
    seen.plans["p"] = replace(Plan("p", names, offset=50), **of)
    for i, name in enumerate(names):
        if states[i] is State.READY:
            seen.asks[name] = Ask(name, "p", 1, 1, 60 + i)
    return seen


def decide(seen: View, now: float = 0.0, watch: Watch | None = None, **of: Any) -> planner.Move | None:
    return planner.decide(seen, "c", 1, now, watch or Watch(), PATIENCE, **of)


R, L, O, W, X = State.READY, State.LEAVING, State.OUT, State.WARMING, State.RETIRED  # noqa: E741


@pytest.mark.parametrize(
    "states, of, granted",
    [
        ((R, R, R), {}, "n0"),
        ((R, R, R), {"most": 0}, ""),
        ((R, L, R), {}, ""),  # one is out, planned or not
        ((R, O, R), {}, ""),
        ((R, W, R), {"most": 2}, "n0"),
        ((O, R, R), {"most": 2}, "n1"),  # who is out already keeps nobody waiting
        ((R, R, R), {"most": 3, "share": 0.3}, ""),  # a third of three, rounded down
        ((R, R, R), {"most": 3, "share": 1 / 3}, "n0"),
        ((R, O, R, R), {"most": 4, "per_site": 1, "sites": 2}, "n0"),  # n1 and n3 share a site
        ((R, O, R, R), {"most": 4, "per_site": 1, "sites": 2, "released": ("n0", "n2")}, ""),
        ((R,), {}, "n0"),  # a fleet, or a site, of one
        ((R, R), {"stage": Stage.HALTED}, ""),
        ((R, R, R), {"released": ("n0",)}, "n1"),
        ((R, R, R), {"released": ("n0",), "canary": True}, ""),  # the canary is still looked at
        ((R, R, R), {"released": ("n0", "n1"), "stage": Stage.BACK, "to": "2", "before": "1"}, "n1"),
    ],
)
def test_a_ticket_is_granted_inside_all_budgets_and_in_order(
    states: tuple[State, ...], of: dict[str, Any], granted: str
) -> None:
    sites = of.pop("sites", 1) if "sites" in of else 1
    move = decide(fleet(*states, sites=sites, **of))
    tickets = [w for w in move.writes if isinstance(w, Ticket)] if move else []
    assert [t.name for t in tickets] == ([granted] if granted else [])
    assert move is None or move.end == 100  # written only if nothing was said since


def test_a_member_is_waited_for_in_its_turn_but_not_for_ever() -> None:
    seen, watch = fleet(R, R), Watch()
    del seen.asks["n0"]
    for now, granted in ((0.0, False), (99.0, False), (101.0, True)):
        watch.look(now, {k: v for k, v in planner.stands(seen, {}).items() if not k.startswith("beat")})
        assert (decide(seen, now, watch) is not None) is granted


@pytest.mark.parametrize("mute", [0, 30])
def test_a_fleet_of_hundreds_says_little_more_than_what_moves_it(mute: int) -> None:
    """Only whose turn is near asks: in a fleet in which all did, nobody was granted anything. Who lives and
    never asks keeps nobody from going out, and goes once it asks.
    """
    size, out = 200, 4
    seen, said, watch = fleet(*[R] * size, sites=5, most=out, per_site=1), Counter[str](), Watch()
    seen.asks.clear()
    parts = {name: Participant(name, 1) for name in seen.members}

    def put(*records: Record, ends: tuple[str, ...] = ()) -> None:
        kept, seen.next = model_log.put((), seen.next, records, ends)
        for record in kept:
            seen.put(record)
        for name in ends:
            seen.tickets.pop(name.partition("/")[2])

    for look in range(2 * size):
        done_but = size - len(seen.plans["p"].released)
        for name, part in list(parts.items())[mute if done_but > mute else 0 :]:
            if (move := part.step(seen, look * 1000.0)) is not None:
                said[move.what if move.what == GOES else "asks"] += 1
                put(*move.writes, ends=move.ends)
                if move.what == GOES:
                    parts[name] = Participant(name, 2)
                    put(replace(seen.members[name], life=2))
        while True:
            watch.look(look * 1000.0, planner.stands(seen, dict.fromkeys(parts, look)))
            if (done := decide(seen, look * 1000.0, watch)) is None:
                break
            assert len(planner.out(seen)) <= out
            said["passes"] += "no ask in its turn" in done.what
            put(*done.writes, ends=done.ends)
        if seen.plans["p"].stage is Stage.DONE:
            break
    assert said["asks"] < 1.3 * size and said[GOES] == size == len(seen.plans["p"].released)
    assert set(seen.plans["p"].later) == set(list(parts)[:mute]) and said["passes"] < 10


def test_budgets_of_two_plans_hold_together() -> None:
    seen = fleet(R, R, R, R, most=3)
    seen.plans["p"] = replace(seen.plans["p"], members=("n0", "n1"))
    seen.plans["q"] = Plan("q", ("n2", "n3"), most=1, offset=51)
    seen.tickets["n2"] = Ticket("n2", "q", 1, 1, 1, offset=70)
    assert decide(seen) is None  # the stricter one's is spent
    with pytest.raises(PlanError, match="in plan p"):
        planner.check(Plan("r", ("n0",)), seen)


@pytest.mark.parametrize(
    "of, said",
    [
        ({"members": ()}, "names nobody"),
        ({"members": ("n0", "n0")}, "twice"),
        ({"members": ("n7",)}, "no such member: n7"),
        ({"most": 4}, "from 0 to 3"),
        ({"most": -1}, "from 0 to 3"),
        ({"per_site": -1}, "per_site"),
        ({"share": 1.5}, "share"),
        ({"name": "p"}, "is there already"),
        ({"boxes": ("b0", "b0")}, "names a box twice"),
        ({"boxes": ("b7",)}, "b7: in plan r, which is not over"),
    ],
)
def test_a_plan_that_cannot_be_is_one_plain_error(of: dict[str, Any], said: str) -> None:
    seen = fleet(R, R, R, stage=Stage.DONE)
    seen.plans["r"] = Plan("r", (), retire="s9", then=("b7",))
    with pytest.raises(PlanError, match=said):
        planner.check(replace(Plan("q", ("n0",)), **of), seen)
    seen.members["n1"] = replace(seen.members["n1"], version="2")
    with pytest.raises(PlanError, match="three versions at once: 1, 2, 3"):
        planner.check(Plan("q", ("n0",), to="3", before="2"), seen)


@pytest.mark.parametrize("text", ["", 'name = "a b"', 'name = "p"\nmembers = 3', 'name = "p"\nto = "2"'])
def test_a_plan_file_that_cannot_be_read_is_one_plain_error(text: str, tmp_path: Path) -> None:
    (tmp_path / "plan.toml").write_text(text)
    with pytest.raises(PlanError, match=r"plan\.toml: "):
        section.load_plan(str(tmp_path / "plan.toml"))


PLANS = {
    "nobody": "members = []",
    "twice": 'members = ["n0", "n0"]',
    "stranger": 'members = ["n9"]',
    "many": 'members = ["n0"]\n[budget]\nmost = 7',
    "both": 'members = ["n0"]\nboxes = ["b0"]',
    "half": 'boxes = ["b0"]\nto = "2"\nbefore = "1"',
    "labels": 'members = ["n0"]\nsettings = true',
    "third": 'members = ["n0"]\nto = "3"\nbefore = "2"',
    "lonely": 'retire = "s0"',
    "empties": 'retire = "s0"\nboxes = ["b0", "b0"]',
    "good": 'members = ["n0", "n1"]',
    "again": 'members = ["n1"]',
    "boxes": 'boxes = ["b0", "b1"]',
}
WORDS = (
    ("status",),
    ("halt", "good"),
    ("resume", "good"),
    ("resume", "good"),
    ("back", "nothing"),
    ("forget", "n0"),
    ("forget", "n2"),
    ("forget", "n2"),
    ("back", "good"),
    ("halt", "boxes"),
    ("status",),
)


def test_what_operators_are_told_is_as_approved(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], snapshot: SnapshotAssertion
) -> None:
    """Plans that cannot be, and words on those that can, on the command line."""
    where = tmp_path / "operator.toml"
    where.write_text(f'[board]\npath = "{tmp_path}/board.sqlite3"\n')

    async def prepare() -> None:
        board = Board(TableShelf(f"{tmp_path}/board.sqlite3"))
        await board.shelf.open()
        pen = await board.claim(FLEET, "w")
        seen = fleet(R, R, State.SILENT, sites=1)
        drain = Drain("b9", "gone", 1, 0.0, 3)
        await write(pen, planner.Move("", (Epoch("n0.a", 1), *seen.members.values(), drain)))
        await board.shelf.close()

    asyncio.run(prepare())
    told = list[str]()
    for words in [("plan", f"{tmp_path}/{name}.toml") for name in PLANS] + list(WORDS):
        if words[0] == "plan":
            name = Path(words[1]).stem
            Path(words[1]).write_text(f'name = "{name}"\n{PLANS[name]}\n')
        status = command(["fleet", *words, "--operator", str(where)])
        out, err = capsys.readouterr()
        told += [
            f"$ fleet {' '.join(words)}",
            *(out + err).splitlines(),
            *([f"status {status}"] if status else []),
        ]
    assert "\n".join(told).replace(f"{tmp_path}/", "") == snapshot


def test_records_are_read_as_they_were_written() -> None:
    seen = fleet(R, O, most=2, per_site=1, share=0.5, released=("n1",), canary=True)
    seen.tickets["n0"] = Ticket("n0", "p", 3, 4, 5, "2", going=True, offset=71)
    records: list[Record] = [*seen.members.values(), *seen.plans.values(), *seen.asks.values()]
    seen.drains["b"], seen.clears["n0"] = Drain("b", "p", 3, 7.5, 60, DR, 72), Clear("n0", 3, (60, 4), 73)
    records += [*seen.tickets.values(), *seen.drains.values(), *seen.clears.values(), Epoch("c", 1, 1)]
    state = {key(r): Message(r.offset, key(r), pack(r), "w", 1, 1) for r in records}
    state["later/x"] = Message(99, "later/x", b"{}", "w", 1, 1)  # what a newer version adds
    assert view(state, 100) == seen
    assert read(Message(1, "member/n0", None, "w", 1, 1)) is None
    assert all(seen.at(key(r)) == r.offset for r in records)


def test_time_is_counted_from_before_the_ask_and_only_stands_still_on_one_clock() -> None:
    seen, part = fleet(R, R), Participant("n0", 1, valid=100)
    asks = part.step(seen, 0.0)
    assert asks is not None and isinstance(asks.writes[0], Ask)
    for now, token, number, goes in (
        (99, 1, 1, True),
        (101, 1, 1, False),
        (9, 0, 1, False),
        (9, 1, 0, False),
    ):
        mine = replace(part)
        seen.tickets["n0"] = Ticket("n0", "p", 1, number, token, offset=70)
        move = mine.step(seen, now)
        assert move is not None and (move.what == GOES) is goes, (now, token, number)
        assert ("ticket/n0", 70) in move.expects
        assert goes or move.ends == ("ticket/n0",) and mine.asked is None  # given back, and asked for anew
    watch = Watch()
    for now in (0, 50, 101):
        watch.look(now, {"beat/n1": 7, "beat/n0": now})
    assert decide(seen, 101, watch) is not None and watch.stood(101, "beat/n1") == 101
    silent = decide(replace(seen, tickets={}), 101, watch)
    assert silent is not None and silent.writes == (replace(seen.members["n1"], state=State.SILENT),)


@pytest.mark.parametrize(
    "change, why",
    [
        ({"tickets": {"n0": Ticket("n0", "p", 1, 1, 1, going=True, offset=70)}}, "not back in its time"),
        ({"bad": ["p"]}, "fail more than the others"),
        ({"states": (R, O, O)}, "2 are out unplanned"),
    ],
)
def test_a_plan_halts_by_itself(change: dict[str, Any], why: str) -> None:
    seen, watch = fleet(*change.get("states", (R, R, R))), Watch()
    seen.tickets.update(change.get("tickets", {}))
    for now in (0.0, 1001.0):
        watch.look(now, {k: v for k, v in planner.stands(seen, {}).items() if not k.startswith("beat")})
    move = decide(seen, 1001.0, watch, bad=change.get("bad", ()))
    assert move is not None and why in move.what
    assert isinstance(move.writes[0], Plan) and move.writes[0].stage is Stage.HALTED


def test_who_comes_back_as_another_version_halts_the_plan_and_frees_its_ticket() -> None:
    seen = fleet(R, R, to="2", before="1")
    seen.tickets["n0"] = Ticket("n0", "p", 1, 1, 1, "2", going=True, offset=70)
    assert decide(seen) is None  # the same life: it has not gone yet, or is on its way
    seen.members["n0"] = replace(seen.members["n0"], life=2)
    move = decide(seen)
    assert move is not None and "came back as 1, not 2" in move.what and move.ends == ("ticket/n0",)
    seen.members["n0"] = replace(seen.members["n0"], version="2")
    done = decide(seen)
    assert done is not None and isinstance(done.writes[0], Plan) and done.writes[0].released == ("n0",)


@pytest.mark.parametrize(
    "life, of, again",
    [
        (2, {}, True),
        (1, {}, False),
        (2, {"going": False}, False),
        (2, {"to": "1"}, False),
        (2, {"to": ""}, False),
    ],
)
def test_who_died_before_its_starter_was_told_the_version_goes_once_more(
    life: int, of: dict[str, Any], again: bool
) -> None:
    seen = fleet(R, R)
    seen.tickets["n0"] = replace(Ticket("n0", "p", 1, 1, 1, "2", going=True, offset=70), **of)
    assert (Participant("n0", life).unfinished(seen, "1") is not None) is again


def test_noise_alone_halts_fewer_than_one_plan_in_a_hundred_and_a_bad_release_soon() -> None:
    random, halts, seen_after = Random(5), 0, list[int]()
    for trial in range(400):
        rates, counts = (0.1, 0.3 if trial >= 300 else 0.1), [[0, 0], [0, 0]]
        for look in range(150):  # 20 answers a look on the released side, 60 on the other
            for side, n in ((0, 60), (1, 20)):
                counts[side][0] += n
                counts[side][1] += sum(random.random() < rates[side] for _ in range(n))
            if worse((counts[1][0], counts[1][1]), (counts[0][0], counts[0][1])):
                halts += trial < 300
                seen_after += [look] if trial >= 300 else []
                break
    assert halts < 3 and len(seen_after) == 100 and max(seen_after) < 60


def test_a_new_life_counts_from_its_start_and_an_old_one_from_when_it_was_first_seen() -> None:
    base, p = Baseline(), Plan("p", ("n0", "n1"), released=("n0",))
    base.look({"n0": Count(1, 5000, 5000), "n1": Count(1, 900, 900)})
    since = base.look({"n0": Count(2, 1000, 500), "n1": Count(1, 1900, 900)})
    assert since == {"n0": (1000, 500), "n1": (1000, 0)} and bad_plans([p], since) == ["p"]


@pytest.mark.parametrize(
    "size, most, budget",
    [
        (2, 1, Budget(1, 0, 0, 0)),
        (2, 1, Budget(0, 1, 0, 0)),
        (2, 1, Budget(0, 0, 1, 1)),
        (3, 1, Budget(0, 0, 0, 0, 1)),
    ],
)
def test_no_order_of_events_lets_more_out_than_the_budget(size: int, most: int, budget: Budget) -> None:
    found = ticket_model.check(size, most, budget)
    assert found.whole and not found.broken, (found.broken, [name for name, _ in found.trace])


@pytest.mark.parametrize(
    "rules, budget, said",
    [
        (Rules(token=False, end=False), Budget(0, 1, 0, 0), "are out"),
        (Rules(unplanned=False), Budget(1, 0, 0, 0), "are out or may go"),
        (Rules(expects=False), Budget(0, 0, 1, 0), "goes out while the plan is halted"),
    ],
)
def test_without_its_checks_the_model_finds_the_way_there(rules: Rules, budget: Budget, said: str) -> None:
    found = ticket_model.check(2, 1, budget, rules)
    assert said in found.broken and len(found.trace) > 3


Z = Box("b0", 0, 0, True, 0.0)
YARD = {f"b{i}": replace(Z, name=f"b{i}", zone=i % 2, shard=i // 2) for i in range(6)}  # two of each shard


def drains(*phases: tuple[str, Phase], clear: tuple[str, ...] = (), **of: Any) -> View:
    """Two members, a plan to drain all but one box of the yard, and drains under it."""
    seen = fleet(R, R, members=(), boxes=("b0", "b2", "b4", "b1", "b3"), **of)
    for i, (name, phase) in enumerate(phases):
        seen.drains[name] = Drain(name, "p", 1, 0.0, 80 + i, phase, 90 + i)
    for name in clear:
        seen.clears[name] = Clear(name, 1, (80, 81))
    return seen


LV, DR, WM = Phase.LEAVING, Phase.DRAINED, Phase.WARMING


@pytest.mark.parametrize(
    "seen, changed, said",
    [
        (drains(), {}, "b0 is to be drained"),
        (drains(most=0), {}, ""),
        (drains(("b0", LV)), {}, ""),  # the budget is spent
        (drains(("b0", LV), most=2), {}, "b2 is to be drained"),
        (
            drains(("b0", LV), most=2, per_site=1),
            {},
            "b3 is to",
        ),  # b2 and b4 are in its zone, b1 in its shard
        (drains(("b0", LV), most=6, share=0.2), {}, ""),
        (drains(most=1), {"b5": {"ready": False}}, ""),  # one is out unplanned
        (drains(most=1), {"b5": {"ready": False}, "b3": {"ready": False}}, "2 boxes are out unplanned"),
        (drains(most=2), {"b0": {"ready": False}}, "b2 is to be drained"),  # who is out keeps nobody waiting
        (drains(("b0", LV), clear=("n0",)), {}, ""),
        (drains(("b0", LV), clear=("n0", "n1")), {}, "b0 is drained"),
        (drains(("b0", LV), stage=Stage.HALTED), {}, "b0 is not drained any more"),
        (drains(("b0", DR), stage=Stage.HALTED), {}, ""),  # it may be away
        (drains(("b0", DR), stage=Stage.BACK), {}, "b0 is not drained any more"),
        (drains(("b0", DR)), {"b0": {"ready": False}}, ""),
        (drains(("b0", DR)), {"b0": {"started": 7.0}}, "b0 is listed as a later start"),
        (drains(("b0", DR)), {"b0": None}, ""),
        (drains(("b0", DR), gone=True), {"b0": None}, "b0 is gone"),
        (drains(gone=True), {"b0": None}, "b0 is gone"),
        (drains(released=("b0",), canary=True), {}, ""),
    ],
)
def test_a_box_goes_out_inside_its_budgets_and_only_when_nobody_sends_to_it(
    seen: View, changed: dict[str, dict[str, Any] | None], said: str
) -> None:
    yard = {
        n: replace(b, **(changed.get(n) or {})) for n, b in YARD.items() if changed.get(n, {}) is not None
    }
    move = node_drain.decide(seen, 1, 0.0, Watch(), PATIENCE, yard)
    assert move is None if not said else move is not None and said in move.what and move.end == 100


@pytest.mark.parametrize(
    "seen, yard, why",
    [
        (drains(), {"b1": YARD["b1"]}, "no box b0 is listed"),
        (drains(), {"b0": Z}, "b0 alone holds shard 0"),
        (drains(("b0", LV), clear=("n1",)), YARD, "n0 may send to it"),
        (drains(("b0", DR)), YARD, "not back in its time"),
    ],
)
def test_a_drain_that_does_not_go_on_halts_its_plan(seen: View, yard: dict[str, Box], why: str) -> None:
    watch = Watch()
    for now in (0.0, 1001.0):
        assert node_drain.decide(seen, 1, now, watch, PATIENCE, yard) is None or now
        watch.look(now, planner.stands(seen, {}))
    move = node_drain.decide(seen, 1, 1001.0, watch, PATIENCE, yard)
    assert move is not None and why in move.what and "halts" in move.what


def test_a_member_says_that_it_is_clear_after_its_grace_and_once_nothing_is_out() -> None:
    seen, closing, told = drains(("b0", LV), ("b2", DR)), node_drain.Closing("n0", 1, 50.0), []
    for now, busy in ((0.0, ""), (40.0, ""), (50.0, "b0"), (60.0, "b0"), (70.0, "")):
        move = closing.step(seen, now, busy.__eq__)
        for clear in move.writes if move else ():
            assert isinstance(clear, Clear)
            seen.clears["n0"] = clear
            told.append((now, clear.drains))
    assert told == [(50.0, (81,)), (70.0, (80, 81))] and node_drain.waits_for(seen, seen.drains["b0"]) == [
        "n1"
    ]
    seen.drains.clear()
    move = closing.step(seen, 80.0, lambda _: False)
    assert move is not None and move.writes == (Clear("n0", 1),) and not closing.since


@pytest.mark.parametrize(
    "size, names, budget",
    [
        (1, 1, drain_model.Budget(1, 0, 0, 0)),
        (1, 1, drain_model.Budget(0, 1, 0, 0)),
        (1, 2, drain_model.Budget(0, 0, 1, 0)),
        (1, 2, drain_model.Budget(0, 0, 0, 1)),
        (2, 1, drain_model.Budget(0, 0, 0, 0)),
    ],
)
def test_no_order_of_events_sends_to_a_drained_box(size: int, names: int, budget: drain_model.Budget) -> None:
    found = drain_model.check(size, names, 1, budget)
    assert found.whole and not found.broken, (found.broken, [name for name, _ in found.trace])


@pytest.mark.parametrize(
    "without, size, names, budget",
    [
        ("lives_first", 1, 1, drain_model.Budget(1, 0, 0, 0)),
        ("silent_counts", 2, 1, drain_model.Budget(0, 1, 0, 0)),
        ("order", 1, 2, drain_model.Budget(0, 0, 1, 0)),
        ("busy", 1, 1, drain_model.Budget(0, 0, 0, 0)),
    ],
)
def test_without_its_checks_a_drained_box_is_sent_to(
    without: str, size: int, names: int, budget: drain_model.Budget
) -> None:
    found = drain_model.check(size, names, 1, budget, drain_model.Rules(**{without: False}))
    assert "drained box" in found.broken and len(found.trace) > 3


@pytest.mark.parametrize(
    "change, said",
    [
        ({}, ""),
        ({"instances": 65}, "file.instances must be a whole number <= 64, not 65"),
        ({"step": [{"what": "melt"}]}, r"file.step\[0\].what must be one of kill, .*, not 'melt'"),
        ({"step": [{"what": "kill", "who": "me"}]}, "who must be one of coordinator, other"),
        ({"plan": {"members": ["n0"], "boxes": ["b0"]}}, "a plan that drains boxes"),
        ({"times": {"soon_ms": 3}}, "times.soon_ms is not known"),
    ],
)
def test_an_experiments_file_is_read_whole_or_not_at_all(change: dict[str, Any], said: str) -> None:
    data = {"name": "x", "instances": 3, "plan": {"to": "2", "before": "1"}, "step": [{"what": "halt"}]}
    if said:
        with pytest.raises(OperatorError, match=said):
            scenario.read(data | change)
        return
    assert scenario.read(data).plan.members == ("n0", "n1", "n2")
    files = [
        file for file in Path(__file__).parents[1].glob("experiments/*.toml") if "[plan]" in file.read_text()
    ]
    assert len(files) >= 5 and all(scenario.load(str(file)).steps for file in files)


def test_the_judge_counts_who_does_not_answer_at_the_same_time() -> None:
    seen = [Seen([(1, 2), (5, 6)]), Seen([(2.5, 5.5)]), Seen([], 9.0, True), Seen([(9.5, 9.6)])]
    assert most_out(seen[:1], 10) == 1 and most_out(seen[:2], 10) == 2 and most_out(seen, 10) == 2


def test_the_judge_finds_a_cold_box_that_is_pushed_over() -> None:
    async def story() -> float:
        made = Boxes(2, warm=60.0)
        made.open()
        await made.replace(3, 0.0)
        for n in [2] * 99 + [3] * (YOUNG + 10):  # a warm one bears more; COLD of CAPACITY is 30 in FALL
            made.came(n)
        await made.close()
        return made.pressed

    assert asyncio.run(story()) == pytest.approx((YOUNG + 10) / (TIP * CAPACITY * FALL * COLD), rel=0.1)


Story = Callable[[Fleet], Awaitable[None]]
Runs = dict[tuple[str, str, int], tuple[str, str]]
BACKENDS, AT_ONCE = ("table", "etcd"), 5


async def released(made: Fleet, name: str = "p", **of: Any) -> View:
    """Release everybody, and wait for it."""
    await made.begin(plan(name, made.setting.size, **of))
    return await made.until(lambda v: v.plans[name].stage is Stage.DONE)


async def under(made: Fleet, *faults: tuple[str, bool, float], most: int) -> None:
    """Release everybody with faults that come once the second ticket is out; ``most`` may be out at once.

    A fault is what happens, whether to the coordinator (else to the last member), and for how long.
    """
    await made.begin(plan("p", made.setting.size, to="2", before="1"))
    await made.until(lambda v: v.tickets and v.plans["p"].released)
    leads = await made.coordinator()
    last = made.setting.size - 1 - (leads == made.setting.size - 1)
    await asyncio.gather(*(made.fault(what, leads if lead else last, lasts) for what, lead, lasts in faults))
    seen = await made.until(lambda v: v.plans["p"].stage is not Stage.RUNNING)
    while (
        seen.plans["p"].stage is Stage.HALTED
    ):  # by itself, while too many are out: an operator goes on with it
        assert "unplanned" in seen.plans["p"].why or "not back" in seen.plans["p"].why
        await made.until(lambda v: not planner.out(v))
        await made.word("p", Stage.RUNNING)
        seen = await made.until(lambda v: v.plans["p"].stage is not Stage.RUNNING)
    assert {m.version for m in seen.members.values()} == {"2"} and not seen.tickets
    assert made.most_out() <= most, [one.downs for one in made.seen]
    assert await made.late() == await made.look()


async def plain(made: Fleet) -> None:
    seen = await released(made)
    assert seen.plans["p"].released == ("n0", "n1", "n2") and not seen.tickets
    assert [one.starts for one in made.cluster.instances] == [2, 2, 2]
    assert made.most_out() == 1


async def back(made: Fleet) -> None:
    """The canary goes, an operator halts and has it go back, twice: each word changes something once."""
    await made.begin(plan("p", 3, to="2", before="1", canary=True))
    seen = await made.until(lambda v: v.plans["p"].released)
    assert [m.version for _, m in sorted(seen.members.items())] == ["2", "1", "1"]
    for _ in range(2):
        await made.word("p", Stage.HALTED)
    await asyncio.sleep(1)
    assert not (await made.look()).tickets
    for _ in range(2):
        await made.word("p", Stage.BACK)
    seen = await made.until(lambda v: v.plans["p"].stage is Stage.UNDONE)
    assert {m.version for m in seen.members.values()} == {"1"} and made.most_out() == 1
    with pytest.raises(PlanError, match="is undone"):
        await made.word("p", Stage.RUNNING)


async def stubborn(made: Fleet) -> None:
    """Whoever starts them goes on with the old version: the first one shows it, and no other goes out."""
    made.stubborn = True
    await made.begin(plan("p", 3, to="2", before="1"))
    seen = await made.until(lambda v: v.plans["p"].stage is Stage.HALTED)
    assert seen.plans["p"].why == "n0 came back as 1, not 2"
    assert [one.starts for one in made.cluster.instances] == [2, 1, 1] and sum(made.outs()) <= 1


async def young(made: Fleet) -> None:
    """Members that die while the board stands still wait for it, and come back at their first start."""
    lives = {name: m.life for name, m in (await made.look()).members.items()}
    logs = [made.cluster.instances[i].folder / "log.2" for i in (1, 2)]
    async with made.stalled(), asyncio.timeout(120):
        await asyncio.gather(*(made.fault("kill", i) for i in (1, 2)))
        while not all(log.exists() and "waits for the board" in log.read_text() for log in logs):
            await asyncio.sleep(0.1)
    await made.until(lambda v: all(v.members[n].life > lives[n] for n in ("n1", "n2")) and not planner.out(v))
    assert [one.starts for one in made.cluster.instances] == [1, 2, 2]


async def mute(made: Fleet) -> None:
    """Members that cannot tell their starter what to start keep nobody, and go once that is mended."""
    blocked = [made.cluster.instances[i].folder / "wants.working" for i in (0, 1)]
    for path in blocked:
        path.mkdir()
    await made.begin(plan("p", 4, to="2", before="1"))
    seen = await made.until(lambda v: len(v.plans["p"].released) == 2)
    assert set(seen.plans["p"].released) == {"n2", "n3"} and {"n0", "n1"} <= set(seen.plans["p"].later)
    assert all('"code":"wants"' in path.with_name("log.1").read_text().replace(": ", ":") for path in blocked)
    for path in blocked:
        path.rmdir()
    seen = await made.until(lambda v: v.plans["p"].stage is Stage.DONE)
    assert {m.version for m in seen.members.values()} == {"2"} and made.most_out() == 1


async def unanswered(made: Fleet) -> None:
    """A member's word that it goes is written, and no answer to it comes for longer than it asks again."""
    answer, who, heard = made.etcd.answer, made.setting.size - 1, asyncio.Event()

    async def once(path: str, headers: dict[str, str], body: bytes) -> tuple[int, bytes]:
        said = await answer(path, headers, body)
        puts = [o.get("request_put", {}) for o in orjson.loads(body).get("success", ())]
        values = [base64.b64decode(put.get("value", "")) for put in puts]
        if not heard.is_set() and any(b'"going":true' in v and b'"name":"n%d"' % who in v for v in values):
            made.proxies[who].part(to=False)
            heard.set()
        return said

    setattr(made.etcd, "answer", once)  # noqa: B010
    await made.begin(plan("p", made.setting.size, to="2", before="1"))
    await heard.wait()
    await asyncio.sleep(ASKED_AGAIN + 3)
    assert (await made.look()).tickets[f"n{who}"].going and made.cluster.instances[who].starts == 1
    made.proxies[who].heal()
    seen = await made.until(lambda v: v.plans["p"].stage is not Stage.RUNNING)
    assert seen.plans["p"].stage is Stage.DONE and made.most_out() == 1


async def two(made: Fleet) -> None:
    for name, members in (("p", ("n0", "n1")), ("q", ("n2", "n3"))):
        await made.begin(Plan(name, members))
    await made.until(lambda v: all(p.stage is Stage.DONE for p in v.plans.values()))
    assert made.most_out() == 1


async def anew(made: Fleet) -> None:
    """All of them are killed in the middle, and come back."""
    await made.begin(plan("p", 4))
    await made.until(lambda v: v.plans["p"].released)
    await asyncio.gather(*(made.fault("kill", i) for i in range(4)))
    seen = await made.until(lambda v: v.plans["p"].stage is not Stage.RUNNING)
    if seen.plans["p"].stage is Stage.HALTED:
        await made.until(lambda v: not planner.out(v))
        await made.word("p", Stage.RUNNING)
    await made.until(lambda v: v.plans["p"].stage is Stage.DONE)


def nobody_lost_anything(made: Fleet) -> None:
    """Every request had its one end, none was cut off, and no key ran twice.

    On a busy machine a few may find a door that closes, or nobody in time; none may get half an answer or a
    wrong one.
    """
    ends = made.count.ends
    assert not ends["cut"] and not ends["wrong"] and ends["served"] > ends.total() / 2, ends
    assert ends["closed"] + ends["silence"] + ends["nobody"] <= 0.05 * ends.total(), ends
    assert not made.boxes.beyond and not made.boxes.late and made.boxes.pressed < 1
    assert made.setting.copies > 1 or max(made.boxes.ran.values()) == 1
    assert all(made.boxes.ran[key] for key in made.count.keys)


async def served(made: Fleet) -> None:
    await released(made)
    nobody_lost_anything(made)


async def retires(made: Fleet) -> None:
    """A site hands its clients over and goes for good; its volumes move once each."""
    await made.until(lambda v: len(made.homes()) >= 20)
    gone = ("box0", "box5")
    await made.begin(Plan("p", ("n0", "n2"), retire="s0", then=gone))
    seen = await made.until(lambda v: v.plans["p"].stage is Stage.DONE)
    await made.until(lambda v: v.plans["p.boxes"].stage is Stage.DONE)
    assert made.replaced == list(gone) and not {"box0", "box5"} & {h["host"] for h in made.boxes.hosts()}
    assert {m.name: m.state for m in seen.members.values()} == {"n0": X, "n1": R, "n2": X, "n3": R}
    assert not planner.out(seen) and {h.site for h in made.homes().values()} == {"s1"}
    assert all(h.moves == (h.origin == "s0") for h in made.homes().values())
    nobody_lost_anything(made)
    with pytest.raises(PlanError, match="no such member: n7"):
        await made.begin(Plan("q", ("n7",)))


async def stays(made: Fleet) -> None:
    """A retirement that an operator takes back in the middle: all volumes are at home again, nobody went."""
    await made.until(lambda v: len(made.homes()) >= 20)
    await made.begin(Plan("p", ("n0", "n2"), retire="s0"))
    await made.until(lambda v: v.plans["p"].step >= 2)
    await made.word("p", Stage.BACK)
    await made.until(lambda v: v.plans["p"].stage is Stage.UNDONE)
    await made.until(lambda v: all(h.site == h.origin for h in made.homes().values()))
    assert {h.moves for h in made.homes().values()} == {0, 2} and made.most_out() == 0
    assert [one.starts for one in made.cluster.instances] == [1, 1, 1, 1]
    nobody_lost_anything(made)


CALM = Setting(lag=1000, ttl=5000, silent=20_000, valid=60_000)  # nothing is given up on a busy machine


async def drained(made: Fleet, *faults: tuple[str, bool, float]) -> None:
    """Boxes are taken away one after the other of a kind, as long as all members agree."""
    names = ("box0", "box1", "box4", "box5")
    await made.begin(Plan("p", (), most=2, boxes=names))
    await made.until(lambda v: len(v.plans["p"].released) >= 1)
    leads = await made.coordinator()
    other = (leads + 1) % made.setting.size
    await asyncio.gather(*(made.fault(what, leads if lead else other, lasts) for what, lead, lasts in faults))
    seen = await made.until(lambda v: v.plans["p"].stage is Stage.DONE)
    assert sorted(made.replaced) == sorted(names) == sorted(seen.plans["p"].released) and not seen.drains
    assert made.most_out() <= len(faults)
    nobody_lost_anything(made)


async def unheard(made: Fleet) -> None:
    """A member that cannot hear of a drain still sends there: the box is not taken away before it can."""
    who = (await made.coordinator() + 1) % made.setting.size
    made.proxies[who].part()
    await made.until(lambda v: v.members[f"n{who}"].state is State.SILENT)
    await made.begin(Plan("p", (), boxes=("box0",)))
    await made.until(
        lambda v: node_drain.waits_for(v, v.drains["box0"]) == [f"n{who}"] if v.drains else False
    )
    asked = made.boxes.asked
    await asyncio.sleep(1)
    assert made.boxes.asked > asked and not made.replaced
    made.proxies[who].heal()
    await made.until(lambda v: v.plans["p"].stage is Stage.DONE)
    nobody_lost_anything(made)


async def dead(made: Fleet) -> None:
    """A member that never comes back holds its plan up until an operator says that it is gone."""
    await made.begin(plan("p", 3, to="2", before="1"))
    await made.until(lambda v: v.plans["p"].released)
    leads = await made.coordinator()
    last = f"n{2 - (leads == 2)}"
    made.held.add(int(last[1:]))
    await made.fault("kill", int(last[1:]))
    with pytest.raises(PlanError, match="only who is out"):
        await made.forget("n0")
    await made.until(lambda v: v.members[last].state is State.SILENT)
    assert (await made.look()).plans["p"].stage is not Stage.DONE
    await made.forget(last)
    if (await made.look()).plans["p"].stage is Stage.HALTED:
        await made.word("p", Stage.RUNNING)
    seen = await made.until(lambda v: v.plans["p"].stage is Stage.DONE)
    assert len(seen.plans["p"].released) == 2 and last not in seen.members


async def lost(made: Fleet) -> None:
    """The coordinator is killed while another is out; who that was is told by their parts."""
    leads = await made.coordinator()
    first, then = (i for i in range(3) if i != leads)
    made.parts = {f"n{first}": "first", f"n{then}": "then", f"n{leads}": "coordinator"}
    made.held.add(first)
    await made.begin(Plan("p", (f"n{first}", f"n{then}", f"n{leads}"), to="2", before="1"))
    await made.until(lambda v: f"n{first}" in v.tickets and v.tickets[f"n{first}"].going)
    life = (await made.look()).members[f"n{leads}"].life
    await made.fault("kill", leads)
    await made.until(
        lambda v: v.members[f"n{leads}"].life > life and v.members[f"n{leads}"].state is State.READY
    )
    made.held.clear()
    await made.until(lambda v: v.plans["p"].stage is Stage.DONE)
    assert made.most_out() <= 2


async def settings(made: Fleet) -> None:
    """New settings in service: one member cannot read its own, all go back; once mended, all take them on."""
    files = [one.folder / "config.json" for one in made.cluster.instances]
    old = [file.read_bytes() for file in files]
    new = [text.replace(b'"sockets":128', b'"sockets":160') for text in old]
    for i, file in enumerate(files):
        file.with_name("config.json.7").write_bytes(old[i])
        file.with_name("config.json.8").write_bytes(new[i] if i != 1 else b"{")
    of: dict[str, Any] = {"settings": True, "to": "8", "before": "7"}
    await made.begin(plan("p", 3, **of))
    seen = await made.until(lambda v: v.plans["p"].stage is Stage.HALTED)
    assert seen.plans["p"].released == ("n0",) and "n1 did not take on 8" in seen.plans["p"].why
    assert [file.read_bytes() for file in files] == [new[0], old[1], old[2]]
    await made.word("p", Stage.BACK)
    await made.until(lambda v: v.plans["p"].stage is Stage.UNDONE)
    assert [file.read_bytes() for file in files] == old
    files[1].with_name("config.json.8").write_bytes(new[1])
    await made.begin(plan("q", 3, **of))
    await made.until(lambda v: v.plans["q"].stage is Stage.DONE)
    assert [file.read_bytes() for file in files] == new and made.most_out() == 0
    assert [one.starts for one in made.cluster.instances] == [1, 1, 1]
    logs = [(one.folder / "log.1").read_text() for one in made.cluster.instances]
    assert all("160 descriptors" in log for log in logs)


async def prices(made: Fleet) -> None:
    """A topic of an operator's own: who joins late or was long away sees what holds, whoever cleans it."""
    random, model, views = Random(made.setting.size), dict[str, bytes](), list[dict[str, bytes | None]]()
    topic, said = "prices", 0

    async def publish() -> None:
        nonlocal said
        pen = await made.board.claim(topic, "shop")
        while said < 300:
            key, value = f"article-{random.randrange(30)}", None if random.random() < 0.2 else b"%d" % said
            with contextlib.suppress(CompactedLogError):  # it stands still: the same again
                await pen.append([Draft(key, value)])
                said += 1
                model.pop(key, None)
                if value is not None:
                    model[key] = value
            await asyncio.sleep(0.02)

    async def subscribe(away: float) -> None:
        view, shelf = dict[str, bytes | None](), made.shelf()
        views.append(view)
        try:
            async for news in follow(Board(shelf), topic, Follower(), 0.2, 7):
                for one in news:
                    if isinstance(one, Put):
                        view[one.message.key] = one.message.value
                    elif isinstance(one, Gone):
                        view.pop(one.key, None)
                await asyncio.sleep(away)
                away = 0.0
        finally:
            await shelf.close()

    async def joins() -> None:
        for i in range(8):
            readers.append(asyncio.create_task(subscribe(5.0 * (i % 2))))
            await asyncio.sleep(0.7)

    readers = [asyncio.create_task(joins())]
    shop = asyncio.create_task(publish())
    for who in range(made.setting.size):
        seen = await made.look()
        await made.fault("kill", who)
        before = seen.members[f"n{who}"].life

        def again(v: View, name: str = f"n{who}", before: int = before) -> bool:
            return v.members[name].life > before and not planner.out(v)

        await made.until(again)
    await made.fault("pause", await made.coordinator(), 2.5)
    await made.fault("stall", 0, 3.0)
    await shop
    async with asyncio.timeout(120):
        while len(views) < 8 or any(view != model for view in views):
            await asyncio.sleep(0.05)
        while len(await made.board.page(topic, 1, 1000)) > 120:
            await asyncio.sleep(0.1)  # 30 articles, the newest 20, and as much again that is superseded
    late = Follower()
    await made.board.catch_up(topic, late)
    assert {key: m.value for key, m in late.state.items()} == model and late.position > 300
    for reader in readers:
        reader.cancel()
    await asyncio.gather(*readers, return_exceptions=True)


GENTLE = Setting(4, clients=8, copies=2, silent=4000)
STORIES: dict[str, tuple[Setting, Story]] = {
    "plain": (CALM, plain),
    "back": (replace(CALM, soak=60_000), back),
    "stubborn": (CALM, stubborn),
    "lost": (CALM, lost),
    "settings": (CALM, settings),
    "young": (CALM, young),
    "mute": (Setting(4, silent=8000), mute),
    "part_goes": (replace(CALM, back=60_000), unanswered),
    "two": (Setting(4), two),
    "dead": (Setting(3, silent=1000), dead),
    "drained": (replace(GENTLE, silent=20_000, lag=1000), drained),
    "drained_kill": (GENTLE, lambda f: drained(f, ("kill", True, 0))),
    "drained_stall": (GENTLE, lambda f: drained(f, ("stall", True, 3.0))),
    "drained_two": (GENTLE, lambda f: drained(f, ("kill", False, 0), ("pause", True, 2.5))),
    "unheard_part": (replace(GENTLE, silent=1000), unheard),
    "anew": (Setting(4), anew),
    "prices": (replace(CALM, lag=20, ttl=1000, topics=("prices",), clean=0.5), prices),
    "served": (Setting(4, clients=8), served),
    "retires": (replace(CALM, size=4, clients=8, copies=2, sites=2, soak=100, silent=8000), retires),
    "stays": (Setting(4, clients=8, sites=2, soak=300), stays),
    "kill": (Setting(12, silent=8000, ttl=2000), lambda f: under(f, ("kill", True, 0), most=2)),
    "pause": (Setting(5), lambda f: under(f, ("pause", True, 2.5), most=2)),
    "third": (Setting(6), lambda f: under(f, ("kill", True, 0), ("kill", False, 0), most=3)),
    "stall": (Setting(4), lambda f: under(f, ("stall", True, 3.0), most=1)),
    "part": (Setting(4), lambda f: under(f, ("part", True, 3.0), most=1)),
    "part_to": (Setting(4), lambda f: under(f, ("part_to", True, 3.0), most=1)),
    "part_from": (Setting(4), lambda f: under(f, ("part_from", True, 3.0), most=1)),
}
ALL = [(b, n, seed) for seed, b in enumerate(BACKENDS, 1) for n in STORIES if "part" not in n or b == "etcd"]
SPOKEN = (
    "plain",
    "back",
    "stubborn",
    "lost",
    "settings",
    "retires",
    "unheard_part",
)  # whose whole exchange is the same in every run


def tell(key: tuple[str, str, int], folder: str) -> tuple[str, str]:
    """One of them, in a process of its own: its transcript, and what went wrong."""
    backend, name, seed = key
    setting, run_scenario = STORIES[name]
    said = [""]

    async def told(fleet: Fleet) -> None:
        await run_scenario(fleet)
        said[0] = transcript(await fleet.log(), fleet.parts)

    async def run() -> None:
        async with asyncio.timeout(400):
            fleet = await play(replace(setting, backend=backend), Path(folder), told, seed)
        assert set(fleet.statuses) <= ({0, -9} if fleet.held else {0}), fleet.statuses

    try:
        asyncio.run(run())
    except Exception:
        return said[0], traceback.format_exc()
    return said[0], ""


@pytest.fixture(scope="module")
def runs(tmp_path_factory: pytest.TempPathFactory) -> Runs:
    """All of them, some at a time, as most of it is waiting."""
    folders = [str(tmp_path_factory.mktemp("fleet")) for _ in ALL]
    with ProcessPoolExecutor(AT_ONCE) as pool:
        return dict(zip(ALL, pool.map(tell, ALL, folders), strict=True))


@pytest.mark.parametrize("backend, name, seed", ALL)
def test_processes_keep_to_the_budget_whatever_breaks(runs: Runs, backend: str, name: str, seed: int) -> None:
    assert not runs[backend, name, seed][1], runs[backend, name, seed][1]


@pytest.mark.parametrize("name", SPOKEN)
def test_the_whole_exchange_is_as_it_was_approved(runs: Runs, name: str, snapshot: SnapshotAssertion) -> None:
    """Approved on purpose: read the difference, then pytest --snapshot-update."""
    said = {runs[b, n, s][0] for b, n, s in ALL if n == name}
    assert len(said) == 1, said
    assert said.pop() == snapshot
