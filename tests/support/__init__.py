"""Fixtures and test harnesses that tests of several packages share."""
