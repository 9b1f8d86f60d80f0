"""Tests of the protocol state machines and of the mapping of their messages."""
