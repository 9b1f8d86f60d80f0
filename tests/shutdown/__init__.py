"""Tests of the graceful shutdown."""
