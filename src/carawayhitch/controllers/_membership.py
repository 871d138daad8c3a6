"""Membership of entries: SWIM failure detection and dissemination of changes."""

from __future__ import annotations

import math
from collections.abc import Iterable
from heapq import nsmallest
from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers._cells import SCHEDULING_STATES
from carawayhitch.controllers._configuration import digest_text
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.controllers._suspects import merge_crashes
from carawayhitch.core import actions, events, messages, rows

PROBE_TIMER = "membership_probe"
ACK_TIMER = "membership_ack"
SUSPICION_TIMER = "membership_suspicion"

# A report about a process replaces one of the same incarnation with a lower rank.
# Leaving outranks suspect, because a leaving node must not schedule again.
STATE_RANKS: dict[rows.MemberState, int] = {
    "joining": 0,
    "alive": 1,
    "suspect": 2,
    "leaving": 3,
    "dead": 4,
    "left": 5,
}
PRESENT_STATES = frozenset({"joining", "alive", "suspect", "leaving"})

# States that are reported without addresses: the receiver knows the member already.
BRIEF_STATES = frozenset({"suspect", "dead", "left"})

# Each change is sent this many times the decimal logarithm of the fleet size (12 times
# at 390 nodes), so a node misses it with a probability of about e**-12.
RETRANSMIT_FACTOR = 4
# A full row takes about 100 bytes of a datagram and a brief one about 40; these sizes
# in units of a brief row keep a probe with four crash records below 1,400 bytes.
FULL_ROW_UNITS = 3
BRIEF_ROW_UNITS = 1
UPDATE_UNITS_IN_MESSAGE = 16
TABLE_UNITS_IN_MESSAGE = 30
# A random row in each message and a whole table now and then repair what lost messages
# left different; the tables cost 130 bytes/s at 390 nodes. When a zone starts or comes
# back, a node asks again every few seconds while it still learns of members, because
# piggybacked rows alone would take minutes.
TABLE_PERIOD_TICKS = 300
TABLE_MINIMUM_TICKS = 5
TABLE_ADDED_COUNT = 5
CRASHES_IN_MESSAGE = 4
SEEDS_AT_ONCE = 3
# A leaving node tells this many others directly; probes spread the news further.
ANNOUNCE_COUNT = 8
# Probes between attempts to reach a lost member or seed. Parted regions find each
# other through these, since neither side needs a seed to have members.
RECONNECT_TICKS = 10
# Rows of dead members outlive a partition of an hour, so that both sides meet again.
DEAD_ROW_SECONDS = 7200.0
# Long enough for old reports to die out, which would otherwise add the member again.
LEFT_ROW_SECONDS = 600.0
# Incarnations start at microseconds of Unix time (below 2**51 until 2041); the bound
# leaves room to refute any report that is accepted.
MAXIMUM_INCARNATION = 2**62
MAXIMUM_SEQUENCE = 2**32

decide = new_controller()


def is_present(row: rows.MemberRow) -> bool:
    """Return whether a member is believed to run."""
    return row.state in PRESENT_STATES


def supersedes(row: rows.MemberRow, known: rows.MemberRow) -> bool:
    """Return whether a report replaces what is known of the member."""
    return (row.incarnation, STATE_RANKS[row.state]) > (
        known.incarnation,
        STATE_RANKS[known.state],
    )


def _scheduling_place(row: rows.MemberRow | None) -> str | None:
    """Return the region in which a member can schedule, or None if it cannot."""
    if row is None or row.state not in SCHEDULING_STATES:
        return None
    return row.region


def _present_peers(board: Board) -> list[rows.MemberRow]:
    return [
        row
        for row in board.members_by_id.values()
        if is_present(row) and row.node_id != board.node_id
    ]


def _sample(
    random: Random, items: list[rows.MemberRow], size: int
) -> list[rows.MemberRow]:
    return random.sample(items, min(size, len(items)))


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


def _put(board: Board, row: rows.MemberRow, now: float) -> Actions:
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
        decided.append(_suspicion_timer(row))
    if known is None or known.state != row.state:
        level = "debug" if row.state in ("joining", "alive") else "info"
        fields = {"member": row.node_id, "state": row.state, "zone": row.zone}
        decided.append(actions.Log(level, "member state", fields))
    if _scheduling_place(known) != _scheduling_place(row):
        decided.append(actions.Emit(events.MembershipChanged()))
    return decided


def _suspicion_timer(row: rows.MemberRow) -> actions.SetTimer:
    timer = events.TimerFired(SUSPICION_TIMER, row.node_id)
    return actions.SetTimer(row.state_deadline, timer)


def _refresh_own_row(board: Board, now: float) -> Actions:
    """Bring the own row up to date with lifecycle, cells and configuration."""
    own = board.members_by_id.get(board.node_id)
    if own is None:
        return ()
    configuration = board.configuration
    own = own._replace(
        revision=configuration.revision if configuration else 0,
        configuration_digest=digest_text(board.object_set),
    )
    # Revision and digest travel in the own row of every message and are not
    # disseminated further: at 4,100 configuration changes a day, the updates of 390
    # rows at each change would exceed the traffic bound.
    board.members_by_id[board.node_id] = own
    state = _own_state(board, own.state)
    if state == own.state:
        return ()
    return _put(board, own._replace(state=state), now)


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
        *_put(board, own, now),
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
    told = _sample(random, _present_peers(board), ANNOUNCE_COUNT)
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
    _remove_old_rows(board, now)
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
            decided.extend(_put(board, row._replace(state="suspect"), now))
        elif row.state == "leaving" and row.state_deadline == 0.0:
            # It stays leaving, because a suspected node could schedule.
            timeout = board.settings.peers.suspicion_timeout_seconds
            row = row._replace(state_deadline=now + timeout)
            board.members_by_id[row.node_id] = row
            decided.append(_suspicion_timer(row))
    return decided


def _remove_old_rows(board: Board, now: float) -> None:
    for row in list(board.members_by_id.values()):
        if (
            not is_present(row)
            and now >= row.state_deadline
            and row.node_id != board.node_id
        ):
            del board.members_by_id[row.node_id]
            board.member_updates_by_id.pop(row.node_id, None)


def _next_subject(board: Board, random: Random) -> rows.MemberRow | None:
    """Return the next member of a shuffled round.

    Every member is probed once a round, so a failure is found within one round even
    if random choice would miss it for longer.
    """
    tick = board.probe_round_by_node_id[board.node_id]
    remaining = tick.remaining_ids
    for fill in (False, True):
        if fill:
            ids = [row.node_id for row in _present_peers(board)]
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


def _add_to_round(board: Board, node_id: str, random: Random) -> None:
    """Insert a new member at a random place, so that not all probe it at once."""
    tick = board.probe_round_by_node_id.get(board.node_id)
    if tick is None:
        return
    place = random.randint(0, len(tick.remaining_ids))
    remaining = (*tick.remaining_ids[:place], node_id, *tick.remaining_ids[place:])
    board.probe_round_by_node_id[board.node_id] = tick._replace(
        remaining_ids=remaining, added_count=tick.added_count + 1
    )


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
        _piggyback(board, subject_id, random),
        _recent_crashes(board, random),
    )


def _contact_seeds(board: Board, random: Random) -> Actions:
    node = board.settings.node
    seeds = [
        seed
        for seed in board.settings.peers.seeds
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
    present = {(row.address, row.peer_port) for row in _present_peers(board)}
    node = board.settings.node
    present.add((node.address, node.peer_port))
    lost = {(seed.address, seed.peer_port): "" for seed in board.settings.peers.seeds}
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
        for row in _present_peers(board)
        if row.node_id != probe.subject_id and row.state in ("joining", "alive")
    ]
    return [
        actions.Send(
            helper.node_id,
            messages.IndirectProbe(
                board.node_id,
                sequence,
                probe.subject_id,
                _piggyback(board, helper.node_id, random),
            ),
        )
        for helper in _sample(random, helpers, peers.indirect_probe_count)
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
        return (_suspicion_timer(row),)
    return _put(board, row._replace(state="dead"), now)


def report_of(row: rows.MemberRow) -> rows.MemberRow:
    """Return a row as it is sent: brief if the state needs no address."""
    if row.state not in BRIEF_STATES:
        return row
    return rows.MemberRow(
        row.node_id, row.incarnation, row.state, "", 0, 0, zone="", region=""
    )


def is_brief(row: rows.MemberRow) -> bool:
    """Return whether a received row has only identity, incarnation and state."""
    return not row.address


def _units(row: rows.MemberRow) -> int:
    return BRIEF_ROW_UNITS if row.state in BRIEF_STATES else FULL_ROW_UNITS


def _piggyback(
    board: Board, receiver_id: str, random: Random
) -> tuple[rows.MemberRow, ...]:
    """Return the rows for a message: the own one first, then changes, then others."""
    members = board.members_by_id
    picked = {board.node_id: members[board.node_id]}
    receiver = members.get(receiver_id)
    if receiver is not None and receiver.state not in ("joining", "alive"):
        # The receiver can refute only a report that reaches it.
        picked[receiver_id] = report_of(receiver)
    limit = RETRANSMIT_FACTOR * math.ceil(math.log10(len(members) + 1))
    updates = board.member_updates_by_id
    units = 0
    # A suspicion and its refutation race against a deadline. Rows of new members do
    # not, and hundreds of them would delay the others when a zone starts.
    for update in nsmallest(
        UPDATE_UNITS_IN_MESSAGE,
        updates.values(),
        key=lambda update: (update.added, update.sent_count),
    ):
        row = members[update.node_id]
        units += _units(row)
        if units > UPDATE_UNITS_IN_MESSAGE:
            break
        picked[update.node_id] = report_of(row)
        if update.sent_count + 1 >= limit:
            del updates[update.node_id]
        else:
            updates[update.node_id] = update._replace(sent_count=update.sent_count + 1)
    others = [row for row in members.values() if row.node_id != board.node_id]
    for row in _sample(random, others, 1):
        picked.setdefault(row.node_id, report_of(row))
    return tuple(picked.values())


def _recent_crashes(board: Board, random: Random) -> tuple[rows.CrashRow, ...]:
    """Return the newest crash records and random others."""
    crashes = board.crashes_by_fingerprint.values()
    if len(crashes) <= CRASHES_IN_MESSAGE:
        return tuple(crashes)
    newest = nsmallest(CRASHES_IN_MESSAGE // 2, crashes, key=lambda row: -row.deadline)
    others = [row for row in crashes if row not in newest]
    return (*newest, *random.sample(others, CRASHES_IN_MESSAGE - len(newest)))


@decide.register(messages.Probe)
def _answer_probe(
    event: messages.Probe, board: Board, now: float, random: Random
) -> Actions:
    decided = list(_merge(board, event.sender_id, event.members, now, random))
    merge_crashes(board, event.crashes, now)
    if not {board.node_id, event.sender_id} <= board.members_by_id.keys():
        return decided
    answer = messages.ProbeAck(
        board.node_id,
        event.sequence,
        board.node_id,
        _piggyback(board, event.sender_id, random),
        _recent_crashes(board, random),
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
        units += _units(row)
        if units > TABLE_UNITS_IN_MESSAGE:
            parts.append([own])
            units = FULL_ROW_UNITS + _units(row)
        parts[-1].append(report_of(row))
    return [
        messages.ProbeAck(board.node_id, event.sequence, board.node_id, tuple(part), ())
        for part in parts
    ]


@decide.register(messages.ProbeAck)
def _take_answer(
    event: messages.ProbeAck, board: Board, now: float, random: Random
) -> Actions:
    decided = list(_merge(board, event.sender_id, event.members, now, random))
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
            _piggyback(board, probe.requester_id, random),
            (),
        )
        decided.append(actions.Send(probe.requester_id, answer))
    return decided


@decide.register(messages.IndirectProbe)
def _probe_for_another(
    event: messages.IndirectProbe, board: Board, now: float, random: Random
) -> Actions:
    decided = list(_merge(board, event.sender_id, event.members, now, random))
    subject = board.members_by_id.get(event.subject_id)
    own = board.members_by_id.get(board.node_id)
    if own is not None and subject is not None and subject != own:
        decided.extend(
            _start_probe(board, subject, now, random, event.sender_id, event.sequence)
        )
    return decided


def _merge(
    board: Board,
    sender_id: str,
    members: Iterable[rows.MemberRow],
    now: float,
    random: Random,
) -> Actions:
    decided: list[actions.Action] = []
    if board.node_id not in board.members_by_id:
        # The socket is open before the process has started.
        return ()
    for row in members:
        if row.incarnation >= MAXIMUM_INCARNATION or not row.node_id:
            continue
        if row.node_id == board.node_id:
            decided.extend(_refute(board, row, now))
            continue
        decided.extend(_merge_row(board, row, row.node_id == sender_id, now, random))
    return decided


def _merge_row(
    board: Board, row: rows.MemberRow, direct: bool, now: float, random: Random
) -> Actions:
    known = board.members_by_id.get(row.node_id)
    if known is None:
        if is_brief(row) or not is_present(row):
            return ()
        _add_to_round(board, row.node_id, random)
        return _put(board, row, now)
    if is_brief(row):
        if is_present(row) and row.incarnation != known.incarnation:
            # It is a report about a process whose address is not known yet.
            return ()
        row = known._replace(incarnation=row.incarnation, state=row.state)
    if supersedes(row, known):
        if not is_present(known) and is_present(row):
            _add_to_round(board, row.node_id, random)
        return _put(board, row, now)
    same_process = row.incarnation == known.incarnation
    if same_process and (
        row.revision > known.revision or (direct and row.revision == known.revision)
    ):
        board.members_by_id[row.node_id] = known._replace(
            revision=row.revision, configuration_digest=row.configuration_digest
        )
        if row.configuration_digest != known.configuration_digest:
            seen = events.PeerRevisionSeen(
                row.node_id, row.revision, row.configuration_digest
            )
            return (actions.Emit(seen),)
    return ()


def _refute(board: Board, row: rows.MemberRow, now: float) -> Actions:
    """Answer a wrong report about this node with a higher incarnation."""
    own = board.members_by_id[board.node_id]
    if not supersedes(row, own):
        return ()
    elsewhere = (row.address, row.peer_port) != (own.address, own.peer_port)
    if elsewhere and is_present(row) and not is_brief(row):
        # Another process with this node id runs. The one that started later keeps the
        # id; two processes that refute each other would never end.
        fields = {"address": row.address, "peer_port": row.peer_port}
        return (actions.Log("error", "node id is used by another process", fields),)
    return _put(board, own._replace(incarnation=row.incarnation + 1), now)
