"""Choices of many schedulers that add up: each decides alone by what all have told, and the sum holds.

Decisions are pure (clock passed in); ``part`` drives them. Off unless the operator's file has ``[fleet]``.
"""
