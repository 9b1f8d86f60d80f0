"""The simulator's wire format: events and actions, invalid input, and restarts inside a batch."""

from __future__ import annotations

import io
import struct
import subprocess
import sys
from pathlib import Path

import pytest

from sabledyke import wire, wire_replies
from sabledyke.policy.actions import (
    Action,
    CancelAttempt,
    CloseIdle,
    Fail,
    FetchList,
    Log,
    Probe,
    Reject,
    RejectReason,
    SendToPeer,
    SetTimer,
    StartAttempt,
    WatchList,
)
from sabledyke.policy.events import (
    AnswerStarted,
    AttemptCompleted,
    ClientDisconnected,
    Outcome,
    PeerMessage,
    ProbeResult,
    Request,
    TimerFired,
)
from sabledyke.policy.nodes import EndpointList, ListKind
from sabledyke.policy.settings import DeduplicationScope
from sabledyke.simhost import SchedulerHost, read_frame

ROOT = Path(__file__).parent.parent
NODE_A, NODE_B = b"\x0a\x01\x02\x03\x1f\x90", b"\x0a\x01\x02\x04\x1f\x90"
SETTINGS_TEXT = """me=1
siblings=2
az=0
zones=x,y
kinds=
tiers=stores
layer=0
period=2.0
weights=none
family=stores
unheard.of=3
clients.marks_retry=false
profiles.count=1
profiles.0.name=get
profiles.0.aim=100.0
profiles.0.hard_limit=900.0
profiles.0.credit=2.0
profiles.0.late_worth=0.0
profiles.0.semantics=deduplicated
profiles.0.group=zone
profiles.0.window=0.0
profiles.0.stream=false
profiles.0.keep_order=true
grades.count=1
grades.0.name=small
grades.0.usual_rate=3.0
grades.0.floor_rate=0.0
grades.0.ceiling_rate=0.0
grades.0.limit_burst=0.0
grades.0.slack=0.0
grades.0.proportion=1.0
grades.0.worth_factor=1.0
discovery=on_request
ceilings.try_limit=2
ceilings.second_copies=false
ceilings.cancel=false
ceilings.probes=false
ceilings.peers=false
ceilings.retry_after=false
ceilings.max_retry_after=0.0
ceilings.open_cap=1000000
ceilings.max_streams=1
ceilings.connect_timeout=250.0
ceilings.conn_idle=15000.0
family_info.changes_data=true
family_info.usual_units=2.0
family_info.units_top=8
family_info.n_shards=2
family_info.fair_worth=0.3
family_info.spare_worth=0.1
family_info.young_limit=12.0
family_info.says_others=false
family_info.meter_period=0.0
invariants.cold_share=0.2
invariants.warm_up=9000.0
invariants.fall=1500.0
invariants.tip_multiple=0.0
invariants.answer_slack=8.0
invariants.ask_every=10000.0
invariants.stop_sending_within=0.0
telemetry.how=none
telemetry.fields=
"""


def frame(now: float, *records: bytes) -> bytes:
    body = b"".join(records)
    return wire.HEADER.pack(wire.HEADER.size + len(body), now, len(records)) + body


def instance(number: int) -> bytes:
    return struct.pack(">BI", 17, number)


def start(settings: str = SETTINGS_TEXT) -> bytes:
    return struct.pack(">BQI", 26, 5, len(settings)) + settings.encode()


def node_list(number: int, *nodes: bytes) -> bytes:
    entries = b"".join(struct.pack(">BdBH6sfB", 1, 0.0, 0, i, n, 1.0, 0) for i, n in enumerate(nodes))
    return struct.pack(">BHI", 20, number, len(nodes)) + entries


def endpoint_list(number: int, kind: int) -> bytes:
    return struct.pack(">BHQB", 22, number, 41, kind)


def request(request_id: int, shard: float = 0) -> bytes:
    return struct.pack(">BIHHQdQfffB", 18, request_id, 0, 0, 0, 900.0, 77, 2.0, shard, 1.0, 6)


def decode(data: bytes) -> list[tuple[int, object]]:
    return list(wire.Decoder().decode(data)[1])


def test_every_event_is_decoded() -> None:
    completed = struct.pack(">BIH6sHBHHdBff", 25, 9, 150, NODE_A, 3, 1, 4, 2, 12.5, 2, 0.5, 3.0)
    probed = struct.pack(">B6sHdB", 27, NODE_A, 1, 2.5, 0)
    answer_started = struct.pack(">BI6sHd", 21, 9, NODE_A, 0, 4.0)
    peer_message = struct.pack(">BIH", 16, 2, 2) + b"hi"
    timer_fired = struct.pack(">BI", 24, 6)
    disconnected = struct.pack(">BI", 19, 9)
    stopped = struct.pack(">B", 23)
    records = [
        instance(3),
        request(9, -1),
        completed,
        probed,
        answer_started,
        peer_message,
        timer_fired,
        disconnected,
        stopped,
    ]
    assert decode(frame(5.0, *records)) == [
        (3, Request(9, 0, 0, 0, 900.0, 77, 2.0, -1, 1.0, repeated=True, write=True)),
        (
            3,
            AttemptCompleted(
                9,
                NODE_A,
                2,
                Outcome.REJECTED,
                request_completed=True,
                elapsed_ms=12.5,
                used_percent=150,
                other_schedulers_units=4,
                load_report=(0.5, 3.0),
            ),
        ),
        (3, ProbeResult(NODE_A, Outcome.OK, 2.5, ())),
        (3, AnswerStarted(9, NODE_A, 0, 4.0)),
        (3, PeerMessage(2, b"hi")),
        (3, TimerFired(6)),
        (3, ClientDisconnected(9)),
        (3, wire.Stopped()),
    ]


def test_a_list_number_is_resolved_in_event_order_even_when_reused_in_the_batch() -> None:
    events = decode(
        frame(
            1,
            instance(1),
            node_list(4, NODE_A),
            endpoint_list(4, 2),
            instance(2),
            node_list(4, NODE_B),
            endpoint_list(4, 1),
            endpoint_list(0, 3),
        )
    )
    lists = [event for _, event in events if isinstance(event, EndpointList)]
    assert [[entry.node_id for entry in update.entries] for update in lists] == [[NODE_A], [NODE_B], []]
    assert [update.kind for update in lists] == [ListKind.CACHED, ListKind.FULL, ListKind.FAILED]


@pytest.mark.parametrize(
    ("action", "size", "code"),
    [
        (StartAttempt(1, NODE_A, 80.0), 19, 16),
        (WatchList(), 2, 25),
        (Reject(1, 20.0, reason=RejectReason.LIMIT), 13, 24),
        (CloseIdle(NODE_A), 7, 27),
        (SendToPeer(None, b"abc"), 8, 20),
        (Probe(NODE_A), 7, 17),
        (CancelAttempt(1, 0), 7, 28),
        (Log("hello"), 8, 21),
        (FetchList(), 1, 26),
        (SetTimer(1, 5.0), 13, 23),
        (Fail(1, reason=RejectReason.ATTEMPTS), 5, 18),
    ],
)
def test_every_action_is_encoded_with_its_code_and_size(action: Action, size: int, code: int) -> None:
    record = wire_replies.encode(action)
    assert (len(record), record[0]) == (size, code)


def test_settings_are_read_and_unknown_keys_ignored() -> None:
    settings = wire.read_settings(SETTINGS_TEXT)
    assert settings.polls_endpoint_list
    assert settings.classes[0].ordered
    assert settings.classes[0].writes
    assert settings.classes[0].deduplication_scope is DeduplicationScope.ZONE
    assert settings.retry_budget_window_ms == 0
    assert settings.plans[0].limit == 0
    assert not settings.hedging_allowed


@pytest.mark.parametrize(
    "key", ["invariants.warm_up", "profiles.0.aim", "discovery", "family_info.usual_units"]
)
def test_missing_and_unreadable_settings_are_named(key: str) -> None:
    lines = SETTINGS_TEXT.splitlines()
    with pytest.raises(wire.WireError, match=f"{key} is missing"):
        wire.read_settings("\n".join(line for line in lines if not line.startswith(key)))
    if key != "discovery":
        with pytest.raises(wire.WireError, match=f"{key} is no number"):
            wire.read_settings("\n".join(f"{key}=soon" if line.startswith(key) else line for line in lines))


def run_simhost(data: bytes) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        [sys.executable, "-m", "sabledyke.simhost"], cwd=ROOT, input=data, capture_output=True
    )


@pytest.mark.parametrize(
    ("data", "expected_text"),
    [
        (frame(1, instance(1))[:-2], "input ended inside a frame"),
        (b"\x00\x00", "input ended inside a frame's length"),
        (b"\x00\x00\x00\x03abc", "impossible frame length"),
        (b"\xff\xff\xff\xff", "impossible frame length"),
        (frame(1, instance(1), b"\x63"), "unknown event code 99"),
        (frame(1, instance(1), request(1)[:-3]), "runs past the end"),
        (frame(1, instance(1), struct.pack(">BQI", 26, 5, 9999)), "runs past the end"),
        (frame(1, request(1)), "before any instance"),
        (frame(1, instance(1) + b"\x11"), "left over"),
        (frame(1, instance(1), start("me=1\n")), "setting siblings is missing"),
    ],
)
def test_bad_input_ends_with_a_plain_message_and_a_status(data: bytes, expected_text: str) -> None:
    completed = run_simhost(data)
    assert completed.returncode != 0
    assert b"Traceback" not in completed.stderr
    assert expected_text.encode() in completed.stderr


def test_end_of_input_between_frames_is_a_clean_end() -> None:
    completed = run_simhost(frame(1.0) + frame(2.0))
    assert (completed.returncode, completed.stdout, completed.stderr) == (
        0,
        wire_replies.encode_reply(b"") * 2,
        b"",
    )


def test_a_restart_inside_a_batch_discards_the_state_of_that_instance_alone() -> None:
    host = SchedulerHost()
    host.reply_to(
        frame(
            1,
            instance(1),
            start(),
            node_list(0, NODE_A),
            endpoint_list(0, 2),
            instance(2),
            start(),
            endpoint_list(0, 2),
        )
    )
    reply = host.reply_to(
        frame(
            2,
            instance(1),
            request(5),
            struct.pack(">B", 23),
            start(),
            endpoint_list(0, 2),
            request(6),
            instance(2),
            request(5),
        )
    )
    assert wire_replies.encode(StartAttempt(6, NODE_A))[:-8] in reply
    assert reply.count(wire_replies.encode(StartAttempt(5, NODE_A))[:-8]) == 1


def test_an_exception_of_a_scheduler_becomes_a_bug_record_with_its_text() -> None:
    host = SchedulerHost()
    host.reply_to(frame(1, instance(1), start(), node_list(0, NODE_A), endpoint_list(0, 2)))
    reply = host.reply_to(frame(2, instance(1), request(5), request(5)))
    assert wire_replies.encode_bug("ValueError: request 5 was given twice") in reply


def test_frames_are_read_completely_from_a_slow_stream() -> None:
    class SlowStream(io.BytesIO):
        def read(self, n: int | None = -1) -> bytes:
            return super().read(min(n or 1, 3))

    sent = frame(1, instance(1))
    stream = SlowStream(sent)
    assert read_frame(stream) == sent
    assert read_frame(stream) is None


@pytest.mark.parametrize("value", ["nan", "inf", "-inf"])
def test_a_shard_that_is_no_number_is_rejected_as_a_bad_frame(value: str) -> None:
    """Guards against a traceback in place of one line and exit status 2."""
    record = struct.pack(">BIHHQdQfffB", 18, 1, 0, 0, 1, 100.0, 1, 1.0, float(value), 1.0, 0)
    instance_record = struct.pack(">BI", 17, 0)
    frame = struct.pack(">IdI", 16 + len(instance_record) + len(record), 0.0, 2) + instance_record + record
    with pytest.raises(wire.WireError, match="shard"):
        wire.Decoder().decode(frame)
