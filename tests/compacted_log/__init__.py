"""Tests of the compacted log."""
