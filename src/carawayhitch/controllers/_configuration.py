"""Configuration: newest objects of store and peers, checked and put in force.

An object is only replaced by a higher version, whoever sends it. A candidate that fails
its checks leaves the last good configuration in force.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b
from random import Random
from typing import Any

from carawayhitch.board import Board
from carawayhitch.controllers._cells import order_by_rendezvous
from carawayhitch.controllers._configuration_checks import check_value, problems_of
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.controllers._declaration_sets import items_of, version_of
from carawayhitch.controllers._routes import route_ranks, routes_by_host
from carawayhitch.core import actions, declarations, events, result_codes, rows

DECODE_OPERATION = "configuration_decode"
COMPARE_TIMER = "configuration_compare"

# The comparison is the safety net below pushes and gossip. Twice its longest interval
# stays below the 8 s in which a change has to be in force everywhere.
COMPARE_SECONDS = 3.0
COMPARE_WHILE_INCOMPLETE_SECONDS = 0.3
PULL_TIMEOUT_SECONDS = 2.0
# Whole sets are only pulled when a store answer skipped a change. 240 KB each half
# minute is 8 KB/s, within a node's 11 KB/s while the fault lasts.
WHOLE_PULL_SECONDS = 30.0
PUSH_COUNT = 2
PUSH_COUNT_OF_WRITER = 3
PUSH_OBJECT_LIMIT = 64
# A larger object is not pushed, and only answered to a peer that asks for it: where all
# entries watch the store, copies of peers would only delay its own answer. It takes
# 26 ms of the slowest link of the users' sheets (5 Mbit/s).
LARGE_OBJECT_BYTES = 16_384
# Twice the time that 300 KB from the store take on that link; together they stay below
# the 2 s in which a change has to be in force.
LARGE_OBJECT_WAIT_SECONDS = 1.0
CATCH_UP_TIMER = "configuration_catch_up"

# An entry without known members is not alone while a seed or peer answers; gossip
# fills the membership within this time after a restart of all.
ALONE_AFTER_SECONDS = 6.0

# Entries that are not ready to schedule yet exchange objects all the same.
LIVE_STATES = frozenset({"joining", "alive", "suspect"})

decide = new_controller()


def build_configuration(
    revision: int, declared: Iterable[Any]
) -> declarations.Configuration:
    """Return a configuration from declarations that passed their checks."""
    by_type: dict[type[Any], dict[str, Any]] = {}
    version = 0
    for declaration in declared:
        version = max(version, version_of(declaration))
        for item in items_of(declaration):
            by_type.setdefault(type(item), {})[item.name] = item
    limits = by_type.get(declarations.CallerLimits, {}).values()
    accounts = by_type.get(declarations.ClientAccount, {})
    bindings = by_type.get(declarations.Binding, {}).values()
    routes = by_type.get(declarations.HttpRoute, {}).values()
    return declarations.Configuration(
        revision=revision,
        serving_groups_by_name=by_type.get(declarations.ServingGroup, {}),
        rank_classes_by_name={
            **route_ranks(routes, accounts.values()),
            **by_type.get(declarations.RankClass, {}),
        },
        accounts_by_name=accounts,
        accounts_by_token_sha256={
            token: account
            for account in accounts.values()
            for token in account.token_sha256s
        },
        bindings_by_precedence=tuple(
            sorted(bindings, key=lambda binding: (-binding.precedence, binding.name))
        ),
        services_by_name=by_type.get(declarations.PlainService, {}),
        labels_by_upstream_id={
            upstream.name: upstream.labels
            for upstream in by_type.get(declarations.UpstreamLabels, {}).values()
        },
        orders_by_name=by_type.get(declarations.EngineOrder, {}),
        routes_by_host=routes_by_host(routes),
        caller_limits=next(iter(limits), declarations.CallerLimits("default")),
        version=version,
    )


def object_hash(key: tuple[str, str], version: int) -> int:
    """Return the hash of one version of an object."""
    text = f"{key[0]}\0{key[1]}\0{version}"
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def digest_text(object_set: rows.ObjectSetRow) -> str:
    """Return the digest of all keys and versions in hexadecimal."""
    return f"{object_set.digest:016x}"


def _update(board: Board, **changes: Any) -> rows.ObjectSetRow:
    row = board.object_set._replace(**changes)
    board.object_set_by_node_id[board.node_id] = row
    return row


def is_watcher(board: Board, now: float) -> bool:
    """Return whether this node holds a watch of the store.

    A node that is alone watches, whatever its zone's ranking says. One whose peers
    have all left is alone at once; one that has not met any yet only counts as alone
    when none has answered it for some time.
    """
    live = [row for row in board.members_by_id.values() if row.state in LIVE_STATES]
    if not any(row.node_id != board.node_id for row in live):
        has_met_peers = bool(board.members_by_id.keys() - {board.node_id})
        return has_met_peers or now >= board.object_set.alone_after
    zone = board.settings.node.zone
    in_zone = {row.node_id for row in live if row.zone == zone} | {board.node_id}
    count = board.settings.store.watchers_per_zone
    return board.node_id in order_by_rendezvous(f"watch/{zone}", in_zone)[:count]


@decide.register(events.ProcessStarted)
def _start(
    event: events.ProcessStarted, board: Board, now: float, random: Random
) -> Actions:
    return (actions.SetTimer(now, events.TimerFired(COMPARE_TIMER)),)


@decide.register(events.TimerFired)
def _timer(
    event: events.TimerFired, board: Board, now: float, random: Random
) -> Actions:
    if event.name == COMPARE_TIMER:
        return _compare(board, now, random)
    if event.name == CATCH_UP_TIMER:
        return _catch_up(board, event.subject, now)
    return ()


@decide.register(events.MembershipChanged)
def _compare_with_members(
    event: events.MembershipChanged, board: Board, now: float, random: Random
) -> Actions:
    decided: list[actions.Action] = []
    for member in list(board.members_by_id.values()):
        decided += _compare_with(
            board, member.node_id, member.revision, member.configuration_digest, now
        )
    return decided


@decide.register(events.ObjectsReceived)
def _take_from_store(
    event: events.ObjectsReceived, board: Board, now: float, random: Random
) -> Actions:
    _update(board, behind_since=0.0)
    return _merge(
        board,
        event.objects,
        now,
        random,
        event.push_count,
        complete=event.complete_revision,
    )


# Objects


def note_outdated(board: Board, source: str, revision: int) -> Actions:
    """Count and log an answer that is older than what is known here."""
    known = board.object_set
    _update(board, outdated_count=known.outdated_count + 1)
    fields = {
        "source": source,
        "revision": revision,
        "known_revision": known.complete_revision,
    }
    return (
        actions.Count(result_codes.CONFIGURATION_OUTDATED),
        actions.Log("warning", "configuration is older than what is known", fields),
    )


def _merge(
    board: Board,
    objects: Iterable[events.StoredObject],
    now: float,
    random: Random,
    push_count: int,
    complete: int = -1,
) -> Actions:
    """Take over objects with a higher version.

    Parameters
    ----------
    push_count : int
        Peers that are sent what changed.
    complete : int
        Revision up to which the sender vouches that nothing is missing.
    """
    known = board.object_set
    revision, digest = known.revision, known.digest
    changed: list[events.StoredObject] = []
    for stored in objects:
        key = (stored.kind, stored.name)
        row = board.objects_by_key.get(key)
        if stored.version <= (row.version if row is not None else 0):
            continue
        board.objects_by_key[key] = rows.ObjectRow(
            key, stored.version, stored.value, stored.deleted
        )
        changed.append(stored)
        if stored.kind in declarations.UNSHARED_KINDS:
            continue
        if row is not None:
            digest ^= object_hash(key, row.version)
        digest ^= object_hash(key, stored.version)
        revision = max(revision, stored.version)
    first = known.complete_revision < 0 <= complete
    _update(
        board,
        revision=revision,
        digest=digest,
        complete_revision=max(known.complete_revision, complete),
    )
    decided: list[actions.Action] = []
    if changed:
        decided.append(actions.DecodeObjects(DECODE_OPERATION, tuple(changed)))
        decided += _push(board, changed, random, push_count)
    elif first:
        decided += _use(board, (), now)
    return decided


@decide.register(events.ObjectsDecoded)
def _take_decoded(
    event: events.ObjectsDecoded, board: Board, now: float, random: Random
) -> Actions:
    if event.operation_id != DECODE_OPERATION:
        return ()
    kinds: set[str] = set()
    for decoded in event.objects:
        key = (decoded.kind, decoded.name)
        if board.objects_by_key[key].version == decoded.version:
            board.decoded_by_key[key] = check_value(decoded)
            kinds.add(decoded.kind)
    return _use(board, kinds, now)


def _use(board: Board, kinds: Iterable[str], now: float) -> Actions:
    """Hand on registrations and put declarations in force that changed, by kind.

    Whatever came before the first whole set is used with it.
    """
    if board.object_set.complete_revision < 0:
        return ()
    changed = set(kinds)
    decided: list[actions.Action] = []
    if changed & declarations.REGISTRATION_KINDS or not board.lifecycle.vm_list_known:
        vms = registered_vms(board)
        if vms:
            decided.append(actions.Emit(events.VmListReceived(vms)))
    if changed - declarations.REGISTRATION_KINDS or board.configuration is None:
        decided += _put_in_force(board, now)
    return decided


def registered_vms(board: Board) -> tuple[events.VmListed, ...]:
    """Return the upstreams and entries that registered themselves in the store.

    A registration that cannot be decoded names no VM and leaves the others as they
    are.
    """
    return tuple(
        entry.declaration
        for entry in board.decoded_by_key.values()
        if entry.kind in declarations.REGISTRATION_KINDS
        and entry.declaration is not None
    )


@decide.register(events.ChangeAccepted)
def _take_change(
    event: events.ChangeAccepted, board: Board, now: float, random: Random
) -> Actions:
    _update(
        board,
        change_revision=event.stored.version,
        change_accepted_at=now,
    )
    return _merge(board, (event.stored,), now, random, PUSH_COUNT_OF_WRITER)


def _put_in_force(board: Board, now: float) -> Actions:
    """Put the newest objects in force if they are whole and pass their checks."""
    known = board.object_set
    if known.complete_revision < 0 or not _is_decoded(board):
        return ()
    decoded = [
        entry
        for entry in board.decoded_by_key.values()
        if entry.kind not in declarations.REGISTRATION_KINDS
    ]
    problems = problems_of(decoded)
    if problems:
        _update(board, problems=problems, rejected_count=known.rejected_count + 1)
        fields = {"revision": known.revision, "problems": list(problems)}
        return (
            actions.Count(result_codes.CONFIGURATION_REJECTED),
            actions.Log("error", "configuration rejected", fields),
        )
    declared = [entry.declaration for entry in decoded if entry.declaration is not None]
    candidate = build_configuration(known.revision, declared)
    current = board.configuration
    if current is None and not _is_usable(candidate):
        _update(board, problems=("no client_account or no binding is declared yet",))
        return ()
    if current is not None and current.revision > candidate.revision:
        return ()
    _update(board, problems=(), in_force_since=now)
    board.configuration_by_name["in_force"] = candidate
    fields = {
        "revision": candidate.revision,
        "version": candidate.version,
        "routes": sum(map(len, candidate.routes_by_host.values())),
        "accounts": len(candidate.accounts_by_name),
    }
    return (
        actions.Log("info", "configuration in force", fields),
        actions.Emit(events.ConfigurationChanged(candidate.revision)),
    )


def _is_decoded(board: Board) -> bool:
    """Return whether the newest version of every object has been decoded."""
    decoded = board.decoded_by_key
    return all(
        key in decoded and decoded[key].version == row.version
        for key, row in board.objects_by_key.items()
        if key[0] not in declarations.REGISTRATION_KINDS
    )


def _is_usable(candidate: declarations.Configuration) -> bool:
    """Return whether any call could be served.

    Operators write a first configuration object by object, bindings last. An entry
    that became ready before them would refuse every call.
    """
    if candidate.routes_by_host:
        return True
    return bool(candidate.accounts_by_name and candidate.bindings_by_precedence)


# Peers


def known_peers(board: Board) -> list[tuple[str, str, int]]:
    """Return id, address and HTTP port of the entries that can be asked.

    Seeds without a known member at their address are asked as well, so that a new
    entry need not wait for gossip.
    """
    own = board.settings.node
    members = [
        row
        for row in board.members_by_id.values()
        if row.state in LIVE_STATES and row.node_id != own.id and row.http_port
    ]
    found = [(row.node_id, row.address, row.http_port) for row in members]
    addresses = {(address, port) for _, address, port in found}
    addresses.add((own.address, own.http_port))
    if members:
        return found
    for seed in board.settings.peers.seeds:
        if seed.http_port and (seed.address, seed.http_port) not in addresses:
            peer_id = f"{seed.address}:{seed.http_port}"
            found.append((peer_id, seed.address, seed.http_port))
    return found


def _own_state(
    board: Board,
    exchange_id: str,
    since: int,
    objects: Iterable[events.StoredObject] = (),
    takes_large: bool = True,
) -> events.ObjectsExchanged:
    known = board.object_set
    return events.ObjectsExchanged(
        exchange_id=exchange_id,
        peer_id=board.node_id,
        revision=known.revision,
        complete_revision=known.complete_revision,
        digest=digest_text(known),
        since=since,
        objects=tuple(objects),
        takes_large=takes_large,
    )


def _pull(board: Board, peer: tuple[str, str, int], since: int, now: float) -> Actions:
    _update(board, pull_deadline=now + PULL_TIMEOUT_SECONDS)
    large = since < 0 or _takes_large(board, now)
    request = _own_state(board, "", since, takes_large=large)
    return (actions.PullObjects(*peer, request),)


def _is_large(stored: events.StoredObject | rows.ObjectRow) -> bool:
    return len(stored.value) > LARGE_OBJECT_BYTES


def _takes_large(board: Board, now: float) -> bool:
    """Return whether large objects have to come from peers and not from the store."""
    store = board.settings.store
    if not store.stale_watches:
        return True
    if any(
        row.failure_count or row.position < 0
        for row in board.store_scopes_by_name.values()
    ):
        return True
    behind_since = board.object_set.behind_since
    return 0 < behind_since <= now - LARGE_OBJECT_WAIT_SECONDS


def _note_behind(board: Board, peer_id: str, now: float) -> Actions:
    """Note that a peer has other objects, and look again if the store stays silent."""
    if board.object_set.behind_since or not board.settings.store.stale_watches:
        return ()
    _update(board, behind_since=now)
    timer = events.TimerFired(CATCH_UP_TIMER, peer_id)
    return (actions.SetTimer(now + LARGE_OBJECT_WAIT_SECONDS, timer),)


def _catch_up(board: Board, peer_id: str, now: float) -> Actions:
    known = board.object_set
    if not _takes_large(board, now) or now < known.pull_deadline:
        return ()
    return _pull_from(board, peer_id, known.complete_revision, now)


def _pull_from(board: Board, peer_id: str, since: int, now: float) -> Actions:
    for peer in known_peers(board):
        if peer[0] == peer_id:
            return _pull(board, peer, since, now)
    return ()


def _push(
    board: Board, changed: list[events.StoredObject], random: Random, count: int
) -> Actions:
    """Send what changed to some peers, each of which does the same.

    Every entry pushes a change once, when it learns it, so a change costs two messages
    an entry and reaches all in a number of rounds that grows with the logarithm of the
    fleet, independent of gossip and of the store. A larger set is only announced.
    """
    peers = known_peers(board)
    shared = [
        stored for stored in changed if stored.kind not in declarations.UNSHARED_KINDS
    ]
    if board.object_set.complete_revision < 0 or not peers or not shared:
        return ()
    small = [stored for stored in shared if not _is_large(stored)]
    pushes_large = not board.settings.store.stale_watches
    offered = shared if pushes_large else small
    request = _own_state(
        board,
        "",
        board.object_set.complete_revision,
        offered if len(offered) <= PUSH_OBJECT_LIMIT else [],
        takes_large=pushes_large,
    )
    return tuple(
        actions.PullObjects(*peer, request)
        for peer in random.sample(peers, min(count, len(peers)))
    )


def _compare(board: Board, now: float, random: Random) -> Actions:
    """Compare with one random peer and set the timer for the next time."""
    known = board.object_set
    interval = (
        COMPARE_WHILE_INCOMPLETE_SECONDS
        if known.complete_revision < 0
        else COMPARE_SECONDS
    )
    deadline = now + interval * random.uniform(0.7, 1.3)
    timer = actions.SetTimer(deadline, events.TimerFired(COMPARE_TIMER))
    decided: list[actions.Action] = [timer]
    peers = known_peers(board)
    if peers and now >= known.pull_deadline:
        decided += _pull(board, random.choice(peers), known.complete_revision, now)
    return decided


def _compare_with(
    board: Board, peer_id: str, revision: int, digest: str, now: float
) -> Actions:
    """Pull from a peer that knows changes which this node lacks."""
    known = board.object_set
    newer = revision > known.revision
    differs = revision == known.revision and digest not in ("", digest_text(known))
    if not (newer or differs):
        return ()
    noted = _note_behind(board, peer_id, now)
    if now < known.pull_deadline:
        return noted
    return (*noted, *_pull_from(board, peer_id, known.complete_revision, now))


@decide.register(events.PeerRevisionSeen)
def _see_peer(
    event: events.PeerRevisionSeen, board: Board, now: float, random: Random
) -> Actions:
    return _compare_with(board, event.node_id, event.revision, event.digest, now)


@decide.register(events.ExchangeFailed)
def _exchange_failed(
    event: events.ExchangeFailed, board: Board, now: float, random: Random
) -> Actions:
    _update(board, pull_deadline=0.0)
    return (actions.Count(result_codes.CONFIGURATION_PULL_FAILED),)


@decide.register(events.ObjectsExchanged)
def _take_exchange(
    event: events.ObjectsExchanged, board: Board, now: float, random: Random
) -> Actions:
    _update(board, alone_after=now + ALONE_AFTER_SECONDS)
    if event.exchange_id:
        return _answer_peer(board, event, now, random)
    _update(board, pull_deadline=0.0)
    known = board.object_set
    covers = event.since <= known.complete_revision
    first = known.complete_revision < 0
    merged = _merge(
        board,
        event.objects,
        now,
        random,
        0 if first else PUSH_COUNT,
        complete=event.complete_revision if covers else -1,
    )
    completed = _complete_with(board, event, now, random)
    return (*merged, *completed, *_pull_whole_set(board, event, now))


def _complete_with(
    board: Board, event: events.ObjectsExchanged, now: float, random: Random
) -> Actions:
    """Take over the revision up to which a peer with the same objects is complete."""
    known = board.object_set
    if event.digest != digest_text(known):
        return ()
    if event.complete_revision <= known.complete_revision:
        return ()
    return _merge(board, (), now, random, 0, complete=event.complete_revision)


def _pull_whole_set(
    board: Board, event: events.ObjectsExchanged, now: float
) -> Actions:
    """Pull everything if the changes after the known revision were not enough.

    This happens when a list or a watch of the store skipped a change.
    """
    known = board.object_set
    if event.digest == digest_text(known) or event.revision != known.revision:
        return ()
    whole = min(event.complete_revision, known.complete_revision) >= known.revision
    if not whole or event.since < 0 or now < known.whole_pull_after:
        return ()
    pulled = _pull_from(board, event.peer_id, -1, now)
    if pulled:
        _update(board, whole_pull_after=now + WHOLE_PULL_SECONDS)
    return pulled


def _answer_peer(
    board: Board, event: events.ObjectsExchanged, now: float, random: Random
) -> Actions:
    """Take what a peer offers and answer with what it lacks."""
    merged = _merge(board, event.objects, now, random, PUSH_COUNT)
    if merged:
        # The objects are decoded first; the answer may then complete the set.
        return (*merged, actions.SetTimer(now, event._replace(objects=())))
    completed = _complete_with(board, event, now, random)
    known = board.object_set
    lacking: list[rows.ObjectRow] = []
    if event.digest != digest_text(known):
        lacking = [
            row
            for row in board.objects_by_key.values()
            if row.version > event.since
            and row.key[0] not in declarations.UNSHARED_KINDS
        ]
    sent = [row for row in lacking if event.takes_large or not _is_large(row)]
    answer = _own_state(
        board,
        event.exchange_id,
        event.since,
        (
            events.StoredObject(*row.key, row.version, row.value, row.deleted)
            for row in sent
        ),
    )
    if len(sent) < len(lacking):
        # Without all objects the answer completes nothing.
        answer = answer._replace(complete_revision=-1)
    pulled = _compare_with(board, event.peer_id, event.revision, event.digest, now)
    return (*completed, actions.AnswerExchange(event.exchange_id, answer), *pulled)
