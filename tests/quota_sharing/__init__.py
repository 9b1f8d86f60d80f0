"""Tests of ``sabledyke.quota_sharing``."""
