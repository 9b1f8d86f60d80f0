"""Sizes that both sides of a connection, and the operator's file, are bound by."""

BLOCK_BYTES = 512
MAX_DATA_BYTES = 64 * 1024
"""Data of one command, and of one data PDU."""
MAX_IN_CAPSULE_BYTES = 8192
"""Data that may come inside a command's capsule."""
QUEUE_ENTRIES = 32
"""Entries of a queue, and so commands that may be outstanding on a connection."""
MAX_IO_QUEUES = 16
"""I/O queues of a controller."""
