"""Events of the store and of exchanges with peers: objects, journals, changes."""

from __future__ import annotations

from typing import Any, NamedTuple

from carawayhitch.core._rows import JournalRecord, LayoutRow
from carawayhitch.core._settings import PeerKey


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
    unreadable_count : int
        Objects left out because they have no name or no revision.
    """

    revision: int
    objects: tuple[StoredObject, ...]
    scope: str = ""
    kinds: tuple[str, ...] = ()
    may_be_stale: bool = False
    unreadable_count: int = 0


class ObjectsChanged(NamedTuple):
    """Objects changed up to a revision, from a watch of the store.

    Parameters
    ----------
    may_be_stale : bool
        Whether the answer may be seconds old.
    unreadable_count : int
        Objects left out because they have no name or no revision.
    """

    source: str
    revision: int
    objects: tuple[StoredObject, ...]
    scope: str = ""
    may_be_stale: bool = False
    unreadable_count: int = 0


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
    takes_large : bool
        In a request, whether the peer wants large objects as well.
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
