"""Header names, states and paths of the platform's protocol."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

# Numbers in bodies may be fractions unless the protocol says otherwise. Larger values
# than these limits are errors of the writer: they would overflow timers and counters.
Count = Annotated[float, Meta(ge=0, le=1e15)]
Milliseconds = Annotated[float, Meta(ge=-1e12, le=1e12)]
# Unix time of a start in milliseconds, always a whole number.
UnixMilliseconds = Annotated[int, Meta(ge=0, le=2**53)]

REQUEST_ID = "Carawayhitch-Request-Id"
# Remaining time of the request in milliseconds; not a point in time.
DEADLINE = "Carawayhitch-Deadline-Ms"
EXPECTED_UPSTREAM = "Carawayhitch-Expect-Instance"
# Name of the client account; the platform calls it a tenant.
ACCOUNT = "Carawayhitch-Tenant"
PRIORITY = "Carawayhitch-Request-Priority"
# Signature by which the upstream proves that it produced the response.
SIGNATURE = "Carawayhitch-Server-Seal"
NOT_EXECUTED = "Carawayhitch-Not-Executed"
# Value "1" in all answers of an upstream that is leaving.
LEAVING = "Server-Leaving"
# Time in milliseconds for which an upstream remains cold.
COLD = "Carawayhitch-Cold-Ms"
# Prompt tokens and maximum output tokens, separated by a comma.
TOKEN_COUNT = "Carawayhitch-Token-Count"
PROMPT_PARTS = "Carawayhitch-Prompt-Prefix"
LENGTH_HINT = "Carawayhitch-Length-Hint"
LAST_EVENT_ID = "Last-Event-Id"
# ADDRESS/HANDLE: the engine that holds a copy of the memory and the copy's handle.
MEMORY_SOURCE = "Kv-From"

# Headers that are removed from a caller's request. A caller that could set them might
# claim the memory or the priority of another caller.
SYSTEM_HEADERS = frozenset(
    name.lower()
    for name in (
        DEADLINE,
        EXPECTED_UPSTREAM,
        "Carawayhitch-Expect-Version",
        ACCOUNT,
        PRIORITY,
        "Carawayhitch-Hold",
        "Carawayhitch-Pin-Ms",
        "Carawayhitch-Kv-Backup",
        MEMORY_SOURCE,
        "Kv-Fetch",
        LAST_EVENT_ID,
        "Authorization",
    )
)
# Headers that must not be repeated: two parsers of the same request could pick
# different values.
SINGLE_HEADERS = (
    "host",
    "authorization",
    REQUEST_ID.lower(),
    DEADLINE.lower(),
    TOKEN_COUNT.lower(),
    PROMPT_PARTS.lower(),
    LENGTH_HINT.lower(),
    LAST_EVENT_ID.lower(),
    "carawayhitch-model",
)

# States of an upstream in registrations and load reports.
READY = "ready"
DRAINING = "draining"
STATES = frozenset({READY, DRAINING})

# Status of a response whose ``Retry-After`` names a time without requests.
UNAVAILABLE_STATUS = 503
RETRY_AFTER = "Retry-After"

# Kind of the objects that name zones whose servers get no more requests.
ZONE_DRAIN_KIND = "evacuations"

READINESS_PATH = "/carawayhitch/readiness"
OBJECTS_PATH = "/carawayhitch/objects"
REPORT_PATH = "/carawayhitch/report"
MOVE_PATH = "/carawayhitch/kv-move"
HANDLE_PATH = "/carawayhitch/kv-handle"
