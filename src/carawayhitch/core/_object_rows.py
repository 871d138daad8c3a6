"""Rows of the store's objects: versions, scopes, changes of operators."""

from __future__ import annotations

from typing import NamedTuple


class ObjectRow(NamedTuple):
    """Newest version of one declared object; a deleted one keeps its version."""

    key: tuple[str, str]
    version: int
    value: bytes
    deleted: bool = False


class ObjectSetRow(NamedTuple):
    """What this node knows of the declared objects as a whole.

    Parameters
    ----------
    revision : int
        Highest version known.
    complete_revision : int
        Revision up to which every change is known; -1 before the first whole set.
    digest : int
        Exclusive or of the hashes of all keys and versions.
    outdated_count, rejected_count : int
        Answers that were older than what is known here; candidates that failed.
    pull_deadline : float
        Time until which a running pull from a peer holds back another one.
    full_pull_after : float
        Time from which the whole set may be pulled again.
    behind_since : float
        Time since which a peer is known to have other objects and the store has said
        nothing; 0 if that is not so.
    isolated_after : float
        Time from which the node counts as alone if it knows no other live member.
    problems : tuple of str
        Why the newest candidate is not in force.
    in_force_since : float
        Time at which the configuration in force was put in force.
    change_revision, change_accepted_at
        Last change that this node wrote, and when the store accepted it.
    """

    revision: int = 0
    complete_revision: int = -1
    digest: int = 0
    outdated_count: int = 0
    rejected_count: int = 0
    pull_deadline: float = 0.0
    full_pull_after: float = 0.0
    behind_since: float = 0.0
    isolated_after: float = 0.0
    problems: tuple[str, ...] = ()
    in_force_since: float = 0.0
    change_revision: int = 0
    change_accepted_at: float = 0.0


class StoreScopeRow(NamedTuple):
    """Objects of the store that are listed and watched together.

    Parameters
    ----------
    scope : str
        Name of the scope; empty if one list and one watch cover all objects.
    call : str
        The one store call or timer that is outstanding: ``list``, ``watch``,
        ``timer`` or none.
    position : int
        Revision up to which this node knows every change of the scope; -1 before
        the first list.
    list_after : float
        Time from which the next store call has to be a list.
    failure_count : int
        Store calls that failed in a row.
    failing_since : float
        Time of the first of them.
    removals_applied_after : float
        Time from which removals are believed; entries that lapsed in an outage of the
        store come back shortly after it.
    contacted_at : float
        Time of the store's last answer.
    called_at : float
        Time at which the last call was made.
    """

    scope: str
    call: str = ""
    position: int = -1
    list_after: float = 0.0
    failure_count: int = 0
    failing_since: float = 0.0
    removals_applied_after: float = 0.0
    contacted_at: float = 0.0
    called_at: float = 0.0


class ChangeRow(NamedTuple):
    """A change of an operator that this node writes to the store.

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
