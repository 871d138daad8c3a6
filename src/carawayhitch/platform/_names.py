"""Names and paths of the platform's protocol."""

from __future__ import annotations

REQUEST_ID = "Carawayhitch-Request-Id"
# Time that is left to the sender, in milliseconds; not a point in time.
DEADLINE = "Carawayhitch-Deadline-Ms"
EXPECTED_UPSTREAM = "Carawayhitch-Expect-Instance"
# Name of the client account, which the platform calls tenant.
ACCOUNT = "Carawayhitch-Tenant"
PRIORITY = "Carawayhitch-Request-Priority"
# Proof of the upstream that the answer is its own.
SIGNATURE = "Carawayhitch-Server-Seal"
NOT_EXECUTED = "Carawayhitch-Not-Executed"
# Tokens of the prompt and the most tokens of the output, with a comma between them.
TOKEN_COUNT = "Carawayhitch-Token-Count"
PROMPT_PARTS = "Carawayhitch-Prompt-Prefix"
LENGTH_HINT = "Carawayhitch-Length-Hint"
LAST_EVENT_ID = "Last-Event-Id"
# Address of an engine, a slash, and the handle of the memory that it holds.
MEMORY_SOURCE = "Kv-From"

# Headers that only the system sets; a caller could otherwise take memory or priority
# that is not its own.
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
# Headers whose repetition would let two readers of a request disagree about it.
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

# States of an upstream, in its registration and in its reports.
READY = "ready"
DRAINING = "draining"
STATES = frozenset({READY, DRAINING})

READINESS_PATH = "/carawayhitch/readiness"
OBJECTS_PATH = "/carawayhitch/objects"
REPORT_PATH = "/carawayhitch/report"
MOVE_PATH = "/carawayhitch/kv-move"
HANDLE_PATH = "/carawayhitch/kv-handle"
