"""Events that controllers handle; peer messages are events as well."""

from __future__ import annotations

from typing import Any, Literal, NamedTuple

from carawayhitch.core._declarations import Labels
from carawayhitch.core._result_codes import ResultCode
from carawayhitch.core._rows import (
    GenerationTarget,
    IssuedKey,
    JournalRecord,
    LayoutRow,
    RoutedTarget,
    ServiceTarget,
    VmKind,
)
from carawayhitch.core._settings import PeerKey, Settings

FailureKind = Literal[
    "connect",
    "refused",
    "link_lost",
    "stalled",
    "truncated",
    "generation_gone",
    "foreign",
]


class ProcessStarted(NamedTuple):
    """The node loop runs; controllers set their first timers."""

    incarnation: int


class StopRequested(NamedTuple):
    """The process was asked to stop; ``immediate`` after a second signal."""

    immediate: bool


class SettingsRead(NamedTuple):
    """The settings file was read again and is valid as a whole.

    Parameters
    ----------
    changed_keys : tuple of str
        Dotted names of the values that differ from the settings in force. Decisions
        use these names, because a trace has no secrets that could be compared.
    """

    settings: Settings
    changed_keys: tuple[str, ...]


class SettingsRejected(NamedTuple):
    """The settings file was read again and is not valid."""

    message: str


class CallReceived(NamedTuple):
    """A call of a caller, decoded but not yet authenticated.

    Parameters
    ----------
    token_sha256 : str
        SHA-256 of the bearer token in hexadecimal.
    labels : dict of str to str
        Request labels, including ``model`` and ``path``.
    fingerprint : str
        SHA-256 of path and canonical body; equal for resent requests.
    body_sha256 : str
        SHA-256 of method, path, query and body; a key is bound to it.
    wait_seconds : float
        Longest wait that the caller accepts; 0 for the configured limit.
    issued_key : IssuedKey or None
        Verified content of the key if an entry issued it.
    key_created_at : float or None
        Time in a UUIDv7 key, in seconds of the node clock.
    forwarded : bool
        Another entry sent this call here because of its issued key.
    """

    request_id: str
    token_sha256: str
    labels: Labels
    target: GenerationTarget | ServiceTarget | RoutedTarget
    fingerprint: str
    body_sha256: str
    idempotency_key: str = ""
    wait_seconds: float = 0.0
    issued_key: IssuedKey | None = None
    key_created_at: float | None = None
    forwarded: bool = False


class KeysRequested(NamedTuple):
    """A caller asks for signed single-use keys."""

    request_id: str
    token_sha256: str
    key_count: int


class ResumeReceived(NamedTuple):
    """A caller presents a verified resume token."""

    request_id: str
    token_sha256: str
    account: str
    group: str
    upstream_id: str
    address: str
    generation_id: str
    last_sequence: int


class CallerGone(NamedTuple):
    """The caller closed its connection before the answer ended."""

    request_id: str


class UpstreamOpened(NamedTuple):
    """An upstream answered with a success status and a stream follows.

    Parameters
    ----------
    headers : tuple of (str, str)
        Headers that the caller gets with the stream.
    """

    request_id: str
    attempt: int
    generation_id: str
    content_type: str
    address: str = ""
    headers: tuple[tuple[str, str], ...] = ()


class ChunkReceived(NamedTuple):
    """Whole server-sent events of a stream.

    Parameters
    ----------
    first_sequence, last_sequence : int
        Sequence numbers of the first and last event in ``data``.
    data : bytes
        The events as received, complete with their blank lines.
    is_final : bool
        Whether the last event is the end mark, which carries no token.
    """

    request_id: str
    attempt: int
    first_sequence: int
    last_sequence: int
    data: bytes
    is_final: bool = False


class CallerPaused(NamedTuple):
    """The caller takes bytes more slowly than they arrive; reading has stopped."""

    request_id: str


class CallerResumed(NamedTuple):
    """The caller has taken what was written; reading goes on."""

    request_id: str


class StreamEnded(NamedTuple):
    """The stream closed after its final event."""

    request_id: str
    attempt: int


class StreamStarted(NamedTuple):
    """The caller was sent the first event of a stream."""

    request_id: str


class AnswerReceived(NamedTuple):
    """A whole answer, complete and checked against its declared length."""

    request_id: str
    attempt: int
    status: int
    content_type: str
    body: bytes
    token_count: int = 0
    headers: tuple[tuple[str, str], ...] = ()


class UpstreamCallFailed(NamedTuple):
    """A call to an upstream failed.

    Parameters
    ----------
    sent : bool
        Whether any byte of the request may have reached the upstream.
    """

    request_id: str
    attempt: int
    kind: FailureKind
    sent: bool
    detail: str = ""


class VmListed(NamedTuple):
    """One VM of the platform's list.

    Parameters
    ----------
    address : str
        IP address and port: HTTP for upstreams, peer messages for entries.
    running_limit : int
        Requests that an upstream runs at the same time; 0 if the list does not tell.
    started_at : int
        Start of the upstream in milliseconds of Unix time; it tells two upstreams
        apart that had the same id. 0 if the list does not tell.
    warm_after_seconds : float
        How long the upstream stays slow after its start, from when it was listed.
    http_port : int
        Port of an entry's HTTP interface; 0 for upstreams.
    """

    vm_id: str
    address: str
    zone: str
    region: str
    kind: VmKind
    labels: Labels
    leaving: bool
    running_limit: int = 0
    started_at: int = 0
    warm_after_seconds: float = 0.0
    http_port: int = 0


class VmListReceived(NamedTuple):
    """The platform's list of VMs; it lags."""

    vms: tuple[VmListed, ...]


class LoadReported(NamedTuple):
    """Load of one engine as of ``reported_at`` (seconds of the node clock).

    Parameters
    ----------
    leaving : bool
        The engine will stop.
    draining : bool
        An order took the engine out of service for a while.
    started_at : float or None
        Time at which the engine process started, if it tells.
    polled_at : float
        Time at which the poll was sent that this answers.
    running_limit : int
        Requests that the engine runs at once; 0 if the report does not tell.
    incarnation : int
        Start of the engine as its registration names it; 0 if the report does not
        tell.
    leaves_at : float
        Time at which the engine is gone (seconds of the node clock); 0 if not known.
    """

    upstream_id: str
    reported_at: float
    memory_capacity: int
    memory_used: int
    running_count: int
    running_limit: int
    waiting_count: int
    preemption_count: int
    leaving: bool
    draining: bool = False
    started_at: float | None = None
    polled_at: float = 0.0
    incarnation: int = 0
    leaves_at: float = 0.0


class LoadUnavailable(NamedTuple):
    """An engine did not answer a load poll."""

    upstream_id: str
    detail: str


class EngineStateRead(NamedTuple):
    """State of an engine that orders can change.

    Parameters
    ----------
    busy_count : int
        Generations that run or wait in the engine.
    """

    upstream_id: str
    models: tuple[str, ...]
    adapters: tuple[str, ...]
    role: str
    busy_count: int


class OrderAnswered(NamedTuple):
    """Answer to ``SendOrder``; refused orders carried an old fencing number."""

    upstream_id: str
    kind: str
    accepted: bool
    detail: str


class CacheChanged(NamedTuple):
    """Prefix blocks that an engine stored and evicted; events may have gaps."""

    upstream_id: str
    sequence: int
    stored_blocks: tuple[str, ...]
    evicted_blocks: tuple[str, ...]


class StoredObject(NamedTuple):
    """One object as the store holds it; version 0 means that it is absent."""

    kind: str
    name: str
    version: int
    value: bytes
    deleted: bool = False
    change_id: str = ""


class ObjectsListed(NamedTuple):
    """All objects of the store as of a revision.

    Parameters
    ----------
    scope : str
        Scope that was listed; empty if the store has one for all objects.
    kinds : tuple of str
        Kinds of which the store has no other objects than the listed ones; empty if
        the list names deleted objects.
    """

    revision: int
    objects: tuple[StoredObject, ...]
    scope: str = ""
    kinds: tuple[str, ...] = ()
    may_be_stale: bool = False


class ObjectsChanged(NamedTuple):
    """Objects changed up to a revision, from a watch of the store.

    Parameters
    ----------
    may_be_stale : bool
        Whether the answer may be seconds old.
    """

    source: str
    revision: int
    objects: tuple[StoredObject, ...]
    scope: str = ""
    may_be_stale: bool = False


class ObjectsReceived(NamedTuple):
    """Objects of the store to merge with those that this node knows.

    Parameters
    ----------
    complete_revision : int
        Revision up to which the store vouches that nothing is missing; -1 if it does
        not.
    push_count : int
        Peers that are sent what changed.
    """

    objects: tuple[StoredObject, ...]
    complete_revision: int
    push_count: int


class ObjectRead(NamedTuple):
    """Answer to ``ReadObject``."""

    operation_id: str
    stored: StoredObject


class ObjectWritten(NamedTuple):
    """Answer to ``WriteObject``.

    Parameters
    ----------
    accepted : bool
        False if the version did not match and nothing was written.
    unchanged : bool
        Whether the store already holds the value that was to be written.
    """

    operation_id: str
    accepted: bool
    version: int
    unchanged: bool = False


class StoreCallFailed(NamedTuple):
    """A store call failed; a write may still have taken or take effect.

    Parameters
    ----------
    scope : str
        Scope of a list or a watch.
    """

    operation_id: str
    detail: str
    scope: str = ""


class PeerKeysRead(NamedTuple):
    """Answer to ``LoadPeerKeys``."""

    keys: tuple[PeerKey, ...]


class JournalRead(NamedTuple):
    """Answer to ``ReadJournal``; version 0 means that the object is absent."""

    operation_id: str
    version: int
    records: tuple[JournalRecord, ...]


class LayoutRead(NamedTuple):
    """Answer to ``ReadLayout``; None if the store has no layout yet."""

    operation_id: str
    layout: LayoutRow | None


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


class WatchExpired(NamedTuple):
    """The store no longer has the history after the revision of a watch."""

    operation_id: str
    scope: str = ""


class DecodedObject(NamedTuple):
    """One version of an object with its declaration, or with what is wrong.

    Parameters
    ----------
    declaration : declaration or None
        None if the object is deleted or could not be decoded.
    problem : str
        Empty if the object could be decoded.
    """

    kind: str
    name: str
    version: int
    declaration: Any
    problem: str = ""


class ObjectsDecoded(NamedTuple):
    """Answer to ``DecodeObjects``."""

    operation_id: str
    objects: tuple[DecodedObject, ...]


class ObjectsExchanged(NamedTuple):
    """Configuration of a peer, as its request or as the answer to ours.

    Parameters
    ----------
    exchange_id : str
        Request to answer; empty if this is an answer.
    revision : int
        Highest version that the peer knows.
    complete_revision : int
        Revision up to which the peer knows every change; -1 for none.
    digest : str
        Digest of all keys and versions that the peer knows.
    since : int
        In a request, the revision after which the peer wants changes; in an answer,
        the one after which ``objects`` holds all that the peer knows.
    objects : tuple of StoredObject
        Objects that the peer offers.
    """

    exchange_id: str
    peer_id: str
    revision: int
    complete_revision: int
    digest: str
    since: int
    objects: tuple[StoredObject, ...]


class ExchangeFailed(NamedTuple):
    """A peer did not answer an exchange of objects."""

    peer_id: str
    detail: str


class PeerRevisionSeen(NamedTuple):
    """Gossip brought another revision or digest of a member."""

    node_id: str
    revision: int
    digest: str


class ChangeAccepted(NamedTuple):
    """The store holds an object that an operator changed through this node."""

    stored: StoredObject


class ChangeRequested(NamedTuple):
    """An operator asks to write one object.

    Parameters
    ----------
    value : bytes
        Store value, including the change id; a deletion has one as well, so that a
        lost answer can be resolved.
    expected_version : int
        Version that the change is based on; 0 for an absent object.
    """

    operation_id: str
    change_id: str
    kind: str
    name: str
    value: bytes
    deleted: bool
    expected_version: int


class TimerFired(NamedTuple):
    """A named timer without further data."""

    name: str
    subject: str = ""


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


class MemoryCopied(NamedTuple):
    """Answer to ``CopyMemory``.

    Parameters
    ----------
    is_final : bool
        Whether the generation was to stop before the copy.
    outcome : {"copied", "gone", "refused", "unknown"}
        ``gone`` if the source runs no such generation, ``unknown`` if it did not
        answer.
    handle : str
        Name of the memory at the source; empty if there is none.
    addresses : tuple of str
        Source and target of the copy.
    """

    request_id: str
    attempt: int
    is_final: bool
    outcome: Literal["copied", "gone", "refused", "unknown"]
    handle: str = ""
    addresses: tuple[str, ...] = ()


class UpstreamDied(NamedTuple):
    """An upstream lost all its running requests at once."""

    upstream_id: str
