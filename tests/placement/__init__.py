"""Tests of ``sabledyke.placement``."""
