"""Membership of entries: SWIM failure detection and dissemination of changes."""

from __future__ import annotations

from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers._configuration import format_object_set_digest
from carawayhitch.controllers._controller import Actions, new_controller
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
    sample,
    select_crash_records,
    select_piggybacked_rows,
    suspicion_timer,
)
from carawayhitch.controllers._suspects import merge_crashes
from carawayhitch.core import actions, events, messages, rows
from carawayhitch.core import settings as settings_types

PROBE_TIMER = "membership_probe"
ACK_TIMER = "membership_ack"


TABLE_UNITS_IN_MESSAGE = 30
# A random row in each message and a whole table now and then repair what lost messages
# left different; the tables cost 130 bytes/s at 390 nodes. When a zone starts or comes
# back, a node asks again every few seconds while it still learns of members, because
# piggybacked rows alone would take minutes.
TABLE_PERIOD_TICKS = 300
TABLE_MINIMUM_TICKS = 5
TABLE_ADDED_COUNT = 5
SEEDS_AT_ONCE = 3
# A leaving node tells this many others directly; probes spread the news further.
ANNOUNCE_COUNT = 8
# Probes between attempts to reach a lost member or seed. Parted regions find each
# other through these, since neither side needs a seed to have members.
RECONNECT_TICKS = 10
MAXIMUM_SEQUENCE = 2**32

decide = new_controller()


def _own_state(board: Board, current: rows.MemberState) -> rows.MemberState:
    lifecycle = board.lifecycle.state
    if lifecycle == "stopped":
        return "left"
    if lifecycle in ("draining", "refusing"):
        return "leaving"
    # A node without cells would refuse every ask, so it does not schedule yet.
    if lifecycle == "ready" and board.cells_by_id:
        return "alive"
    return current


def _refresh_own_row(board: Board, now: float) -> Actions:
    """Bring the own row up to date with lifecycle, cells and configuration."""
    own = board.members_by_id.get(board.node_id)
    if own is None:
        return ()
    configuration = board.configuration
    own = own._replace(
        revision=configuration.revision if configuration else 0,
        configuration_digest=format_object_set_digest(board.object_set),
    )
    # Revision and digest travel in the own row of every message and are not
    # disseminated further: at 4,100 configuration changes a day, the updates of 390
    # rows at each change would exceed the traffic bound.
    board.members_by_id[board.node_id] = own
    state = _own_state(board, own.state)
    if state == own.state:
        return ()
    return put_member(board, own._replace(state=state), now)


@decide.register(events.ProcessStarted)
def _start(
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
    )
    board.probe_round_by_node_id[node.id] = rows.ProbeRoundRow(
        node.id, (), random.randrange(1, MAXIMUM_SEQUENCE // 2), 0, now
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
def _announce_own_changes(
    event: object, board: Board, now: float, random: Random
) -> Actions:
    own = board.members_by_id.get(board.node_id)
    decided = list(_refresh_own_row(board, now))
    changed = board.members_by_id.get(board.node_id)
    if own is None or changed is None or changed.state == own.state:
        return decided
    told = sample(random, present_peers(board), ANNOUNCE_COUNT)
    for row in told:
        message = _probe_message(board, row.node_id, random)
        decided.append(actions.Send(row.node_id, message))
    return decided


@decide.register(events.TimerFired)
def _act_on_timer(
    event: events.TimerFired, board: Board, now: float, random: Random
) -> Actions:
    if event.name == PROBE_TIMER:
        return _probe_next(board, now, random)
    if event.name == ACK_TIMER:
        return _probe_indirectly(board, int(event.subject), now, random)
    if event.name == SUSPICION_TIMER:
        return _end_suspicion(board, event.subject, now)
    return ()


def _probe_next(board: Board, now: float, random: Random) -> Actions:
    interval = board.settings.peers.probe_interval_seconds
    tick = board.probe_round_by_node_id[board.node_id]
    delay = interval * random.uniform(0.95, 1.05)
    next_tick = tick._replace(tick_count=tick.tick_count + 1, tick_deadline=now + delay)
    board.probe_round_by_node_id[board.node_id] = next_tick
    decided: list[actions.Action] = [
        actions.SetTimer(next_tick.tick_deadline, events.TimerFired(PROBE_TIMER))
    ]
    # A process that was paused has not read the answers that arrived meanwhile.
    paused = now - tick.tick_deadline > interval
    decided.extend(_suspect_silent(board, now, paused))
    remove_expired_members(board, now)
    subject = _next_subject(board, random)
    if subject is None:
        decided.extend(_contact_seeds(board, random))
        return decided
    decided.extend(_start_probe(board, subject, now, random))
    if next_tick.tick_count % RECONNECT_TICKS == 0:
        decided.extend(_contact_lost(board, random))
    return decided


def _suspect_silent(board: Board, now: float, paused: bool) -> Actions:
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
            # It stays leaving, because a suspected node could schedule.
            timeout = board.settings.peers.suspicion_timeout_seconds
            row = row._replace(state_deadline=now + timeout)
            board.members_by_id[row.node_id] = row
            decided.append(suspicion_timer(row))
    return decided


def _next_subject(board: Board, random: Random) -> rows.MemberRow | None:
    """Return the next member of a shuffled round.

    Every member is probed once a round, so a failure is found within one round even
    if random choice would miss it for longer.
    """
    tick = board.probe_round_by_node_id[board.node_id]
    remaining = tick.remaining_ids
    for fill in (False, True):
        if fill:
            ids = [row.node_id for row in present_peers(board)]
            random.shuffle(ids)
            remaining = tuple(ids)
        while remaining:
            row = board.members_by_id.get(remaining[0])
            remaining = remaining[1:]
            if row is not None and is_present(row):
                board.probe_round_by_node_id[board.node_id] = tick._replace(
                    remaining_ids=remaining
                )
                return row
    return None


def _take_sequence(board: Board) -> int:
    tick = board.probe_round_by_node_id[board.node_id]
    board.probe_round_by_node_id[board.node_id] = tick._replace(
        next_sequence=(tick.next_sequence + 1) % MAXIMUM_SEQUENCE
    )
    return tick.next_sequence


def _start_probe(
    board: Board,
    subject: rows.MemberRow,
    now: float,
    random: Random,
    requester_id: str = "",
    requester_sequence: int = 0,
) -> Actions:
    message = _probe_message(board, subject.node_id, random)
    if not requester_id and _takes_table(board):
        # A probe that names no other member is answered with the whole table.
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


def _takes_table(board: Board) -> bool:
    """Return whether to ask for a whole table now, and note that it is asked for."""
    tick = board.probe_round_by_node_id[board.node_id]
    elapsed = tick.tick_count - tick.table_tick
    growing = tick.added_count >= TABLE_ADDED_COUNT and elapsed >= TABLE_MINIMUM_TICKS
    if not growing and elapsed < TABLE_PERIOD_TICKS:
        return False
    board.probe_round_by_node_id[board.node_id] = tick._replace(
        table_tick=tick.tick_count, added_count=0
    )
    return True


def _probe_message(board: Board, subject_id: str, random: Random) -> messages.Probe:
    return messages.Probe(
        board.node_id,
        _take_sequence(board),
        select_piggybacked_rows(board, subject_id, random),
        select_crash_records(board, random),
    )


def _seeds(board: Board) -> list[settings_types.SeedPeer]:
    """Return the seeds of the settings and the entries of the platform's list."""
    return [*board.settings.peers.seeds, *board.listed_entries_by_vm_id.values()]


def _contact_seeds(board: Board, random: Random) -> Actions:
    node = board.settings.node
    seeds = [
        seed
        for seed in _seeds(board)
        if (seed.address, seed.peer_port) != (node.address, node.peer_port)
    ]
    return [
        actions.SendToAddress(
            seed.address, seed.peer_port, _probe_message(board, "", random)
        )
        for seed in random.sample(seeds, min(SEEDS_AT_ONCE, len(seeds)))
    ]


def _contact_lost(board: Board, random: Random) -> Actions:
    """Probe one dead member or one seed that is not a present member."""
    present = {(row.address, row.peer_port) for row in present_peers(board)}
    node = board.settings.node
    present.add((node.address, node.peer_port))
    lost = {(seed.address, seed.peer_port): "" for seed in _seeds(board)}
    for row in board.members_by_id.values():
        if row.state == "dead":
            lost[row.address, row.peer_port] = row.node_id
    candidates = [place for place in lost if place not in present]
    if not candidates:
        return ()
    address, port = random.choice(candidates)
    message = _probe_message(board, lost[address, port], random)
    return (actions.SendToAddress(address, port, message),)


def _probe_indirectly(
    board: Board, sequence: int, now: float, random: Random
) -> Actions:
    probe = board.probes_by_sequence.get(sequence)
    peers = board.settings.peers
    if probe is None:
        return ()
    if now - probe.deadline > peers.probe_interval_seconds:
        # The process was paused; the answer may have arrived without being read.
        del board.probes_by_sequence[sequence]
        return ()
    helpers = [
        row
        for row in present_peers(board)
        if row.node_id != probe.subject_id and row.state in ("joining", "alive")
    ]
    return [
        actions.Send(
            helper.node_id,
            messages.IndirectProbe(
                board.node_id,
                sequence,
                probe.subject_id,
                select_piggybacked_rows(board, helper.node_id, random),
            ),
        )
        for helper in sample(random, helpers, peers.indirect_probe_count)
    ]


def _end_suspicion(board: Board, node_id: str, now: float) -> Actions:
    row = board.members_by_id.get(node_id)
    if row is None or not row.state_deadline or now < row.state_deadline:
        return ()
    if row.state not in ("suspect", "leaving"):
        return ()
    peers = board.settings.peers
    if now - row.state_deadline > peers.probe_interval_seconds:
        # After a pause of this process the member gets the whole time again.
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
        answers.extend(_whole_table(board, event))
    decided.extend(_reply(board, event, answer) for answer in answers)
    return decided


def _reply(
    board: Board, event: messages.Probe, answer: messages.ProbeAck
) -> actions.Send | actions.SendToAddress:
    """Return the answer to the place that the sender names for itself.

    The table has another place for a replaced process whose clock is behind. Such a
    process learns from the answer which incarnation it must exceed.
    """
    known = board.members_by_id[event.sender_id]
    named = [row for row in event.members if row.node_id == event.sender_id]
    for row in named[:1]:
        if (row.address, row.peer_port) != (known.address, known.peer_port):
            return actions.SendToAddress(row.address, row.peer_port, answer)
    return actions.Send(event.sender_id, answer)


def _whole_table(board: Board, event: messages.Probe) -> list[messages.ProbeAck]:
    """Return answers with all members for a sender that names no other."""
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
def _take_answer(
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
def _probe_for_another(
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
