"""Rows of stored objects, store scopes and operator changes."""

from __future__ import annotations

from typing import NamedTuple


class ObjectRow(NamedTuple):
    """Latest known version of one declared object, kept after its deletion."""

    key: tuple[str, str]
    version: int
    value: bytes
    deleted: bool = False


class ObjectSetRow(NamedTuple):
    """State of the set of declared objects on this node.

    Parameters
    ----------
    revision : int
        Highest version known.
    complete_revision : int
        Revision up to which every change is known; -1 before the first complete set.
    digest : int
        Exclusive or of the hashes of all keys and versions.
    outdated_count : int
        Received answers that were older than the known objects.
    rejected_count : int
        Candidate configurations that failed validation.
    pull_deadline : float
        Time until which a pull from a peer in progress prevents another pull.
    full_pull_after : float
        Earliest time of the next pull of all objects.
    behind_since : float
        Time since which a peer is known to have objects that this node lacks; 0 if
        none is.
    behind_peer_id : str
        That peer.
    isolated_after : float
        Time from which the node is considered isolated if it knows no other live
        member.
    problems : tuple of str
        Reasons why the latest candidate configuration was rejected.
    in_force_since : float
        Time at which the current configuration came into force.
    change_revision : int
        Revision of the last change that this node wrote.
    change_accepted_at : float
        Time at which the store accepted that change.
    """

    revision: int = 0
    complete_revision: int = -1
    digest: int = 0
    outdated_count: int = 0
    rejected_count: int = 0
    pull_deadline: float = 0.0
    full_pull_after: float = 0.0
    behind_since: float = 0.0
    behind_peer_id: str = ""
    isolated_after: float = 0.0
    problems: tuple[str, ...] = ()
    in_force_since: float = 0.0
    change_revision: int = 0
    change_accepted_at: float = 0.0


class DeferredRemoval(NamedTuple):
    """A removal of a stored object that is not applied yet."""

    key: tuple[str, str]
    version: int


class StoreScopeRow(NamedTuple):
    """Part of the store that is listed and watched separately.

    Parameters
    ----------
    scope : str
        Name of the scope; empty if one list and one watch cover all objects.
    call : str
        The outstanding store call or timer, of which there is at most one: ``list``,
        ``watch``, ``timer`` or empty; ``deferred`` while the scope fails and another
        failing scope probes the store.
    position : int
        Revision up to which this node knows every change of the scope; -1 before
        the first list.
    list_after : float
        Time from which the next store call must be a list.
    failure_count : int
        Consecutive failed store calls.
    failing_since : float
        Time of the first failure in that sequence.
    removals_applied_after : float
        Time at which removals are applied that come earlier, because registrations
        that lapsed in an outage of the store return shortly after it.
    deferred_removals : tuple of DeferredRemoval
        Removals that came earlier, until a list that begins after that time.
    contacted_at : float
        Time of the last answer from the store.
    called_at : float
        Time at which the last store call was made.
    watch_deadline : float
        Time at which the last watch ends without a change.
    bounded_until : float
        Time until which the bounds of the platform limit all watches, because a call
        of this scope failed.
    tests_connection : bool
        Whether the next watch is short, because it may reuse a silent connection.
    watched_stale_until : float
        Time until which the entry, which has just started, leaves consistent watches
        to others.
    """

    scope: str
    call: str = ""
    position: int = -1
    list_after: float = 0.0
    failure_count: int = 0
    failing_since: float = 0.0
    removals_applied_after: float = 0.0
    deferred_removals: tuple[DeferredRemoval, ...] = ()
    contacted_at: float = 0.0
    called_at: float = 0.0
    watch_deadline: float = 0.0
    bounded_until: float = 0.0
    tests_connection: bool = False
    watched_stale_until: float = 0.0


class ChangeRow(NamedTuple):
    """A change of an operator that this node is writing to the store.

    Parameters
    ----------
    deadline : float
        Time at which the outcome is reported as unknown.
    """

    operation_id: str
    change_id: str
    kind: str
    name: str
    value: bytes
    deleted: bool
    expected_version: int
    deadline: float
    failure_count: int = 0
    rewrite_count: int = 0
