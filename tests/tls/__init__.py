"""Tests of TLS: decision modules and state machine without sockets, and complete servers on loopback."""
