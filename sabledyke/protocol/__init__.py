"""Protocols as state machines that are fed bytes, and the meaning of their messages; no socket here."""
