"""Events that controllers raise for each other, and the timers of requests."""

from __future__ import annotations

from typing import NamedTuple

from carawayhitch.core._call_events import AnswerReceived
from carawayhitch.core._result_codes import ResultCode


class StreamStarted(NamedTuple):
    """The caller was sent the first event of a stream."""

    request_id: str


class JournalFlush(NamedTuple):
    """Time to compare the pending claims of a shard with its journal object."""

    shard: str


class JournalSettled(NamedTuple):
    """A shard has nothing left to write."""

    shard: str


class ClaimTimedOut(NamedTuple):
    """Time by which a claim had to be recorded."""

    key: str
    nonce: str


class CallOverdue(NamedTuple):
    """Time by which the upstream had to answer a call that is sent only once."""

    request_id: str
    attempt: int


class IssuedKeyExpired(NamedTuple):
    """The end of an issued key that was used; its answer is no longer kept."""

    key: str


class AnswerOverdue(NamedTuple):
    """Time by which the answer of a call had to begin."""

    request_id: str


class AskTimedOut(NamedTuple):
    """The scheduler did not answer the numbered ask in time."""

    request_id: str
    attempt: int
    ask_count: int


class WaitExpired(NamedTuple):
    """The deadline of a request passed; it applies only while the request waits."""

    request_id: str


class StallCheck(NamedTuple):
    """Time to check whether a stream still receives bytes."""

    request_id: str
    attempt: int


class UpstreamsChanged(NamedTuple):
    """Upstreams, their labels or the serving groups changed."""


class MembershipChanged(NamedTuple):
    """The set of entries that can schedule changed."""


class LifecycleChanged(NamedTuple):
    """The lifecycle row of this process has another state."""


class ConfigurationChanged(NamedTuple):
    """Another configuration is in force."""

    revision: int


class RequestAdmitted(NamedTuple):
    """Admission stored a request row; placement takes over."""

    request_id: str


class KeyPresented(NamedTuple):
    """Admission stored the row of a call that must not be repeated."""

    request_id: str


class UpstreamGranted(NamedTuple):
    """Placement holds a grant for the request; claims and streams take over."""

    request_id: str


class ClaimGranted(NamedTuple):
    """The call may be sent upstream once; idempotent calls get this at once."""

    request_id: str


class ResumeAdmitted(NamedTuple):
    """Admission stored the row of a stream that continues here; streams take over."""

    request_id: str


class ResumeDue(NamedTuple):
    """Time to resume a stream again after a failed resume."""

    request_id: str
    attempt: int
    resume_count: int


class RequestEnded(NamedTuple):
    """The request left this entry with an outcome.

    Parameters
    ----------
    complete : bool
        Whether the caller received the whole answer.
    code : ResultCode or None
        Outcome other than success.
    """

    request_id: str
    complete: bool
    code: ResultCode | None
    upstream_failed: bool = False


class RetryRequested(NamedTuple):
    """A call failed in a way that allows another attempt elsewhere.

    Parameters
    ----------
    answer : AnswerReceived or None
        What the upstream answered; the caller gets it if there is no other attempt.
    """

    request_id: str
    code: ResultCode
    final_code: ResultCode
    answer: AnswerReceived | None = None


class UpstreamLeaving(NamedTuple):
    """An upstream is about to leave, by notice or because it is no longer listed."""

    upstream_id: str


class UpstreamDied(NamedTuple):
    """An upstream lost all its running requests at once."""

    upstream_id: str
