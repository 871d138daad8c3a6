"""Rows of the entries as membership knows them, and of this process."""

from __future__ import annotations

from typing import Literal, NamedTuple

MemberState = Literal["joining", "alive", "suspect", "leaving", "left", "dead"]
LifecycleState = Literal["starting", "ready", "draining", "refusing", "stopped"]


class MemberRow(NamedTuple):
    """One entry process as membership knows it.

    Parameters
    ----------
    incarnation : int
        Start of the process in microseconds of Unix time, plus the number of times
        that it refuted a wrong report about itself.
    state : MemberState
        ``joining`` until the process knows cells that it could schedule.
    state_deadline : float
        When a suspected member counts as dead, or when the row of a dead or left one
        is removed (seconds of the node clock); 0 if the state has no deadline.
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


class MemberUpdateRow(NamedTuple):
    """A change of a member row that is still piggybacked on messages.

    Parameters
    ----------
    added : bool
        Whether the member became known or came back; other changes go first.
    """

    node_id: str
    added: bool
    sent_count: int


class ProbeRow(NamedTuple):
    """A probe without an answer yet.

    Parameters
    ----------
    deadline : float
        Time of the indirect probes (seconds of the node clock).
    requester_id : str
        Entry on whose behalf the probe was sent, or empty for an own probe.
    requester_sequence : int
        Sequence that the requester expects in the answer.
    """

    sequence: int
    subject_id: str
    deadline: float
    requester_id: str = ""
    requester_sequence: int = 0


class ProbeRoundRow(NamedTuple):
    """Members that this node has still to probe in the current round.

    Parameters
    ----------
    tick_deadline : float
        Time of the next probe (seconds of the node clock).
    table_request_tick : int
        Tick at which this node last asked for a whole table.
    added_count : int
        Members that became known or came back since then.
    """

    node_id: str
    remaining_ids: tuple[str, ...]
    next_sequence: int
    tick_count: int
    tick_deadline: float
    table_request_tick: int = 0
    added_count: int = 0


class SchedulerContactRow(NamedTuple):
    """How reliably a scheduler answers this entry.

    Parameters
    ----------
    silent_since : float
        Time at which the first message counted as unanswered (seconds of the node
        clock).
    unanswered_count : int
        Asks and progress messages without an answer since its last one.
    avoid_deadline : float
        Time until which others are asked instead (seconds of the node clock).
    """

    scheduler_id: str
    silent_since: float
    unanswered_count: int = 0
    avoid_deadline: float = 0.0


class LifecycleRow(NamedTuple):
    """State of this process."""

    node_id: str
    incarnation: int
    state: LifecycleState
    deadline: float = 0.0
    vm_list_known: bool = False
