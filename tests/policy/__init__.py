"""Tests of the decisions: events in, actions out."""
