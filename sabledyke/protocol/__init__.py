"""Protocols as state machines that are fed bytes, and the mapping of their messages; without sockets."""
