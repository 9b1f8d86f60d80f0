"""Limits and reservations shared by many schedulers: each decides alone, and the sum holds.

Decisions are pure (``allocation``, ``demand``); ``extension`` drives them. It is loaded only where the
operator's file has ``[fleet]``.
"""
