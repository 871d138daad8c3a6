"""Numbered result codes for all refusals, retries and failures."""

from __future__ import annotations

from typing import Literal, NamedTuple

ExecutionStatus = Literal["no", "yes", "unknown"]


class ResultCode(NamedTuple):
    """One numbered outcome.

    Parameters
    ----------
    number : int
        1xxx: did not run; 2xxx: ran or may have run; 3xxx: retry; 4xxx: problem with
        a peer, the store or an engine; 5xxx: operator error.
    name : str
        Stable upper-case name, which is also the metric label.
    ran : {"no", "yes", "unknown"}
        Whether the request ran on an upstream.
    http_status : int
        HTTP status sent to the caller; 0 for codes that are never sent to callers.
    meaning : str
        One sentence for the table in the documentation and for error bodies.
    """

    number: int
    name: str
    ran: ExecutionStatus
    http_status: int
    meaning: str


UNKNOWN_ACCOUNT = ResultCode(
    1001, "UNKNOWN_ACCOUNT", "no", 401, "The bearer token belongs to no account."
)
BODY_TOO_LARGE = ResultCode(
    1002, "BODY_TOO_LARGE", "no", 413, "The request body exceeds the limit."
)
MALFORMED_REQUEST = ResultCode(
    1003, "MALFORMED_REQUEST", "no", 400, "The request could not be decoded."
)
NO_BINDING = ResultCode(
    1004, "NO_BINDING", "no", 404, "No binding selects this caller and request."
)
NO_UPSTREAM = ResultCode(
    1005, "NO_UPSTREAM", "no", 503, "No upstream of the serving group is available."
)
QUEUE_FULL = ResultCode(
    1006, "QUEUE_FULL", "no", 429, "The queue of this rank or account is full."
)
WAIT_EXPIRED = ResultCode(
    1007, "WAIT_EXPIRED", "no", 503, "The request's deadline passed in the queue."
)
DRAINING = ResultCode(
    1008, "DRAINING", "no", 503, "This entry is stopping and accepts no new work."
)
KEY_REQUIRED = ResultCode(
    1009, "KEY_REQUIRED", "no", 400, "The call needs an Idempotency-Key header."
)
KEY_REUSED = ResultCode(
    1010, "KEY_REUSED", "no", 422, "The key was used before with another request."
)
STORE_UNAVAILABLE = ResultCode(
    1011, "STORE_UNAVAILABLE", "no", 503, "The claim could not be recorded."
)
SUSPECT_REFUSED = ResultCode(
    1012, "SUSPECT_REFUSED", "no", 422, "This request crashed several upstreams."
)
NOT_CONFIGURED = ResultCode(
    1013, "NOT_CONFIGURED", "no", 503, "This entry has no configuration yet."
)
UPSTREAM_REFUSED = ResultCode(
    1014, "UPSTREAM_REFUSED", "no", 503, "The upstream refused before running it."
)
ENTRY_OVERLOADED = ResultCode(
    1015, "ENTRY_OVERLOADED", "no", 503, "This entry has too many open requests."
)
KEY_INVALID = ResultCode(
    1016, "KEY_INVALID", "no", 400, "The issued key is not signed by this system."
)
RESUME_INVALID = ResultCode(
    1017, "RESUME_INVALID", "no", 400, "The resume token is not valid here."
)
NOT_FOUND = ResultCode(1018, "NOT_FOUND", "no", 404, "The path is not served.")
JOURNAL_FULL = ResultCode(
    1019, "JOURNAL_FULL", "no", 503, "The claim journal has no room left."
)
SCHEDULER_UNAVAILABLE = ResultCode(
    1020, "SCHEDULER_UNAVAILABLE", "no", 503, "No scheduler answered in time."
)
DEADLINE_UNREACHABLE = ResultCode(
    1021, "DEADLINE_UNREACHABLE", "no", 503, "The queue is longer than the deadline."
)
NO_ROUTE = ResultCode(
    1022, "NO_ROUTE", "no", 404, "No HTTP route matches the host and the path."
)
ZONE_DRAINED = ResultCode(
    1023, "ZONE_DRAINED", "no", 503, "All upstreams are in zones out of use."
)
NO_ALLOWED_REGION = ResultCode(
    1024, "NO_ALLOWED_REGION", "no", 503, "No upstream is in a region that is allowed."
)
CLIENT_STALLED = ResultCode(
    1025, "CLIENT_STALLED", "no", 503, "The body did not move while memory was short."
)
CONNECTION_DISPLACED = ResultCode(
    1026, "CONNECTION_DISPLACED", "no", 0, "An idle connection made room for others."
)
ACCOUNT_SHARE_EXCEEDED = ResultCode(
    1031,
    "ACCOUNT_SHARE_EXCEEDED",
    "no",
    429,
    "The account sends more than its share of a crowded service.",
)
REQUEST_TIMEOUT = ResultCode(
    1041, "REQUEST_TIMEOUT", "no", 408, "The request did not arrive in time."
)
METHOD_NOT_ALLOWED = ResultCode(
    1042, "METHOD_NOT_ALLOWED", "no", 405, "The path does not take this method."
)
HEADERS_TOO_LARGE = ResultCode(
    1043, "HEADERS_TOO_LARGE", "no", 431, "The request headers exceed the limit."
)
HTTP_VERSION_REFUSED = ResultCode(
    1044, "HTTP_VERSION_REFUSED", "no", 505, "Calls need HTTP/1.1."
)

UPSTREAM_FAILED = ResultCode(
    2001, "UPSTREAM_FAILED", "unknown", 502, "The upstream failed during the call."
)
STREAM_LOST = ResultCode(
    2002, "STREAM_LOST", "yes", 502, "The generation was lost after its first token."
)
OUTCOME_UNKNOWN = ResultCode(
    2003, "OUTCOME_UNKNOWN", "unknown", 409, "An earlier call with the key may run."
)
KEY_EXPIRED = ResultCode(
    2004, "KEY_EXPIRED", "unknown", 409, "The key is too old to know its outcome."
)
ANSWER_TRUNCATED = ResultCode(
    2005, "ANSWER_TRUNCATED", "unknown", 502, "The upstream's answer was incomplete."
)
STALLED = ResultCode(
    2006, "STALLED", "unknown", 504, "The upstream sent nothing until the deadline."
)
RESULT_NOT_KEPT = ResultCode(
    2007, "RESULT_NOT_KEPT", "yes", 409, "The call ran; its answer was not kept."
)
CALLER_GONE = ResultCode(
    2008, "CALLER_GONE", "unknown", 0, "The caller closed before the end."
)
ENTRY_STOPPED = ResultCode(
    2010, "ENTRY_STOPPED", "unknown", 502, "This entry stopped during the call."
)
INTERNAL_ERROR = ResultCode(
    2041, "INTERNAL_ERROR", "unknown", 500, "The entry failed during the call."
)
ANSWER_FOREIGN = ResultCode(
    2042, "ANSWER_FOREIGN", "unknown", 502, "The answer is of another generation."
)
ANSWER_TOO_LARGE = ResultCode(
    2043, "ANSWER_TOO_LARGE", "unknown", 502, "The answer exceeds the size limit."
)
ANSWER_NOT_READ = ResultCode(
    2044, "ANSWER_NOT_READ", "unknown", 0, "The caller did not read its answer."
)
FORWARD_REFUSED = ResultCode(
    2009, "FORWARD_REFUSED", "unknown", 403, "The forwarded call was not signed."
)

RETRY_CONNECT = ResultCode(
    3001, "RETRY_CONNECT", "no", 0, "No connection; tried at another upstream."
)
RETRY_REFUSED = ResultCode(
    3002, "RETRY_REFUSED", "no", 0, "The upstream refused; tried at another one."
)
RETRY_BEFORE_FIRST_TOKEN = ResultCode(
    3003, "RETRY_BEFORE_FIRST_TOKEN", "unknown", 0, "Failed before the first token."
)
RESUME_LINK_LOST = ResultCode(
    3004, "RESUME_LINK_LOST", "yes", 0, "Link closed; same generation resumed."
)
RESUME_STALLED = ResultCode(
    3005, "RESUME_STALLED", "yes", 0, "Link stalled; same generation resumed."
)
RETRY_ASK = ResultCode(
    3006, "RETRY_ASK", "no", 0, "The scheduler did not answer; asked again."
)
RETRY_CLAIM_CONFLICT = ResultCode(
    3007, "RETRY_CLAIM_CONFLICT", "no", 0, "Journal changed; claim written again."
)
RETRY_GRANT_EXPIRED = ResultCode(
    3008, "RETRY_GRANT_EXPIRED", "no", 0, "The grant's deadline passed; asked again."
)
RETRY_FAILED_ANSWER = ResultCode(
    3010, "RETRY_FAILED_ANSWER", "yes", 0, "The upstream answered that it failed."
)
RETRY_CONTINUED = ResultCode(
    3011, "RETRY_CONTINUED", "yes", 0, "Stream broken; continued at another upstream."
)
RETRY_MOVED = ResultCode(
    3012, "RETRY_MOVED", "yes", 0, "The engine leaves; the generation was moved."
)
RETRY_GRANT_DECLINED = ResultCode(
    3014, "RETRY_GRANT_DECLINED", "no", 0, "The granted upstream wants no calls."
)
RETRY_ZONE_DRAINED = ResultCode(
    3015, "RETRY_ZONE_DRAINED", "no", 0, "The granted upstream's zone is out of use."
)
MOVE_FAILED = ResultCode(
    3013, "MOVE_FAILED", "yes", 0, "A generation could not be moved."
)
RETRY_BUDGET_EMPTY = ResultCode(
    3009, "RETRY_BUDGET_EMPTY", "no", 0, "A retry was not made: budget used up."
)

PEER_SIGNATURE_INVALID = ResultCode(
    4001, "PEER_SIGNATURE_INVALID", "no", 0, "A peer message had a wrong signature."
)
PEER_MESSAGE_MALFORMED = ResultCode(
    4002, "PEER_MESSAGE_MALFORMED", "no", 0, "A peer message could not be decoded."
)
PEER_MESSAGE_REPLAYED = ResultCode(
    4003, "PEER_MESSAGE_REPLAYED", "no", 0, "A peer message was old or repeated."
)
STORE_CALL_FAILED = ResultCode(
    4004, "STORE_CALL_FAILED", "unknown", 0, "A store call failed or timed out."
)
CONFIGURATION_REJECTED = ResultCode(
    4005, "CONFIGURATION_REJECTED", "no", 0, "A configuration failed its checks."
)
CACHE_EVENT_GAP = ResultCode(
    4006, "CACHE_EVENT_GAP", "no", 0, "Cache events of an upstream had a gap."
)
ORDER_REFUSED = ResultCode(
    4007, "ORDER_REFUSED", "no", 0, "An engine refused an order or did not answer."
)
LEASE_LOST = ResultCode(
    4008, "LEASE_LOST", "no", 0, "A lease passed to another node or lapsed."
)
CONFIGURATION_OUTDATED = ResultCode(
    4010, "CONFIGURATION_OUTDATED", "no", 0, "An older configuration was not used."
)
CONFIGURATION_PULL_FAILED = ResultCode(
    4011, "CONFIGURATION_PULL_FAILED", "no", 0, "A peer sent no configuration."
)
STORE_OBJECT_UNREADABLE = ResultCode(
    4012, "STORE_OBJECT_UNREADABLE", "no", 0, "An object of the store is unreadable."
)
ZONE_UNKNOWN = ResultCode(
    4013, "ZONE_UNKNOWN", "no", 0, "A zone drain names a zone without upstreams."
)
PEER_UNREACHABLE = ResultCode(
    4020, "PEER_UNREACHABLE", "no", 0, "A message to an entry could not be sent."
)

INVALID_SETTING = ResultCode(
    5001, "INVALID_SETTING", "no", 0, "A settings file has a wrong value."
)
INVALID_DECLARATION = ResultCode(
    5002, "INVALID_DECLARATION", "no", 400, "A declaration has a wrong value."
)
CHANGE_CONFLICT = ResultCode(
    5003, "CHANGE_CONFLICT", "no", 409, "Another change was accepted first."
)
OPERATOR_REFUSED = ResultCode(
    5004, "OPERATOR_REFUSED", "no", 403, "The operator token is not valid."
)
CHANGE_UNKNOWN = ResultCode(
    5005, "CHANGE_UNKNOWN", "unknown", 503, "The store did not confirm the change."
)
INVALID_TRACE = ResultCode(
    5006, "INVALID_TRACE", "no", 0, "A line of a trace file could not be decoded."
)

codes_by_name: dict[str, ResultCode] = {
    value.name: value for value in list(vars().values()) if type(value) is ResultCode
}
codes_by_number: dict[int, ResultCode] = {
    code.number: code for code in codes_by_name.values()
}
