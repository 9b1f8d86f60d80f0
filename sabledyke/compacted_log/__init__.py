"""The board: a log that keeps the latest message for each key, shared by the processes of a fleet.

Below everything that processes share but leases: it knows topics, keys, offsets and writers, never plans or
volumes.
"""
