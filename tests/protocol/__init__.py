"""Tests of the protocol state machines and of the meaning of their messages."""
