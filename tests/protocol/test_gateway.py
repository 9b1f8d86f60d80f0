"""The platform's HTTP messages: clients' requests and storage nodes' responses, valid and spoilt."""

from __future__ import annotations

import contextlib
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sabledyke.protocol.gateway import MessageReader
from sabledyke.protocol.http import HttpError, HttpMessage
from sabledyke.protocol.request_ids import RequestIds
from tests.protocol.support import REQUEST_HEADERS
from tests.support.generated_bytes import FIXED
from tests.support.settings import SETTINGS


@FIXED
@given(st.dictionaries(st.sampled_from([*REQUEST_HEADERS, "x"]), st.text(max_size=12)), st.text(max_size=30))
def test_spoilt_headers_are_an_http_error_or_work(changes: dict[str, str], target: str) -> None:
    reader = MessageReader(SETTINGS)
    valid = reader.read_request(HttpMessage("GET", "/api/00000003b4d60021/7f", headers=REQUEST_HEADERS))
    assert (valid.volume, valid.data_key) == (0x3B4D60021, 0x7F)
    assert (valid.units, valid.shard, valid.scheduler_count) == (2, 5, 2)
    assert valid.remaining_ms == 500
    assert not valid.write
    spoilt_request = HttpMessage("PUT", target, headers={**REQUEST_HEADERS, **changes})
    with contextlib.suppress(HttpError):
        assert reader.read_request(spoilt_request).remaining_ms > 0
    spoilt_headers = {"srv-load": target, "volume-load": target, "other-hosts": target}
    assert reader.read_node_response(HttpMessage(status=200, headers=spoilt_headers)).may_have_run


@pytest.mark.parametrize("text", ["TEXT concurrent=7, mean_ms=66.5", "TEXT inflight=7, latency_ms=66.5"])
def test_a_load_report_is_read_under_the_settings_names_and_the_simulators(text: str) -> None:
    """Guards against reports that are never read: storage nodes were seen to use either."""
    reader = MessageReader(replace(SETTINGS, report_fields=("concurrent", "mean_ms")))
    response = HttpMessage(status=200, headers={"srv-load": text})
    assert reader.read_node_response(response).load_report == (7.0, 66.5)


@pytest.mark.parametrize(("value", "units"), [("12", 12), (None, 0), ("-4", 0), ("1e300", 0), ("nan", 0)])
def test_metrics_that_no_storage_node_can_mean_are_ignored(value: str | None, units: int) -> None:
    reader = MessageReader(replace(SETTINGS, report_fields=("latency_ms",)))
    headers = {} if value is None else {"other-hosts": value, "srv-load": f"TEXT latency_ms={value}"}
    ended = reader.read_node_response(HttpMessage(status=200, headers=headers))
    assert ended.other_schedulers_units == units
    assert ended.load_report == ((12.0,) if units else ())


def test_a_client_is_held_to_the_limits_of_the_settings() -> None:
    reader = MessageReader(SETTINGS)
    excessive = {"io-info": "units=999999,hosts=999999,shard=1", "req-deadline": "999999999"}
    work = reader.read_request(HttpMessage("PUT", "/api/1/2", headers=REQUEST_HEADERS | excessive))
    assert (work.units, work.scheduler_count) == (SETTINGS.max_units, SETTINGS.scheduler_count)
    assert work.remaining_ms == SETTINGS.classes[0].deadline_ms
    for method, body, status in (("HEAD", b"", 405), ("GET", b"x", 400)):
        with pytest.raises(HttpError) as error:
            reader.read_request(HttpMessage(method, "/api/1/2", headers=REQUEST_HEADERS, body=body))
        assert error.value.status == status
    ids = RequestIds(2)
    ids.claim(0, work)
    with pytest.raises(HttpError, match="in use by another request"):
        ids.claim(work.remaining_ms - 1, work)
    ids.claim(work.remaining_ms, work)
    for request_id in "abc":
        ids.claim(work.remaining_ms, replace(work, client_request_id=request_id))
    assert ids.tracked_count == 2
