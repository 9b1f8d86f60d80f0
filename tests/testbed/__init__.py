"""Tests of ``sabledyke.testbed``."""
