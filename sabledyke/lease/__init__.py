"""Leases for leader tasks: one scheduler of a fleet at a time does what must not be done twice at once.

``types``, ``holder_state`` and ``holder`` are pure: they use no clock, socket or database. ``sql_authority``
and ``etcd_authority`` store the leases, ``manager`` drives one lease, ``leader_tasks`` are what its holder
does, and ``fencing`` is what checks their writes.
"""
