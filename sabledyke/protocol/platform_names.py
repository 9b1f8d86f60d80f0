"""The platform's names for fields on the wire, as constants with the usual terms.

The platform's names never change; the rest of the program uses only the constants. Names of received headers
are in lower case, as ``HttpMessage`` stores them; names of sent headers are spelled as the platform does.
"""

# Headers of clients' requests.
REQUEST_CLASS = "req-kind"
PLAN = "tier"
REQUEST_ID = "req-id"
DEADLINE_S = "req-deadline"
IS_RETRY = "req-retry"
IDEMPOTENCY_KEY = "idempotency-key"
REQUEST_COST = "io-info"

REQUEST_HEADERS = frozenset(
    {REQUEST_CLASS, PLAN, REQUEST_ID, DEADLINE_S, IS_RETRY, IDEMPOTENCY_KEY, REQUEST_COST}
)

# Keys within the cost of a request.
COST_UNITS = "units"
COST_HOST_COUNT = "hosts"
COST_SHARD = "shard"

# Headers of storage nodes' responses.
REJECTED = "srv-declined"
VOLUME_USED_PERCENT = "volume-load"
OTHER_HOSTS_UNITS = "other-hosts"
LOAD_REPORT = "srv-load"
RESPONSE_HEADERS = frozenset({REJECTED, VOLUME_USED_PERCENT, OTHER_HOSTS_UNITS, LOAD_REPORT})

SIMULATOR_LOAD_FIELDS = {
    "concurrent": "inflight",
    "mean_ms": "latency_ms",
    "depth": "queue",
    "load_share": "util",
    "tps": "qps",
    "err_ps": "eps",
}
"""Names that the platform's simulator uses for fields of a load report, by the settings' names."""

# Headers of requests to storage nodes.
SENT_REQUEST_ID = "Req-Id"
SENT_DEADLINE_S = "Req-Deadline"
SENT_IDEMPOTENCY_KEY = "Idempotency-Key"

# Discovery's endpoint list.
LIST_VERSION = "seq"
LIST_IS_FULL = "whole"
LIST_NODES = "hosts"
NODE_ID = "host"
NODE_ADDRESS = "dial"
NODE_SHARD = "block"
NODE_ZONE = "site"
NODE_KIND = "class"
NODE_STARTED_MS = "born_ms"
NODE_WEIGHT = "share"
NODE_STATE = "health"

STATE_READY = "ready"
STATE_DRAINING = "draining"
STATE_REMOVED = "gone"
