"""Limits and reservations shared by many schedulers, which decide independently and never exceed the sum.

Decisions are pure (``allocation``, ``demand``); ``extension`` drives them. The package is imported only if
the operator's file has a section ``[fleet]``.
"""
