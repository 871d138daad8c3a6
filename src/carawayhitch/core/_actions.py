"""Actions that controllers return and that the node performs."""

from __future__ import annotations

from typing import Any, NamedTuple

from carawayhitch.core._events import ObjectsExchanged, StoredObject
from carawayhitch.core._messages import PeerMessage
from carawayhitch.core._result_codes import ResultCode
from carawayhitch.core._rows import JournalRecord, LayoutRow


class Emit(NamedTuple):
    """Dispatch an event to the controllers directly after the current one."""

    event: Any


class SetTimer(NamedTuple):
    """Dispatch an event at the deadline (seconds of the node clock).

    Timers cannot be cancelled; handlers check whether the event still applies.
    """

    deadline: float
    event: Any


class Send(NamedTuple):
    """Send a message to an entry; one to this entry is dispatched as an event."""

    node_id: str
    message: PeerMessage


class SendToAddress(NamedTuple):
    """Send a message to an entry that is not a member yet."""

    address: str
    peer_port: int
    message: PeerMessage


class OpenUpstream(NamedTuple):
    """Send the stored request body to an upstream over a dedicated connection.

    On a reused connection, the HTTP library could send a call twice or read bytes of
    an earlier answer.

    Parameters
    ----------
    account : str
        Client account of the call; empty if the call needs none.
    answer_deadline : float
        Time after which the upstream may stop processing the call; 0 for none.
    last_sequence : int
        Sequence number of the last event that the caller has received; the upstream
        continues after it.
    source : str
        Address and handle of the key-value cache of a moved generation; empty for a
        new generation.
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
    """Reconnect to a generation and read its events after ``last_sequence``."""

    request_id: str
    attempt: int
    address: str
    generation_id: str
    last_sequence: int


class CopyMemory(NamedTuple):
    """Copy the key-value cache of a running generation to another engine.

    Parameters
    ----------
    address : str
        Address of the engine that runs the generation.
    is_final : bool
        Whether to stop the generation first, so that the copy is complete.
    deadline : float
        Time at which the engine shuts down (seconds of the node clock).
    """

    request_id: str
    attempt: int
    address: str
    target_address: str
    is_final: bool
    deadline: float


class ReleaseMemory(NamedTuple):
    """Free a copied key-value cache from which no generation continues.

    Parameters
    ----------
    addresses : tuple of str
        Addresses of the engines that hold the cache.
    """

    addresses: tuple[str, ...]
    handle: str


class CloseUpstream(NamedTuple):
    """Close the upstream connection and optionally cancel the running generation.

    Parameters
    ----------
    linger_seconds : float
        Time to wait for the headers of a stream, which contain the id of the
        generation to cancel; 0 to close immediately.
    """

    request_id: str
    cancel_generation: bool
    linger_seconds: float = 0.0


class CancelGeneration(NamedTuple):
    """Cancel a generation that no request of this entry uses."""

    address: str
    generation_id: str


class StartStream(NamedTuple):
    """Send the status and headers of a streamed answer to the caller."""

    request_id: str
    upstream_id: str
    address: str
    generation_id: str
    account: str
    group: str
    content_type: str
    headers: tuple[tuple[str, str], ...] = ()


class ForwardChunk(NamedTuple):
    """Forward bytes of a stream to the caller."""

    request_id: str
    data: bytes


class FinishStream(NamedTuple):
    """End a streamed answer."""

    request_id: str


class SendAnswer(NamedTuple):
    """Send a complete, unstreamed answer to the caller."""

    request_id: str
    status: int
    content_type: str
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()


class IssueKeys(NamedTuple):
    """Sign single-use keys that are bound to this process and return them."""

    request_id: str
    account: str
    serials: tuple[str, ...]
    deadline: float


class RefuseCall(NamedTuple):
    """Return an error response, or end a started stream with an error event."""

    request_id: str
    code: ResultCode
    message: str
    retry_after: float = 0.0


class PollLoad(NamedTuple):
    """Request the load report of an upstream."""

    upstream_id: str
    address: str


class CheckListening(NamedTuple):
    """Find out whether an upstream accepts connections, without calling it."""

    upstream_id: str
    address: str


class PollCacheEvents(NamedTuple):
    """Read the cache events of an upstream after sequence number ``since``."""

    upstream_id: str
    address: str
    since: int


class PollVmList(NamedTuple):
    """Read the platform's list of VMs."""


class ReadEngineState(NamedTuple):
    """Read the loaded models, loaded adapters and role of an engine."""

    upstream_id: str
    address: str


class SendOrder(NamedTuple):
    """Send one order to an engine over a dedicated connection.

    Parameters
    ----------
    kind : str
        ``load_model``, ``unload_model``, ``load_adapter``, ``unload_adapter`` or
        ``set_role``.
    fencing_number : int
        Version of the lease that authorizes the order.
    lease_deadline : float
        Time from which the order must not be sent.
    """

    upstream_id: str
    address: str
    kind: str
    subject: str
    fencing_number: int
    lease_deadline: float


class ReadObject(NamedTuple):
    """Read one object of the store.

    Parameters
    ----------
    may_be_stale : bool
        Whether the answer may be seconds old, which costs the store less.
    """

    operation_id: str
    kind: str
    name: str
    may_be_stale: bool = False


class WriteObject(NamedTuple):
    """Write one object if its version is ``expected_version`` (0: it is absent)."""

    operation_id: str
    kind: str
    name: str
    value: bytes
    expected_version: int


class LoadPeerKeys(NamedTuple):
    """Read the keys that entries share through the store.

    Parameters
    ----------
    may_create : bool
        Whether to create a key if the store has none.
    """

    operation_id: str
    may_create: bool = True


class RegisterEntry(NamedTuple):
    """Write this entry's registration if its version is ``expected_version``."""

    operation_id: str
    expected_version: int


class ReadJournal(NamedTuple):
    """Read one shard of the claim journal."""

    operation_id: str
    shard: str


class WriteJournal(NamedTuple):
    """Write one shard of the claim journal if its version is ``expected_version``."""

    operation_id: str
    shard: str
    records: tuple[JournalRecord, ...]
    expected_version: int


class ReadLayout(NamedTuple):
    """Read the layout of the claim journal."""

    operation_id: str


class WriteLayout(NamedTuple):
    """Write the layout of the claim journal if the store has none."""

    operation_id: str
    layout: LayoutRow


class ListObjects(NamedTuple):
    """List all objects of one store scope.

    Parameters
    ----------
    may_be_stale : bool
        Whether a stale read, which may be seconds old, is sufficient; it costs the
        store less.
    beside_watch : bool
        Whether a watch of the scope that still waits goes on; it is cancelled if not.
    """

    operation_id: str
    scope: str = ""
    may_be_stale: bool = False
    beside_watch: bool = False


class WatchObjects(NamedTuple):
    """Watch one store scope for changes after a revision.

    Parameters
    ----------
    wait_seconds : float
        Time after which the store answers even if nothing changed.
    may_be_stale : bool
        Whether a stale read, which may be seconds old, is sufficient; it costs the
        store less.
    """

    operation_id: str
    revision: int
    wait_seconds: float
    scope: str = ""
    may_be_stale: bool = False


class DecodeObjects(NamedTuple):
    """Decode stored objects into declarations."""

    operation_id: str
    objects: tuple[StoredObject, ...]


class PullObjects(NamedTuple):
    """Offer objects to a peer and fetch those that this node lacks.

    Parameters
    ----------
    peer_id : str
        Node id, or ``address:port`` of a seed whose id is not known yet.
    request : ObjectsExchanged
        Revision and digest of this node, and the objects that it offers.
    """

    peer_id: str
    address: str
    http_port: int
    request: ObjectsExchanged


class AnswerExchange(NamedTuple):
    """Reply to an object exchange that a peer started."""

    exchange_id: str
    answer: ObjectsExchanged


class AnswerChange(NamedTuple):
    """Report the outcome of a change to the operator who requested it.

    Parameters
    ----------
    code : ResultCode or None
        None if the change was accepted.
    version : int
        Version of the object after the change.
    """

    operation_id: str
    code: ResultCode | None
    message: str = ""
    version: int = 0


class Count(NamedTuple):
    """Increment the counter of a result code."""

    code: ResultCode
    rank: str = ""


class Observe(NamedTuple):
    """Record the duration of a request stage in its histogram.

    Parameters
    ----------
    stage : {"queue", "first", "whole"}
        All stages begin when the call is received. ``queue`` ends when an upstream is
        granted, ``first`` when the first part of the answer is sent to the caller,
        ``whole`` at the end of the answer.
    kind : str
        Binding or route of the request.
    """

    stage: str
    kind: str
    rank: str
    seconds: float


class CountZoneCall(NamedTuple):
    """Count a call and its bytes by pair of availability zones and reason.

    Parameters
    ----------
    reason : {"own_zone", "none_usable", "less_wait", "unknown"}
        Why the upstream is in this zone.
    byte_count : float
        Bytes of request and answer, estimated from the numbers of tokens.
    """

    entry_zone: str
    upstream_zone: str
    reason: str
    byte_count: float


class Log(NamedTuple):
    """Write one structured log line."""

    level: str
    event: str
    fields: dict[str, Any]


class OpenLog(NamedTuple):
    """Reconfigure logging from the settings in force."""


class CloseIdleConnections(NamedTuple):
    """Close caller connections that have no open call."""


class DropBody(NamedTuple):
    """Free the body of a request, which is not sent again."""

    request_id: str


class CloseConnection(NamedTuple):
    """Close the connection of a client; a body in receipt is refused with the code."""

    connection_id: int
    code: ResultCode


class StopProcess(NamedTuple):
    """Terminate the process; all of its work has ended."""


Action = (
    Emit
    | SetTimer
    | Send
    | SendToAddress
    | OpenUpstream
    | ResumeUpstream
    | CopyMemory
    | DropBody
    | CloseConnection
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
    | CheckListening
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
    | CountZoneCall
    | Observe
    | Log
    | OpenLog
    | CloseIdleConnections
    | StopProcess
)
