"""The backoff of trial batches after a stall."""

from __future__ import annotations

from sabledyke.store.health import StoreHealth, StoreLimits


def test_trials_back_off_and_detect_a_recovered_store_within_a_second() -> None:
    health, now = StoreHealth(StoreLimits(), 3), 0.0
    waits = []
    for _ in range(12):
        health.on_batch_began(now)
        health.on_batch_failed(now)
        trial = health.next_trial_ms()
        assert not health.may_start_batch(trial - 0.01)
        assert health.may_start_batch(trial)
        waits.append(trial - now)
        now = trial
    assert waits[0] <= 50
    assert max(waits) <= StoreLimits().longest_wait_ms
    assert max(waits) + StoreLimits().give_up_ms < 1000
    assert health.stalls == 1
    assert health.retry_after_ms(now, 10_000) > 0
    assert health.on_batch_committed(now) > 0
    assert health.accepts_writes
