"""Leases for leader tasks: only one scheduler of a fleet runs such a task at a time.

``types``, ``holder_state`` and ``holder`` are pure: they use no clock, socket or database. ``sql_authority``
and ``etcd_authority`` store the leases, ``manager`` drives one lease, ``leader_tasks`` implements the work of
its holder, and ``fencing`` rejects the writes of a former holder.
"""
