"""Member table: precedence of reports and selection of piggybacked rows."""

from __future__ import annotations

import math
from collections.abc import Iterable
from heapq import nsmallest
from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers._cells import SCHEDULING_STATES
from carawayhitch.controllers._controller import Actions
from carawayhitch.core import actions, events, rows

SUSPICION_TIMER = "membership_suspicion"
# Of two reports with equal incarnation, the one with the higher rank wins. Leaving
# outranks suspect, because a leaving node must not schedule again.
STATE_RANKS: dict[rows.MemberState, int] = {
    "joining": 0,
    "alive": 1,
    "suspect": 2,
    "leaving": 3,
    "dead": 4,
    "left": 5,
}
PRESENT_STATES = frozenset({"joining", "alive", "suspect", "leaving"})
# States that are sent without addresses, because the receiver already knows the member.
BRIEF_STATES = frozenset({"suspect", "dead", "left"})
# Each change is sent this number of times the decimal logarithm of the fleet size, that
# is 12 times at 390 nodes, so a node misses it with a probability of about e**-12.
RETRANSMIT_FACTOR = 4
# A full row takes about 100 bytes of a datagram and a brief row about 40. These sizes,
# in units of a brief row, keep a probe with four crash records below 1,400 bytes.
FULL_ROW_UNITS = 3
BRIEF_ROW_UNITS = 1
UPDATE_UNITS_IN_MESSAGE = 16
CRASHES_IN_MESSAGE = 4
# Rows of dead members outlast a network partition of an hour, so that both sides can
# reconnect.
DEAD_ROW_SECONDS = 7200.0
# Longer than old reports circulate, which would otherwise add the member again.
LEFT_ROW_SECONDS = 600.0
# Incarnations start at microseconds of Unix time (below 2**51 until 2041). The bound
# leaves room for a higher incarnation that refutes any accepted report.
MAXIMUM_INCARNATION = 2**62


def is_present(row: rows.MemberRow) -> bool:
    """Return whether a member is considered to be running."""
    return row.state in PRESENT_STATES


def supersedes(row: rows.MemberRow, known: rows.MemberRow) -> bool:
    """Return whether a report takes precedence over the known row of the member."""
    return (row.incarnation, STATE_RANKS[row.state]) > (
        known.incarnation,
        STATE_RANKS[known.state],
    )


def _scheduling_weight(row: rows.MemberRow | None) -> tuple[str, int] | None:
    """Return region and strength of a member that can schedule, or None."""
    if row is None or row.state not in SCHEDULING_STATES:
        return None
    return row.region, row.strength


def present_peers(board: Board) -> list[rows.MemberRow]:
    """Return all other members that are considered to be running."""
    return [
        row
        for row in board.members_by_id.values()
        if is_present(row) and row.node_id != board.node_id
    ]


def sample_members(
    random: Random, items: list[rows.MemberRow], size: int
) -> list[rows.MemberRow]:
    """Return a random sample of members; all of them if there are fewer."""
    return random.sample(items, min(size, len(items)))


def put_member(board: Board, row: rows.MemberRow, now: float) -> Actions:
    """Store a changed row, queue it for dissemination and set its deadline."""
    known = board.members_by_id.get(row.node_id)
    timeout = board.settings.peers.suspicion_timeout_seconds
    deadlines = {
        "suspect": now + timeout,
        "dead": now + DEAD_ROW_SECONDS,
        "left": now + LEFT_ROW_SECONDS,
    }
    row = row._replace(state_deadline=deadlines.get(row.state, 0.0))
    board.members_by_id[row.node_id] = row
    added = known is None or (is_present(row) and not is_present(known))
    board.member_updates_by_id[row.node_id] = rows.MemberUpdateRow(
        row.node_id, added, 0
    )
    decided: list[actions.Action] = []
    if row.state == "suspect":
        decided.append(suspicion_timer(row))
    if known is None or known.state != row.state:
        level = "debug" if row.state in ("joining", "alive") else "info"
        fields = {"member": row.node_id, "state": row.state, "zone": row.zone}
        decided.append(actions.Log(level, "member state", fields))
    if _scheduling_weight(known) != _scheduling_weight(row):
        decided.append(actions.Emit(events.MembershipChanged()))
    return decided


def suspicion_timer(row: rows.MemberRow) -> actions.SetTimer:
    """Return the timer for the end of the time in which a member can refute."""
    timer = events.TimerFired(SUSPICION_TIMER, row.node_id)
    return actions.SetTimer(row.state_deadline, timer)


def remove_expired_members(board: Board, now: float) -> None:
    """Remove the rows of dead and left members whose retention has expired."""
    for row in list(board.members_by_id.values()):
        if (
            not is_present(row)
            and now >= row.state_deadline
            and row.node_id != board.node_id
        ):
            del board.members_by_id[row.node_id]
            board.member_updates_by_id.pop(row.node_id, None)


def insert_into_probe_round(board: Board, node_id: str, random: Random) -> None:
    """Insert a member at a random position, so that not all nodes probe it at once."""
    probe_round = board.probe_round_by_node_id.get(board.node_id)
    if probe_round is None:
        return
    position = random.randint(0, len(probe_round.remaining_ids))
    remaining = (
        *probe_round.remaining_ids[:position],
        node_id,
        *probe_round.remaining_ids[position:],
    )
    board.probe_round_by_node_id[board.node_id] = probe_round._replace(
        remaining_ids=remaining, added_count=probe_round.added_count + 1
    )


def disseminated_row(row: rows.MemberRow) -> rows.MemberRow:
    """Return the row to send: brief if the state needs no address."""
    if row.state not in BRIEF_STATES:
        return row
    return rows.MemberRow(
        row.node_id, row.incarnation, row.state, "", 0, 0, zone="", region=""
    )


def is_brief(row: rows.MemberRow) -> bool:
    """Return whether a received row only has identity, incarnation and state."""
    return not row.address


def row_size_units(row: rows.MemberRow) -> int:
    """Return the size of a sent row in units of a brief row."""
    return BRIEF_ROW_UNITS if row.state in BRIEF_STATES else FULL_ROW_UNITS


def select_piggybacked_rows(
    board: Board, receiver_id: str, random: Random
) -> tuple[rows.MemberRow, ...]:
    """Return the rows for a message: the local one first, then changes and others."""
    members = board.members_by_id
    picked = {board.node_id: members[board.node_id]}
    receiver = members.get(receiver_id)
    if receiver is not None and receiver.state not in ("joining", "alive"):
        # The receiver has to get this report to be able to refute it.
        picked[receiver_id] = disseminated_row(receiver)
    limit = RETRANSMIT_FACTOR * math.ceil(math.log10(len(members) + 1))
    updates = board.member_updates_by_id
    units = 0
    # Suspicions and refutations have a deadline. Rows of new members have none, and
    # hundreds of them would delay the other updates when a zone starts.
    for update in nsmallest(
        UPDATE_UNITS_IN_MESSAGE,
        updates.values(),
        key=lambda update: (update.added, update.sent_count),
    ):
        row = members[update.node_id]
        units += row_size_units(row)
        if units > UPDATE_UNITS_IN_MESSAGE:
            break
        picked[update.node_id] = disseminated_row(row)
        if update.sent_count + 1 >= limit:
            del updates[update.node_id]
        else:
            updates[update.node_id] = update._replace(sent_count=update.sent_count + 1)
    others = [row for row in members.values() if row.node_id != board.node_id]
    for row in sample_members(random, others, 1):
        picked.setdefault(row.node_id, disseminated_row(row))
    return tuple(picked.values())


def select_crash_records(board: Board, random: Random) -> tuple[rows.CrashRow, ...]:
    """Return the crash records that matter most and a random sample of the others.

    Convictions go first: an entry that has just started can repeat a convicted request
    until it learns of it. Newer records precede older ones.
    """
    crashes = board.crashes_by_fingerprint.values()
    if len(crashes) <= CRASHES_IN_MESSAGE:
        return tuple(crashes)
    first = nsmallest(
        CRASHES_IN_MESSAGE // 2,
        crashes,
        key=lambda row: (not row.convicted, -row.deadline),
    )
    others = [row for row in crashes if row not in first]
    return (*first, *random.sample(others, CRASHES_IN_MESSAGE - len(first)))


def merge_members(
    board: Board,
    sender_id: str,
    members: Iterable[rows.MemberRow],
    now: float,
    random: Random,
) -> Actions:
    """Merge newer reports and refute wrong ones about this node."""
    decided: list[actions.Action] = []
    if board.node_id not in board.members_by_id:
        # The socket is opened before the process start event is handled.
        return ()
    for row in members:
        if row.incarnation >= MAXIMUM_INCARNATION or not row.node_id:
            continue
        if row.node_id == board.node_id:
            decided.extend(_refute_report(board, row, now))
            continue
        decided.extend(_merge_row(board, row, row.node_id == sender_id, now, random))
    return decided


def _merge_row(
    board: Board, row: rows.MemberRow, from_subject: bool, now: float, random: Random
) -> Actions:
    known = board.members_by_id.get(row.node_id)
    if known is None:
        if is_brief(row) or not is_present(row):
            return ()
        insert_into_probe_round(board, row.node_id, random)
        return put_member(board, row, now)
    if is_brief(row):
        if is_present(row) and row.incarnation != known.incarnation:
            # The report is about a process whose address is not known yet.
            return ()
        row = known._replace(incarnation=row.incarnation, state=row.state)
    if supersedes(row, known):
        if not is_present(known) and is_present(row):
            insert_into_probe_round(board, row.node_id, random)
        return put_member(board, row, now)
    same_process = row.incarnation == known.incarnation
    decided: list[actions.Action] = []
    if same_process and from_subject and row.strength != known.strength:
        # The known row came through an entry of a release that does not relay it.
        known = known._replace(strength=row.strength)
        board.members_by_id[row.node_id] = known
        if known.state in SCHEDULING_STATES:
            decided.append(actions.Emit(events.MembershipChanged()))
    if same_process and (
        row.revision > known.revision
        or (from_subject and row.revision == known.revision)
    ):
        board.members_by_id[row.node_id] = known._replace(
            revision=row.revision, configuration_digest=row.configuration_digest
        )
        if row.configuration_digest != known.configuration_digest:
            seen = events.PeerRevisionSeen(
                row.node_id, row.revision, row.configuration_digest
            )
            decided.append(actions.Emit(seen))
    return decided


def _refute_report(board: Board, row: rows.MemberRow, now: float) -> Actions:
    """Refute a wrong report about this node with a higher incarnation."""
    own = board.members_by_id[board.node_id]
    if not supersedes(row, own):
        return ()
    has_other_endpoint = (row.address, row.peer_port) != (own.address, own.peer_port)
    if has_other_endpoint and is_present(row) and not is_brief(row):
        # Another process uses this node id. The one that started later keeps the id;
        # if both refuted each other, their incarnations would grow forever.
        fields = {"address": row.address, "peer_port": row.peer_port}
        return (actions.Log("error", "node id is used by another process", fields),)
    return put_member(board, own._replace(incarnation=row.incarnation + 1), now)
