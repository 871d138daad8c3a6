"""Membership of entries: SWIM failure detection and dissemination of changes."""

from __future__ import annotations

from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers import duties
from carawayhitch.controllers._configuration import format_object_set_digest
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.controllers._crash_records import merge_crashes
from carawayhitch.controllers._drain_waits import DRAINING_STATES
from carawayhitch.controllers._member_table import (
    FULL_ROW_UNITS,
    SUSPICION_TIMER,
    disseminated_row,
    is_present,
    merge_members,
    present_peers,
    put_member,
    remove_expired_members,
    row_size_units,
    sample_members,
    select_crash_records,
    select_piggybacked_rows,
    suspicion_timer,
)
from carawayhitch.core import actions, events, messages, rows
from carawayhitch.core import settings as settings_types

PROBE_TIMER = "membership_probe"
ACK_TIMER = "membership_ack"

# Rows of a table answer, in units of a brief row.
TABLE_UNITS_IN_MESSAGE = 30
# A random row in each message and a periodic full table repair differences that lost
# messages left; the tables cost 130 bytes/s per node at 390 nodes. When a zone starts
# or recovers, a node requests the table every few seconds as long as it discovers
# members, because piggybacked rows alone would take minutes.
TABLE_REQUEST_PERIOD_TICKS = 300
TABLE_REQUEST_MINIMUM_TICKS = 5
TABLE_REQUEST_ADDED_COUNT = 5
SEED_PROBE_FANOUT = 3
# Members to which a node sends a change of its state directly; probes disseminate it
# to the others.
STATE_CHANGE_FANOUT = 8
# Ticks between probes of a lost member or seed. Partitioned regions find each other
# through these, because a region with members of its own does not contact seeds.
RECONNECT_PERIOD_TICKS = 10
SEQUENCE_MODULUS = 2**32

decide = new_controller()


def _local_state(board: Board, current: rows.MemberState) -> rows.MemberState:
    lifecycle = board.lifecycle.state
    if lifecycle == "stopped":
        return "left"
    if lifecycle in DRAINING_STATES:
        return "leaving"
    # A node without cells does not schedule yet; it would refuse every request for
    # admission.
    if lifecycle == "ready" and board.cells_by_id:
        return "alive"
    return current


def _refresh_local_row(board: Board, now: float) -> Actions:
    """Update the local row from lifecycle, cells and configuration."""
    own = board.members_by_id.get(board.node_id)
    if own is None:
        return ()
    configuration = board.configuration
    own = own._replace(
        revision=configuration.revision if configuration else 0,
        configuration_digest=format_object_set_digest(board.object_set),
    )
    # Revision and digest are sent in the local row of every message and are not
    # disseminated further. At 4,100 configuration changes a day, the updates of 390
    # rows for each change would exceed the traffic limit.
    board.members_by_id[board.node_id] = own
    state = _local_state(board, own.state)
    if state == own.state:
        return ()
    return put_member(board, own._replace(state=state), now)


@decide.register(events.ProcessStarted)
def _join(
    event: events.ProcessStarted, board: Board, now: float, random: Random
) -> Actions:
    node = board.settings.node
    own = rows.MemberRow(
        node_id=node.id,
        incarnation=event.incarnation,
        state="joining",
        address=node.address,
        peer_port=node.peer_port,
        http_port=node.http_port,
        zone=node.zone,
        region=node.region,
        strength=duties.strength_of(node),
    )
    board.probe_round_by_node_id[node.id] = rows.ProbeRoundRow(
        node.id, (), random.randrange(1, SEQUENCE_MODULUS // 2), 0, now
    )
    return (
        *put_member(board, own, now),
        actions.SetTimer(now, events.TimerFired(PROBE_TIMER)),
    )


@decide.register(events.ConfigurationChanged)
@decide.register(events.ObjectsListed)
@decide.register(events.ObjectsChanged)
@decide.register(events.UpstreamsChanged)
@decide.register(events.LifecycleChanged)
def _announce_state_change(
    event: object, board: Board, now: float, random: Random
) -> Actions:
    own = board.members_by_id.get(board.node_id)
    decided = list(_refresh_local_row(board, now))
    changed = board.members_by_id.get(board.node_id)
    if own is None or changed is None or changed.state == own.state:
        return decided
    return (*decided, *_send_own_row(board, random))


def _send_own_row(board: Board, random: Random) -> Actions:
    recipients = sample_members(random, present_peers(board), STATE_CHANGE_FANOUT)
    return [
        actions.Send(row.node_id, _probe_message(board, row.node_id, random))
        for row in recipients
    ]


@decide.register(events.StrengthChanged)
def _announce_strength(
    event: events.StrengthChanged, board: Board, now: float, random: Random
) -> Actions:
    own = board.members_by_id.get(board.node_id)
    if own is None or own.strength == event.strength:
        return ()
    # A higher incarnation makes this row take precedence wherever it arrives.
    own = own._replace(incarnation=own.incarnation + 1, strength=event.strength)
    return (*put_member(board, own, now), *_send_own_row(board, random))


@decide.register(events.PeerKeysRead)
@decide.register(events.VmListReceived)
def _probe_listed_entries_at_start(
    event: events.PeerKeysRead | events.VmListReceived,
    board: Board,
    now: float,
    random: Random,
) -> Actions:
    """Probe entries of the first list at once, since this node may serve before a tick.

    The list and the keys that sign probes arrive in either order. The answers bring
    the crash records: without them, a request that other entries refuse can crash
    upstreams through this one.
    """
    if board.node_id not in board.members_by_id or present_peers(board):
        return ()
    return _probe_seeds(board, random)


@decide.register(events.TimerFired)
def _handle_timer(
    event: events.TimerFired, board: Board, now: float, random: Random
) -> Actions:
    if event.name == PROBE_TIMER:
        return _run_probe_tick(board, now, random)
    if event.name == ACK_TIMER:
        return _probe_indirectly(board, int(event.subject), now, random)
    if event.name == SUSPICION_TIMER:
        return _expire_suspicion(board, event.subject, now)
    return ()


def _run_probe_tick(board: Board, now: float, random: Random) -> Actions:
    interval = board.settings.peers.probe_interval_seconds
    probe_round = board.probe_round_by_node_id[board.node_id]
    delay = interval * random.uniform(0.95, 1.05)
    updated_round = probe_round._replace(
        tick_count=probe_round.tick_count + 1, tick_deadline=now + delay
    )
    board.probe_round_by_node_id[board.node_id] = updated_round
    decided: list[actions.Action] = [
        actions.SetTimer(updated_round.tick_deadline, events.TimerFired(PROBE_TIMER))
    ]
    # After a pause of this process, answers that arrived meanwhile are still unread.
    paused = now - probe_round.tick_deadline > interval
    decided.extend(_suspect_unresponsive(board, now, paused))
    remove_expired_members(board, now)
    subject = _next_probe_subject(board, random)
    if subject is None:
        decided.extend(_probe_seeds(board, random))
        return decided
    decided.extend(_start_probe(board, subject, now, random))
    if updated_round.tick_count % RECONNECT_PERIOD_TICKS == 0:
        decided.extend(_probe_lost_member(board, random))
    return decided


def _suspect_unresponsive(board: Board, now: float, paused: bool) -> Actions:
    decided: list[actions.Action] = []
    for probe in list(board.probes_by_sequence.values()):
        if now < probe.deadline:
            continue
        del board.probes_by_sequence[probe.sequence]
        row = board.members_by_id.get(probe.subject_id)
        if probe.requester_id or paused or row is None:
            continue
        if row.state in ("joining", "alive"):
            decided.extend(put_member(board, row._replace(state="suspect"), now))
        elif row.state == "leaving" and row.state_deadline == 0.0:
            # The state stays leaving, because a suspect member may still schedule.
            timeout = board.settings.peers.suspicion_timeout_seconds
            row = row._replace(state_deadline=now + timeout)
            board.members_by_id[row.node_id] = row
            decided.append(suspicion_timer(row))
    return decided


def _next_probe_subject(board: Board, random: Random) -> rows.MemberRow | None:
    """Return the next member of a shuffled probe round.

    Every member is probed once per round, so a failure is detected within one round; an
    independent random choice has no such bound.
    """
    probe_round = board.probe_round_by_node_id[board.node_id]
    remaining = probe_round.remaining_ids
    for fill in (False, True):
        if fill:
            ids = [row.node_id for row in present_peers(board)]
            random.shuffle(ids)
            remaining = tuple(ids)
        while remaining:
            row = board.members_by_id.get(remaining[0])
            remaining = remaining[1:]
            if row is not None and is_present(row):
                board.probe_round_by_node_id[board.node_id] = probe_round._replace(
                    remaining_ids=remaining
                )
                return row
    return None


def _allocate_sequence(board: Board) -> int:
    probe_round = board.probe_round_by_node_id[board.node_id]
    board.probe_round_by_node_id[board.node_id] = probe_round._replace(
        next_sequence=(probe_round.next_sequence + 1) % SEQUENCE_MODULUS
    )
    return probe_round.next_sequence


def _start_probe(
    board: Board,
    subject: rows.MemberRow,
    now: float,
    random: Random,
    requester_id: str = "",
    requester_sequence: int = 0,
) -> Actions:
    message = _probe_message(board, subject.node_id, random)
    if not requester_id and _should_request_table(board):
        # A probe without rows of other members requests the full table.
        message = message._replace(members=message.members[:1])
    sent = actions.Send(subject.node_id, message)
    deadline = now + board.settings.peers.probe_timeout_seconds
    sequence = message.sequence
    board.probes_by_sequence[sequence] = rows.ProbeRow(
        sequence, subject.node_id, deadline, requester_id, requester_sequence
    )
    if requester_id:
        return (sent,)
    timer = events.TimerFired(ACK_TIMER, str(sequence))
    return (sent, actions.SetTimer(deadline, timer))


def _should_request_table(board: Board) -> bool:
    """Return whether to request a full table now, and record the request if so."""
    probe_round = board.probe_round_by_node_id[board.node_id]
    elapsed = probe_round.tick_count - probe_round.table_request_tick
    growing = (
        probe_round.added_count >= TABLE_REQUEST_ADDED_COUNT
        and elapsed >= TABLE_REQUEST_MINIMUM_TICKS
    )
    if not growing and elapsed < TABLE_REQUEST_PERIOD_TICKS:
        return False
    board.probe_round_by_node_id[board.node_id] = probe_round._replace(
        table_request_tick=probe_round.tick_count, added_count=0
    )
    return True


def _probe_message(board: Board, subject_id: str, random: Random) -> messages.Probe:
    return messages.Probe(
        board.node_id,
        _allocate_sequence(board),
        select_piggybacked_rows(board, subject_id, random),
        select_crash_records(board, random),
    )


def _known_seeds(board: Board) -> list[settings_types.SeedPeer]:
    """Return the configured seeds and the entries in the platform's list."""
    return [*board.settings.peers.seeds, *board.listed_entries_by_vm_id.values()]


def _probe_seeds(board: Board, random: Random) -> Actions:
    node = board.settings.node
    seeds = [
        seed
        for seed in _known_seeds(board)
        if (seed.address, seed.peer_port) != (node.address, node.peer_port)
    ]
    return [
        actions.SendToAddress(
            seed.address, seed.peer_port, _probe_message(board, "", random)
        )
        for seed in random.sample(seeds, min(SEED_PROBE_FANOUT, len(seeds)))
    ]


def _probe_lost_member(board: Board, random: Random) -> Actions:
    """Probe a random dead member or seed that is not among the present members."""
    present = {(row.address, row.peer_port) for row in present_peers(board)}
    node = board.settings.node
    present.add((node.address, node.peer_port))
    node_ids_by_endpoint = {
        (seed.address, seed.peer_port): "" for seed in _known_seeds(board)
    }
    for row in board.members_by_id.values():
        if row.state == "dead":
            node_ids_by_endpoint[row.address, row.peer_port] = row.node_id
    candidates = [
        endpoint for endpoint in node_ids_by_endpoint if endpoint not in present
    ]
    if not candidates:
        return ()
    address, port = random.choice(candidates)
    message = _probe_message(board, node_ids_by_endpoint[address, port], random)
    return (actions.SendToAddress(address, port, message),)


def _probe_indirectly(
    board: Board, sequence: int, now: float, random: Random
) -> Actions:
    probe = board.probes_by_sequence.get(sequence)
    peers = board.settings.peers
    if probe is None:
        return ()
    if now - probe.deadline > peers.probe_interval_seconds:
        # The process was paused, so the answer may have arrived but is still unread.
        del board.probes_by_sequence[sequence]
        return ()
    relays = [
        row
        for row in present_peers(board)
        if row.node_id != probe.subject_id and row.state in ("joining", "alive")
    ]
    return [
        actions.Send(
            relay.node_id,
            messages.IndirectProbe(
                board.node_id,
                sequence,
                probe.subject_id,
                select_piggybacked_rows(board, relay.node_id, random),
            ),
        )
        for relay in sample_members(random, relays, peers.indirect_probe_count)
    ]


def _expire_suspicion(board: Board, node_id: str, now: float) -> Actions:
    row = board.members_by_id.get(node_id)
    if row is None or not row.state_deadline or now < row.state_deadline:
        return ()
    if row.state not in ("suspect", "leaving"):
        return ()
    peers = board.settings.peers
    if now - row.state_deadline > peers.probe_interval_seconds:
        # After a pause of this process, the suspicion timeout starts again.
        row = row._replace(state_deadline=now + peers.suspicion_timeout_seconds)
        board.members_by_id[node_id] = row
        return (suspicion_timer(row),)
    return put_member(board, row._replace(state="dead"), now)


@decide.register(messages.Probe)
def _answer_probe(
    event: messages.Probe, board: Board, now: float, random: Random
) -> Actions:
    decided = list(merge_members(board, event.sender_id, event.members, now, random))
    merge_crashes(board, event.crashes, now)
    if not {board.node_id, event.sender_id} <= board.members_by_id.keys():
        return decided
    answer = messages.ProbeAck(
        board.node_id,
        event.sequence,
        board.node_id,
        select_piggybacked_rows(board, event.sender_id, random),
        select_crash_records(board, random),
    )
    answers = [answer]
    if len(event.members) == 1:
        answers.extend(_table_answers(board, event))
    decided.extend(_address_reply(board, event, answer) for answer in answers)
    return decided


def _address_reply(
    board: Board, event: messages.Probe, answer: messages.ProbeAck
) -> actions.Send | actions.SendToAddress:
    """Address an answer to the endpoint that the sender states in its own row.

    The table holds another endpoint if the process was replaced by one whose clock is
    behind. The new process learns from the answer which incarnation it has to exceed.
    """
    known = board.members_by_id[event.sender_id]
    named = [row for row in event.members if row.node_id == event.sender_id]
    for row in named[:1]:
        if (row.address, row.peer_port) != (known.address, known.peer_port):
            return actions.SendToAddress(row.address, row.peer_port, answer)
    return actions.Send(event.sender_id, answer)


def _table_answers(board: Board, event: messages.Probe) -> list[messages.ProbeAck]:
    """Return answers with all members for a sender that requests the full table."""
    own = board.members_by_id[board.node_id]
    parts: list[list[rows.MemberRow]] = []
    units = TABLE_UNITS_IN_MESSAGE
    for row in board.members_by_id.values():
        if row.node_id in (board.node_id, event.sender_id):
            continue
        units += row_size_units(row)
        if units > TABLE_UNITS_IN_MESSAGE:
            parts.append([own])
            units = FULL_ROW_UNITS + row_size_units(row)
        parts[-1].append(disseminated_row(row))
    return [
        messages.ProbeAck(board.node_id, event.sequence, board.node_id, tuple(part), ())
        for part in parts
    ]


@decide.register(messages.ProbeAck)
def _handle_ack(
    event: messages.ProbeAck, board: Board, now: float, random: Random
) -> Actions:
    decided = list(merge_members(board, event.sender_id, event.members, now, random))
    merge_crashes(board, event.crashes, now)
    probe = board.probes_by_sequence.get(event.sequence)
    if probe is None or probe.subject_id != event.subject_id:
        return decided
    del board.probes_by_sequence[event.sequence]
    row = board.members_by_id.get(probe.subject_id)
    if row is not None and row.state == "leaving":
        board.members_by_id[row.node_id] = row._replace(state_deadline=0.0)
    if probe.requester_id:
        answer = messages.ProbeAck(
            board.node_id,
            probe.requester_sequence,
            probe.subject_id,
            select_piggybacked_rows(board, probe.requester_id, random),
            (),
        )
        decided.append(actions.Send(probe.requester_id, answer))
    return decided


@decide.register(messages.IndirectProbe)
def _probe_for_requester(
    event: messages.IndirectProbe, board: Board, now: float, random: Random
) -> Actions:
    decided = list(merge_members(board, event.sender_id, event.members, now, random))
    subject = board.members_by_id.get(event.subject_id)
    own = board.members_by_id.get(board.node_id)
    if own is not None and subject is not None and subject != own:
        decided.extend(
            _start_probe(board, subject, now, random, event.sender_id, event.sequence)
        )
    return decided
