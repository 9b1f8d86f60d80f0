"""Tests of ``sabledyke.rollout``."""
