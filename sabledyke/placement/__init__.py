"""Placement of volumes on members, and the evacuation of a site, whose volumes move step by step.

The package uses the same log as ``rollout``, and reads the same plans.
"""
