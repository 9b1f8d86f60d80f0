"""Reads a topic's head and pages of its messages from a backend."""

from __future__ import annotations

from sabledyke.compacted_log.records import (
    Backend,
    Message,
    TopicHead,
    decode_head,
    decode_message,
    head_key,
    message_key,
)

_AFTER_ALL_OFFSETS = "~"  # sorts after every hexadecimal digit


async def read_head(backend: Backend, topic: str) -> TopicHead:
    """Return the topic's head.

    Raises:
        CompactedLogError: The backend did not answer.
    """
    key = head_key(topic)
    return decode_head((await backend.get([key])).get(key))


async def read_messages(backend: Backend, topic: str, first_offset: int, limit: int) -> list[Message]:
    """Return at most ``limit`` messages from this offset on, in order of offsets.

    Raises:
        CompactedLogError: The backend did not answer.
    """
    end = f"{topic}/m/{_AFTER_ALL_OFFSETS}"
    cells = await backend.scan(message_key(topic, first_offset), end, limit)
    return [decode_message(key, cell) for key, cell in cells]
