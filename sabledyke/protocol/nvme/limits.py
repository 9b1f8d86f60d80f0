"""Sizes and limits that apply to both sides of a connection and to the operator's file."""

BLOCK_BYTES = 512
MAX_DATA_BYTES = 64 * 1024
"""Limit of the data of one command, and of one data PDU."""
MAX_IN_CAPSULE_BYTES = 8192
"""Limit of the data inside a command's capsule."""
QUEUE_ENTRIES = 32
"""Entries of a queue, which also limits the outstanding commands of a connection."""
MAX_IO_QUEUES = 16
"""Limit of the I/O queues of a controller."""
