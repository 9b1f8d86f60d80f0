"""Drains and releases agreed across a fleet: tickets to go out, inside a budget, with a halt and a way back.

It stands on the compacted log and on a lease; it knows members, plans and tickets, never volumes or their
placements.
"""
