"""Reasons for which client connections are closed, as the metrics count them."""

from __future__ import annotations

from enum import Enum


class CloseReason(Enum):
    """Why a connection of a client was closed; the values are part of the metrics' names."""

    CLIENT = "client"  # the client closed it
    ANSWERED = "answered"  # the last answer was sent
    BAD_REQUEST = "bad_request"  # the client violated its protocol
    IDLE = "idle"  # no request arrived in time
    PARTIAL_REQUEST = "partial_request"  # a request was not completed in time
    UNREAD_ANSWER = "unread_answer"  # the client did not read an answer in time
    BROKEN_ANSWER = "broken_answer"  # a storage node broke off an answer that was being passed on
    MEMORY = "memory"  # the memory for requests was used up
    EVICTED_UNUSED = "evicted_unused"  # evicted without a request
    EVICTED_PARTIAL = "evicted_partial"  # evicted within a request
    EVICTED_IDLE = "evicted_idle"  # evicted between two requests
    NOT_ADMITTED = "not_admitted"  # closed on arrival, as no other connection could be evicted
    DRAIN = "drain"  # idle when the scheduler was drained or shut down
    END = "end"  # open at the end of the program
