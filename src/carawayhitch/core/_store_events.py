"""Events of the object store, the claim journal and object exchanges with peers."""

from __future__ import annotations

from typing import Any, NamedTuple

from carawayhitch.core._rows import JournalRecord, LayoutRow
from carawayhitch.core._settings import PeerKey


class StoredObject(NamedTuple):
    """One object as stored; version 0 means that the object is absent."""

    kind: str
    name: str
    version: int
    value: bytes
    deleted: bool = False
    change_id: str = ""


class ObjectsListed(NamedTuple):
    """All objects of a store scope were listed as of a revision.

    Parameters
    ----------
    scope : str
        Scope that was listed; empty if the store has one scope for all objects.
    kinds : tuple of str
        Kinds for which the list is exhaustive, so that objects missing from it were
        deleted; empty if the list contains deleted objects explicitly.
    unreadable_count : int
        Objects skipped because their name or revision is not readable, or because
        the kind has no object of that name.
    unreadable_names : tuple of str
        Names of the first of them that have a name.
    operation_id : str
        Operation that requested the list; empty if the store client does not tell.
    """

    revision: int
    objects: tuple[StoredObject, ...]
    scope: str = ""
    kinds: tuple[str, ...] = ()
    may_be_stale: bool = False
    unreadable_count: int = 0
    unreadable_names: tuple[str, ...] = ()
    operation_id: str = ""


class ObjectsChanged(NamedTuple):
    """A watch of the store returned the changes up to a revision.

    Parameters
    ----------
    may_be_stale : bool
        Whether the answer may be seconds old.
    unreadable_count : int
        Objects skipped because their name or revision is not readable, or because
        the kind has no object of that name.
    unreadable_names : tuple of str
        Names of the first of them that have a name.
    """

    source: str
    revision: int
    objects: tuple[StoredObject, ...]
    scope: str = ""
    may_be_stale: bool = False
    unreadable_count: int = 0
    unreadable_names: tuple[str, ...] = ()


class ObjectsReceived(NamedTuple):
    """Objects from the store arrived, to be merged with those that this node knows.

    Parameters
    ----------
    complete_revision : int
        Revision up to which the store guarantees that no change is missing; -1 if it
        gives no guarantee.
    push_count : int
        Number of random peers to which changed objects are pushed.
    is_current : bool
        Whether the store answered with its latest state.
    """

    objects: tuple[StoredObject, ...]
    complete_revision: int
    push_count: int
    is_current: bool = False


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
        Whether the store already held the value to write.
    """

    operation_id: str
    accepted: bool
    version: int
    unchanged: bool = False


class StoreCallFailed(NamedTuple):
    """A store call failed; a write may have taken effect or may do so later.

    Parameters
    ----------
    scope : str
        Scope of the list or watch that failed.
    """

    operation_id: str
    detail: str
    scope: str = ""


class PeerKeysRead(NamedTuple):
    """Answer to ``LoadPeerKeys``."""

    keys: tuple[PeerKey, ...]


class PeerKeysAbsent(NamedTuple):
    """Answer to ``LoadPeerKeys``: the store has no key, and none was created."""


class JournalRead(NamedTuple):
    """Answer to ``ReadJournal``; version 0 means that the object is absent."""

    operation_id: str
    version: int
    records: tuple[JournalRecord, ...]


class LayoutRead(NamedTuple):
    """Answer to ``ReadLayout``; None if the store has no layout yet."""

    operation_id: str
    layout: LayoutRow | None


class WatchExpired(NamedTuple):
    """The store has discarded the history after the revision of a watch."""

    operation_id: str
    scope: str = ""


class DecodedObject(NamedTuple):
    """One version of an object with its declaration or a decoding problem.

    Parameters
    ----------
    declaration : declaration or None
        None if the object is deleted or could not be decoded.
    problem : str
        Why decoding failed; empty if the object could be decoded.
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
    """A request for an object exchange from a peer, or a peer's answer to one.

    Parameters
    ----------
    exchange_id : str
        Id of the request to answer; empty if this is an answer.
    revision : int
        Highest version that the peer knows.
    complete_revision : int
        Revision up to which the peer knows every change; -1 for none.
    digest : str
        Digest of all keys and versions that the peer knows.
    since : int
        In a request, the revision after which the peer asks for changes; in an
        answer, the one after which ``objects`` contains every change that the peer
        knows.
    objects : tuple of StoredObject
        Objects that the peer offers.
    takes_large : bool
        In a request, whether the peer also asks for large objects.
    """

    exchange_id: str
    peer_id: str
    revision: int
    complete_revision: int
    digest: str
    since: int
    objects: tuple[StoredObject, ...]
    takes_large: bool = True


class ExchangeFailed(NamedTuple):
    """An object exchange with a peer failed or was not answered."""

    peer_id: str
    detail: str


class PeerRevisionSeen(NamedTuple):
    """Gossip reported a different revision or digest for a member."""

    node_id: str
    revision: int
    digest: str


class ChangeAccepted(NamedTuple):
    """The store accepted an object that an operator changed through this node."""

    stored: StoredObject


class ChangeRequested(NamedTuple):
    """An operator requested to write or delete one object.

    Parameters
    ----------
    value : bytes
        Value to store, including the change id. A deletion has one too, so that its
        outcome can be determined if the store's answer is lost.
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
