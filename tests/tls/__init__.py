"""Tests of TLS: its decisions and state machine, without a socket."""
