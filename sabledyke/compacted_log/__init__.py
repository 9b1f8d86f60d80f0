"""A compacted log that the processes of a fleet share; it retains the latest message of each key.

Of the other state that processes share, the package depends only on leases. It handles topics, keys, offsets
and writers, and is independent of plans and volumes. ``append``, ``compaction`` and ``reader`` make the
decisions and perform no I/O; ``client``, ``compactor`` and ``registers`` execute them on a
``records.Backend``.
"""
