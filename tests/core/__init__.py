"""Tests of requests, attempts, outcomes and timers."""
