"""Wires as state machines that are fed bytes, and what their messages mean; no socket here."""
