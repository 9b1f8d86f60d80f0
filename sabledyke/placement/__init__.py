"""Placement of volumes on members, and the evacuation of a site, whose clients move step by step.

It stands on the log beside ``rollout`` and reads the same plans.
"""
