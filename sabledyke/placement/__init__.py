"""Homes of volumes, and a site that retires: its clients go to the survivors near it, step by step.

It stands on the board beside ``rollout`` and reads the same plans; neither calls the other.
"""
