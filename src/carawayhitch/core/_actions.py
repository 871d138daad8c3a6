"""Actions that controllers return and that the node performs."""

from __future__ import annotations

from typing import Any, NamedTuple

from carawayhitch.core._events import ObjectsExchanged, StoredObject
from carawayhitch.core._messages import PeerMessage
from carawayhitch.core._result_codes import ResultCode
from carawayhitch.core._rows import JournalRecord, LayoutRow


class Emit(NamedTuple):
    """Feed an event to the controllers directly after the current one."""

    event: Any


class SetTimer(NamedTuple):
    """Feed an event at a time (seconds of the node clock).

    Timers are not cancelled: handlers check whether the event still applies.
    """

    deadline: float
    event: Any


class Send(NamedTuple):
    """Send a message to an entry; to itself it becomes an event."""

    node_id: str
    message: PeerMessage


class SendToAddress(NamedTuple):
    """Send a message to an entry that is not a member yet."""

    address: str
    peer_port: int
    message: PeerMessage


class OpenUpstream(NamedTuple):
    """Send the request's stored body to an upstream, over a connection of its own.

    On a connection that is used again, the library would send a call twice or read
    bytes of an earlier answer.

    Parameters
    ----------
    account : str
        Client account of the call; empty if it needs none.
    answer_deadline : float
        Time at which the upstream may stop to work on the call; 0 for none.
    last_sequence : int
        Last event that the caller has; the upstream continues after it.
    source : str
        Where the memory of the moved generation comes from; empty for a new one.
    """

    request_id: str
    attempt: int
    upstream_id: str
    address: str
    priority: int
    account: str = ""
    answer_deadline: float = 0.0
    last_sequence: int = 0
    source: str = ""


class ResumeUpstream(NamedTuple):
    """Continue a generation after ``last_sequence``."""

    request_id: str
    attempt: int
    address: str
    generation_id: str
    last_sequence: int


class CopyMemory(NamedTuple):
    """Copy the memory of a running generation to another engine.

    Parameters
    ----------
    address : str
        The engine that runs the generation.
    is_final : bool
        Stop the generation first, so that the copy is whole.
    deadline : float
        Time at which the engine is gone (seconds of the node clock).
    """

    request_id: str
    attempt: int
    address: str
    target_address: str
    is_final: bool
    deadline: float


class ReleaseMemory(NamedTuple):
    """Free the copy of a generation's memory that nobody continues.

    Parameters
    ----------
    addresses : tuple of str
        The engines that hold it.
    """

    addresses: tuple[str, ...]
    handle: str


class CloseUpstream(NamedTuple):
    """Close the upstream connection; cancel the generation if it still runs.

    Parameters
    ----------
    linger_seconds : float
        How long to wait for the headers of a stream, which name the generation to
        cancel; 0 to close at once.
    """

    request_id: str
    cancel_generation: bool
    linger_seconds: float = 0.0


class CancelGeneration(NamedTuple):
    """Stop a generation that no request of this entry needs."""

    address: str
    generation_id: str


class StartStream(NamedTuple):
    """Send status and headers of a streamed answer to the caller."""

    request_id: str
    upstream_id: str
    address: str
    generation_id: str
    account: str
    group: str
    content_type: str
    headers: tuple[tuple[str, str], ...] = ()


class ForwardChunk(NamedTuple):
    """Pass bytes of a stream to the caller."""

    request_id: str
    data: bytes


class FinishStream(NamedTuple):
    """End a streamed answer."""

    request_id: str


class SendAnswer(NamedTuple):
    """Send a whole answer to the caller."""

    request_id: str
    status: int
    content_type: str
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()


class IssueKeys(NamedTuple):
    """Sign keys of this process and answer them to the caller."""

    request_id: str
    account: str
    serials: tuple[str, ...]
    deadline: float


class RefuseCall(NamedTuple):
    """Answer with an error, or end a started stream with an error event."""

    request_id: str
    code: ResultCode
    message: str
    retry_after: float = 0.0


class PollLoad(NamedTuple):
    """Read the load of an upstream."""

    upstream_id: str
    address: str


class PollCacheEvents(NamedTuple):
    """Read the cache events of an upstream after sequence ``since``."""

    upstream_id: str
    address: str
    since: int


class PollVmList(NamedTuple):
    """Read the platform's list of VMs."""


class ReadEngineState(NamedTuple):
    """Read what models, adapters and role an engine has."""

    upstream_id: str
    address: str


class SendOrder(NamedTuple):
    """Send one order to an engine over a connection of its own.

    Parameters
    ----------
    kind : str
        ``load_model``, ``unload_model``, ``load_adapter``, ``unload_adapter`` or
        ``set_role``.
    fencing_number : int
        Version of the lease under which the order is given.
    lease_deadline : float
        The order is not sent at or after this time.
    """

    upstream_id: str
    address: str
    kind: str
    subject: str
    fencing_number: int
    lease_deadline: float


class ReadObject(NamedTuple):
    """Read one object of the store."""

    operation_id: str
    kind: str
    name: str


class WriteObject(NamedTuple):
    """Write one object if its version still is ``expected_version`` (0: absent)."""

    operation_id: str
    kind: str
    name: str
    value: bytes
    expected_version: int


class LoadPeerKeys(NamedTuple):
    """Read the key that entries share through the store, or create it."""

    operation_id: str


class RegisterEntry(NamedTuple):
    """Write this entry's own registration if its version is as expected."""

    operation_id: str
    expected_version: int


class ReadJournal(NamedTuple):
    """Read one journal object of claims."""

    operation_id: str
    shard: str


class WriteJournal(NamedTuple):
    """Write one journal object if its version still is ``expected_version``."""

    operation_id: str
    shard: str
    records: tuple[JournalRecord, ...]
    expected_version: int


class ReadLayout(NamedTuple):
    """Read the layout of the claim journals."""

    operation_id: str


class WriteLayout(NamedTuple):
    """Write the layout of the claim journals if the store has none."""

    operation_id: str
    layout: LayoutRow


class ListObjects(NamedTuple):
    """Read all objects of a scope of the store.

    Parameters
    ----------
    may_be_stale : bool
        Whether an answer that is seconds old will do, which costs the store less.
    """

    operation_id: str
    scope: str = ""
    may_be_stale: bool = False


class WatchObjects(NamedTuple):
    """Wait for changes of a scope after a revision.

    Parameters
    ----------
    may_be_stale : bool
        Whether an answer that is seconds old will do, which costs the store less.
    wait_seconds : float
        Time after which the store answers without a change.
    """

    operation_id: str
    revision: int
    wait_seconds: float
    scope: str = ""
    may_be_stale: bool = False


class DecodeObjects(NamedTuple):
    """Decode the declarations of some objects."""

    operation_id: str
    objects: tuple[StoredObject, ...]


class PullObjects(NamedTuple):
    """Offer objects to a peer and read those that it knows and this node lacks.

    Parameters
    ----------
    peer_id : str
        Node id, or ``address:port`` of a seed whose id is not known yet.
    request : ObjectsExchanged
        State of this node with the offered objects.
    """

    peer_id: str
    address: str
    http_port: int
    request: ObjectsExchanged


class AnswerExchange(NamedTuple):
    """Answer a peer that exchanges objects with this node."""

    exchange_id: str
    answer: ObjectsExchanged


class AnswerChange(NamedTuple):
    """Tell an operator the outcome of a change.

    Parameters
    ----------
    code : ResultCode or None
        None if the change is accepted.
    version : int
        Version of the object that the change made.
    """

    operation_id: str
    code: ResultCode | None
    message: str = ""
    version: int = 0


class Count(NamedTuple):
    """Add to the counter of a result code."""

    code: ResultCode
    rank: str = ""


class Observe(NamedTuple):
    """Add the seconds that a stage of a request took to its histogram.

    Parameters
    ----------
    stage : {"queue", "first", "whole"}
        From the call to the upstream's grant, to the first part of the answer that the
        caller got, and to its end.
    kind : str
        Binding or route of the request.
    """

    stage: str
    kind: str
    rank: str
    seconds: float


class Log(NamedTuple):
    """Write one structured log line."""

    level: str
    event: str
    fields: dict[str, Any]


class OpenLog(NamedTuple):
    """Write further log lines as the settings in force say."""


class CloseIdleConnections(NamedTuple):
    """Close the connections of callers on which no call is open."""


class StopProcess(NamedTuple):
    """End the process; nothing of it runs any more."""


Action = (
    Emit
    | SetTimer
    | Send
    | SendToAddress
    | OpenUpstream
    | ResumeUpstream
    | CopyMemory
    | ReleaseMemory
    | CloseUpstream
    | CancelGeneration
    | StartStream
    | ForwardChunk
    | FinishStream
    | SendAnswer
    | IssueKeys
    | RefuseCall
    | PollLoad
    | PollCacheEvents
    | PollVmList
    | ReadEngineState
    | SendOrder
    | ReadObject
    | WriteObject
    | LoadPeerKeys
    | RegisterEntry
    | ReadJournal
    | WriteJournal
    | ReadLayout
    | WriteLayout
    | ListObjects
    | WatchObjects
    | DecodeObjects
    | PullObjects
    | AnswerExchange
    | AnswerChange
    | Count
    | Observe
    | Log
    | OpenLog
    | CloseIdleConnections
    | StopProcess
)
