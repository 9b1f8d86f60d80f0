"""The compacted log: it retains the latest message of each key, and is shared by the processes of a fleet.

Of what processes share, only leases are below it: it knows topics, keys, offsets and writers, never plans or
volumes. ``append``, ``compaction`` and ``reader`` decide and are pure; ``client`` and ``registers`` carry out
what they decide on a ``records.Backend``.
"""
