"""Events that controllers emit for one another, and timer events of requests."""

from __future__ import annotations

from typing import NamedTuple

from carawayhitch.core._call_events import AnswerReceived
from carawayhitch.core._result_codes import ResultCode


class StreamStarted(NamedTuple):
    """The first event of a stream was sent to the caller."""

    request_id: str


class JournalFlush(NamedTuple):
    """Timer: synchronize the pending claims of a shard with its journal object."""

    shard: str


class JournalSettled(NamedTuple):
    """A shard has no claims left to write."""

    shard: str


class ClaimTimedOut(NamedTuple):
    """Timer: the time limit for recording a claim in the journal has passed."""

    key: str
    nonce: str


class CallOverdue(NamedTuple):
    """Timer: the answer deadline of a call that is sent at most once has passed."""

    request_id: str
    attempt: int


class IssuedKeyExpired(NamedTuple):
    """Timer: an issued key that was used has expired; its answer is discarded."""

    key: str


class AnswerOverdue(NamedTuple):
    """Timer: the deadline for the start of a call's answer has passed."""

    request_id: str


class AskTimedOut(NamedTuple):
    """Timer: the time limit for the scheduler's answer to an ask has passed."""

    request_id: str
    attempt: int
    ask_count: int


class WaitExpired(NamedTuple):
    """Timer: the deadline of a request has passed; ignored unless it still waits."""

    request_id: str


class StallCheck(NamedTuple):
    """Timer: check whether a stream has received bytes recently."""

    request_id: str
    attempt: int


class UpstreamsChanged(NamedTuple):
    """The upstreams, their labels or the serving groups changed."""


class MembershipChanged(NamedTuple):
    """The set of entries that can act as schedulers changed."""


class StrengthChanged(NamedTuple):
    """The strength that the node announces to its peers has to change."""

    strength: int


class LifecycleChanged(NamedTuple):
    """The lifecycle state of this process changed."""


class ZoneDrainsChanged(NamedTuple):
    """Availability zones were taken out of use or back.

    Parameters
    ----------
    begun, ended : tuple of str
        Names of the zones.
    """

    begun: tuple[str, ...]
    ended: tuple[str, ...]


class ConfigurationChanged(NamedTuple):
    """A different configuration came into force."""

    revision: int


class RequestAdmitted(NamedTuple):
    """Admission stored the row of a request; placement asks for an upstream next."""

    request_id: str


class KeyPresented(NamedTuple):
    """Admission stored the row of a call that may run at most once."""

    request_id: str


class UpstreamGranted(NamedTuple):
    """Placement obtained a grant; the request is claimed or sent upstream next."""

    request_id: str


class ClaimGranted(NamedTuple):
    """The call may be sent upstream once; emitted immediately for idempotent calls."""

    request_id: str


class ResumeAdmitted(NamedTuple):
    """Admission stored the row of a resumed stream; the streams controller opens it."""

    request_id: str


class ResumeDue(NamedTuple):
    """Timer: retry to resume a stream after a failed attempt."""

    request_id: str
    attempt: int
    resume_count: int


class RequestEnded(NamedTuple):
    """The processing of a request at this entry ended.

    Parameters
    ----------
    complete : bool
        Whether the caller received the complete answer.
    code : ResultCode or None
        Result code of the failure; None on success.
    """

    request_id: str
    complete: bool
    code: ResultCode | None
    upstream_failed: bool = False


class RetryRequested(NamedTuple):
    """A call failed in a way that allows another attempt at a different upstream.

    Parameters
    ----------
    answer : AnswerReceived or None
        Response of the upstream, which is sent to the caller if no other attempt is
        made.
    """

    request_id: str
    code: ResultCode
    final_code: ResultCode
    answer: AnswerReceived | None = None


class UpstreamLeaving(NamedTuple):
    """An upstream is leaving: it gave notice or is no longer listed."""

    upstream_id: str


class UpstreamDied(NamedTuple):
    """An upstream lost all of its running requests at the same time."""

    upstream_id: str
