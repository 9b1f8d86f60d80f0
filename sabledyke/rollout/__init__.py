"""Drains and releases coordinated across a fleet: tickets within a disruption budget, halts and rollbacks.

The package builds on the compacted log and on a lease. It handles members, plans and tickets; volumes and
their placements are handled in ``placement``.
"""
