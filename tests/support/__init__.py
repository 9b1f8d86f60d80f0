"""Fixtures that tests of several packages share."""
