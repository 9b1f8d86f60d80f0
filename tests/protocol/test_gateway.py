"""Tests of reading valid and damaged HTTP requests of clients and responses of storage nodes."""

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
def test_damaged_headers_raise_an_http_error_or_give_a_request(changes: dict[str, str], target: str) -> None:
    reader = MessageReader(SETTINGS)
    valid = reader.read_request(HttpMessage("GET", "/api/00000003b4d60021/7f", headers=REQUEST_HEADERS))
    assert (valid.volume, valid.data_key) == (0x3B4D60021, 0x7F)
    assert (valid.units, valid.shard, valid.scheduler_count) == (2, 5, 2)
    assert valid.remaining_ms == 500
    assert not valid.write
    damaged_request = HttpMessage("PUT", target, headers={**REQUEST_HEADERS, **changes})
    with contextlib.suppress(HttpError):
        assert reader.read_request(damaged_request).remaining_ms > 0
    damaged_headers = {"srv-load": target, "volume-load": target, "other-hosts": target}
    assert reader.read_node_response(HttpMessage(status=200, headers=damaged_headers)).may_have_run


@pytest.mark.parametrize("text", ["TEXT concurrent=7, mean_ms=66.5", "TEXT inflight=7, latency_ms=66.5"])
def test_a_load_report_is_read_under_the_settings_names_and_the_simulators(text: str) -> None:
    """Guards against ignoring all load reports: storage nodes use either set of names."""
    reader = MessageReader(replace(SETTINGS, report_fields=("concurrent", "mean_ms")))
    response = HttpMessage(status=200, headers={"srv-load": text})
    assert reader.read_node_response(response).load_report == (7.0, 66.5)


@pytest.mark.parametrize(("value", "units"), [("12", 12), (None, 0), ("-4", 0), ("1e300", 0), ("nan", 0)])
def test_metrics_out_of_range_are_ignored(value: str | None, units: int) -> None:
    reader = MessageReader(replace(SETTINGS, report_fields=("latency_ms",)))
    headers = {} if value is None else {"other-hosts": value, "srv-load": f"TEXT latency_ms={value}"}
    result = reader.read_node_response(HttpMessage(status=200, headers=headers))
    assert result.other_schedulers_units == units
    assert result.load_report == ((12.0,) if units else ())


def test_a_clients_values_are_limited_by_the_settings() -> None:
    reader = MessageReader(SETTINGS)
    excessive = {"io-info": "units=999999,hosts=999999,shard=1", "req-deadline": "999999999"}
    request = reader.read_request(HttpMessage("PUT", "/api/1/2", headers=REQUEST_HEADERS | excessive))
    assert (request.units, request.scheduler_count) == (SETTINGS.max_units, SETTINGS.scheduler_count)
    assert request.remaining_ms == SETTINGS.classes[0].deadline_ms
    for method, body, status in (("HEAD", b"", 405), ("GET", b"x", 400)):
        with pytest.raises(HttpError) as error:
            reader.read_request(HttpMessage(method, "/api/1/2", headers=REQUEST_HEADERS, body=body))
        assert error.value.status == status
    ids = RequestIds(2)
    ids.claim(0, request)
    with pytest.raises(HttpError, match="in use by a request that has not ended"):
        ids.claim(request.remaining_ms - 1, request)
    ids.claim(request.remaining_ms, request)
    for request_id in "abc":
        ids.claim(request.remaining_ms, replace(request, client_request_id=request_id))
    assert ids.tracked_count == 2
