"""Rows of the cluster membership, failure detection and process lifecycle."""

from __future__ import annotations

from typing import Literal, NamedTuple

MemberState = Literal["joining", "alive", "suspect", "leaving", "left", "dead"]
# Strengths of members. Beyond two cores and half a gigabyte, a single-threaded process
# gains little for the work of a duty, and an unbounded strength would let one large VM
# take every duty.
MINIMUM_STRENGTH = 1
MAXIMUM_STRENGTH = 8
LifecycleState = Literal["starting", "ready", "draining", "refusing", "stopped"]


class MemberRow(NamedTuple):
    """One entry process in the membership.

    Parameters
    ----------
    incarnation : int
        Start of the process in microseconds of Unix time, plus the number of times
        that it refuted a false report about itself or changed its strength.
    state : MemberState
        ``joining`` until the process knows the cells that it could schedule.
    state_deadline : float
        Time at which a suspected member is declared dead, or at which the row of a
        dead or departed member is removed (seconds of the node clock); 0 if the state
        has no deadline.
    strength : int
        Weight of the member where duties are given, 1 for the weakest or unknown. It
        changes only together with the incarnation.
    """

    node_id: str
    incarnation: int
    state: MemberState
    address: str
    peer_port: int
    http_port: int
    zone: str
    region: str
    revision: int = 0
    configuration_digest: str = ""
    state_deadline: float = 0.0
    strength: int = MINIMUM_STRENGTH


class MemberUpdateRow(NamedTuple):
    """A change of a member row that is still being piggybacked on messages.

    Parameters
    ----------
    added : bool
        Whether the member is new or has rejoined; other changes are sent first.
    """

    node_id: str
    added: bool
    sent_count: int


class ProbeRow(NamedTuple):
    """A probe that has not been answered yet.

    Parameters
    ----------
    deadline : float
        Time at which indirect probes are sent (seconds of the node clock).
    requester_id : str
        Entry on whose behalf the probe was sent; empty for a probe of this node.
    requester_sequence : int
        Sequence number that the requester expects in the answer.
    """

    sequence: int
    subject_id: str
    deadline: float
    requester_id: str = ""
    requester_sequence: int = 0


class ProbeRoundRow(NamedTuple):
    """Members that this node still has to probe in the current round.

    Parameters
    ----------
    tick_deadline : float
        Time of the next probe (seconds of the node clock).
    table_request_tick : int
        Tick at which this node last requested a full member table.
    added_count : int
        Members that were added or rejoined since that request.
    """

    node_id: str
    remaining_ids: tuple[str, ...]
    next_sequence: int
    tick_count: int
    tick_deadline: float
    table_request_tick: int = 0
    added_count: int = 0


class SchedulerContactRow(NamedTuple):
    """Responsiveness of a scheduler to this entry.

    Parameters
    ----------
    silent_since : float
        Time at which the first unanswered message timed out (seconds of the node
        clock).
    unanswered_count : int
        Asks and progress messages that were not answered since its last answer.
    avoid_deadline : float
        Time until which other schedulers are asked instead (seconds of the node
        clock).
    """

    scheduler_id: str
    silent_since: float
    unanswered_count: int = 0
    avoid_deadline: float = 0.0


class DutyLoadRow(NamedTuple):
    """Lateness of this node while it has a duty on which other entries wait.

    Parameters
    ----------
    tick_deadline : float
        Time of the next measurement (seconds of the node clock).
    late_ticks : tuple of bool
        Whether each of the latest measurements was late, the oldest first.
    choked_deadline : float
        Time until which the node counts as weaker (seconds of the node clock); 0 if it
        does not.
    choked_count : int
        How often it was choked without a calm time between.
    calm_deadline : float
        Time at which that number starts at 0 again (seconds of the node clock).
    """

    node_id: str
    tick_deadline: float
    late_ticks: tuple[bool, ...] = ()
    choked_deadline: float = 0.0
    choked_count: int = 0
    calm_deadline: float = 0.0


class LifecycleRow(NamedTuple):
    """Lifecycle state of this process.

    Parameters
    ----------
    deadline : float
        Time at which a drain ends at the latest (seconds of the node clock).
    vm_list_known : bool
        Whether a VM list has been received; no call can be placed before that.
    """

    node_id: str
    incarnation: int
    state: LifecycleState
    deadline: float = 0.0
    vm_list_known: bool = False
