"""Configuration: merges objects from the store and from peers and activates them.

An object is only replaced by a higher version, whichever source sends it. If a
candidate configuration fails its checks, the last valid configuration stays active.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b
from random import Random
from typing import Any

from carawayhitch.board import Board
from carawayhitch.controllers._cells import LIVE_STATES
from carawayhitch.controllers._configuration_checks import (
    find_object_problems,
    validate_decoded_object,
)
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.controllers._declaration_sets import (
    contained_declarations,
    declared_version,
)
from carawayhitch.controllers._routes import (
    common_priorities,
    route_ranks,
    routes_by_host,
)
from carawayhitch.core import actions, declarations, events, result_codes, rows

DECODE_OPERATION = "configuration_decode"
ANTI_ENTROPY_TIMER = "configuration_compare"

# Periodic anti-entropy repairs what pushes and gossip missed. The interval has a jitter
# of 30 %; twice the longest interval stays below the 8 s within which a change has to
# be active on all entries.
ANTI_ENTROPY_INTERVAL_SECONDS = 3.0
INITIAL_SYNC_INTERVAL_SECONDS = 0.3
PULL_TIMEOUT_SECONDS = 2.0
# Full sets are only pulled after a store answer skipped a change. 240 KB every 30 s is
# 8 KB/s, within the limit of 11 KB/s per node while the fault lasts.
FULL_PULL_INTERVAL_SECONDS = 30.0
PUSH_FANOUT = 2
WRITER_PUSH_FANOUT = 3
PUSH_OBJECT_LIMIT = 64
# If all entries watch the store, larger objects are not pushed and only sent to a peer
# that requests them, because copies from peers would delay the store's own answer. An
# object of this size takes 26 ms on the slowest link in the requirements (5 Mbit/s).
LARGE_OBJECT_BYTES = 16_384
# Twice the time that 300 KB from the store take on a 5 Mbit/s link. Wait and transfer
# together stay below the 2 s within which a change has to be active.
LARGE_OBJECT_WAIT_SECONDS = 1.0
CATCH_UP_TIMER = "configuration_catch_up"
CATCH_UP_OPERATION = "configuration_catch_up_list"
# A catch-up that has not ended by then was lost with its peer.
CATCH_UP_TIMEOUT_SECONDS = 5.0
# Names in one log line about odd objects.
LOGGED_NAMES_LIMIT = 20

# An entry without known members does not count as isolated while a seed or peer
# answers. After a restart of all entries, gossip fills the member table in this time.
ISOLATION_TIMEOUT_SECONDS = 6.0

# Joining entries do not schedule yet, but already exchange objects.

decide = new_controller()


def build_configuration(
    revision: int, declared: Iterable[Any]
) -> declarations.Configuration:
    """Build a configuration from declarations that have passed their checks."""
    by_type: dict[type[Any], dict[str, Any]] = {}
    version = 0
    for declaration in declared:
        version = max(version, declared_version(declaration))
        for item in contained_declarations(declaration):
            by_type.setdefault(type(item), {})[item.name] = item
    limits = by_type.get(declarations.CallerLimits, {}).values()
    accounts = by_type.get(declarations.ClientAccount, {})
    bindings = by_type.get(declarations.Binding, {}).values()
    routes = by_type.get(declarations.HttpRoute, {}).values()
    declared_ranks = by_type.get(declarations.RankClass, {})
    return declarations.Configuration(
        revision=revision,
        serving_groups_by_name=by_type.get(declarations.ServingGroup, {}),
        rank_classes_by_name={
            **route_ranks(routes, accounts.values()),
            **declared_ranks,
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
        common_priorities_by_rank={
            name: priority
            for name, priority in common_priorities(routes, accounts.values()).items()
            if name not in declared_ranks
        },
    )


def object_hash(key: tuple[str, str], version: int) -> int:
    """Return a 64-bit hash of the key and version of an object."""
    text = f"{key[0]}\0{key[1]}\0{version}"
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def format_object_set_digest(object_set: rows.ObjectSetRow) -> str:
    """Return the digest of all keys and versions as 16 hexadecimal digits."""
    return f"{object_set.digest:016x}"


def _update_object_set(board: Board, **changes: Any) -> rows.ObjectSetRow:
    row = board.object_set._replace(**changes)
    board.object_set_by_node_id[board.node_id] = row
    return row


@decide.register(events.ProcessStarted)
def _start_anti_entropy(
    event: events.ProcessStarted, board: Board, now: float, random: Random
) -> Actions:
    return (actions.SetTimer(now, events.TimerFired(ANTI_ENTROPY_TIMER)),)


@decide.register(events.TimerFired)
def _handle_timer(
    event: events.TimerFired, board: Board, now: float, random: Random
) -> Actions:
    if event.name == ANTI_ENTROPY_TIMER:
        return _run_anti_entropy_round(board, now, random)
    if event.name == CATCH_UP_TIMER:
        return _compare_after_wait(board, event.subject, now)
    return ()


@decide.register(events.MembershipChanged)
def _pull_from_differing_members(
    event: events.MembershipChanged, board: Board, now: float, random: Random
) -> Actions:
    decided: list[actions.Action] = []
    for member in list(board.members_by_id.values()):
        decided += _pull_if_peer_differs(
            board, member.node_id, member.revision, member.configuration_digest, now
        )
    return decided


@decide.register(events.ObjectsReceived)
def _merge_store_objects(
    event: events.ObjectsReceived, board: Board, now: float, random: Random
) -> Actions:
    return _merge_objects(
        board,
        event.objects,
        now,
        random,
        event.push_count,
        complete=event.complete_revision,
        pushes_to_zone=event.is_current,
    )


# Merging and activation of objects


def report_outdated_answer(board: Board, source: str, revision: int) -> Actions:
    """Count and log an answer whose revision is below the one known to this node."""
    object_set = board.object_set
    _update_object_set(board, outdated_count=object_set.outdated_count + 1)
    fields = {
        "source": source,
        "revision": revision,
        "known_revision": object_set.complete_revision,
    }
    return (
        actions.Count(result_codes.CONFIGURATION_OUTDATED),
        actions.Log("warning", "configuration is older than what is known", fields),
    )


def _merge_objects(
    board: Board,
    objects: Iterable[events.StoredObject],
    now: float,
    random: Random,
    push_count: int,
    complete: int = -1,
    pushes_to_zone: bool = False,
) -> Actions:
    """Merge objects that have a higher version than the stored ones.

    Parameters
    ----------
    push_count : int
        Number of random peers to which changed objects are pushed.
    complete : int
        Revision up to which the sender guarantees that no change is missing; -1 for no
        guarantee.
    pushes_to_zone : bool
        Whether changed objects are also pushed to all entries of this zone.
    """
    object_set = board.object_set
    revision, digest = object_set.revision, object_set.digest
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
    is_first_set = object_set.complete_revision < 0 <= complete
    _update_object_set(
        board,
        revision=revision,
        digest=digest,
        complete_revision=max(object_set.complete_revision, complete),
    )
    if any(map(_is_large_object, changed)):
        # These are what an entry waits for the store to deliver.
        _update_object_set(board, behind_since=0.0)
    decided: list[actions.Action] = []
    if changed:
        decided.append(actions.DecodeObjects(DECODE_OPERATION, tuple(changed)))
        decided += _push_changes(board, changed, random, push_count, pushes_to_zone)
    elif is_first_set:
        decided += _apply_changed_kinds(board, (), now)
    return decided


@decide.register(events.ObjectsDecoded)
def _store_decoded_objects(
    event: events.ObjectsDecoded, board: Board, now: float, random: Random
) -> Actions:
    if event.operation_id != DECODE_OPERATION:
        return ()
    kinds: set[str] = set()
    for decoded in event.objects:
        key = (decoded.kind, decoded.name)
        if board.objects_by_key[key].version == decoded.version:
            board.decoded_objects_by_key[key] = validate_decoded_object(decoded)
            kinds.add(decoded.kind)
    return (
        *_report_odd_registrations(event.objects),
        *_apply_changed_kinds(board, kinds, now),
    )


def _report_odd_registrations(decoded: Iterable[events.DecodedObject]) -> Actions:
    """Count and log the registrations that cannot be decoded, once per version.

    The problems of other objects are reported when their set is rejected.
    """
    odd = [
        item
        for item in decoded
        if item.problem and item.kind in declarations.REGISTRATION_KINDS
    ]
    if not odd:
        return ()
    code = result_codes.STORE_OBJECT_UNREADABLE
    fields = {
        "code": code.name,
        "objects": len(odd),
        "names": [item.name for item in odd[:LOGGED_NAMES_LIMIT]],
        "problem": odd[0].problem,
    }
    return (
        actions.Count(code),
        actions.Log("warning", "registrations could not be read", fields),
    )


def _apply_changed_kinds(board: Board, kinds: Iterable[str], now: float) -> Actions:
    """Emit changed registrations and activate changed declarations.

    Objects that arrive before the first complete set are applied together with it.
    """
    if board.object_set.complete_revision < 0:
        return ()
    changed = set(kinds)
    decided: list[actions.Action] = []
    if changed & declarations.REGISTRATION_KINDS or not board.lifecycle.vm_list_known:
        vms = registered_vms(board)
        if vms:
            decided.append(actions.Emit(events.VmListReceived(vms)))
    if changed - declarations.STANDALONE_KINDS or board.configuration is None:
        decided += _activate_configuration(board, now)
    return decided


def registered_vms(board: Board) -> tuple[events.VmListed, ...]:
    """Return the upstreams and entries that are registered in the store.

    A registration that cannot be decoded is skipped and does not affect the others.
    """
    return tuple(
        entry.declaration
        for entry in board.decoded_objects_by_key.values()
        if entry.kind in declarations.REGISTRATION_KINDS
        and entry.declaration is not None
    )


@decide.register(events.ChangeAccepted)
def _merge_accepted_change(
    event: events.ChangeAccepted, board: Board, now: float, random: Random
) -> Actions:
    _update_object_set(
        board,
        change_revision=event.stored.version,
        change_accepted_at=now,
    )
    return _merge_objects(board, (event.stored,), now, random, WRITER_PUSH_FANOUT)


def _activate_configuration(board: Board, now: float) -> Actions:
    """Activate the newest objects if the set is complete and passes its checks."""
    object_set = board.object_set
    if object_set.complete_revision < 0 or not _all_objects_decoded(board):
        return ()
    decoded = [
        entry
        for entry in board.decoded_objects_by_key.values()
        if entry.kind not in declarations.STANDALONE_KINDS
    ]
    problems = find_object_problems(decoded)
    if problems:
        _update_object_set(
            board, problems=problems, rejected_count=object_set.rejected_count + 1
        )
        fields = {"revision": object_set.revision, "problems": list(problems)}
        return (
            actions.Count(result_codes.CONFIGURATION_REJECTED),
            actions.Log("error", "configuration rejected", fields),
        )
    declared = [entry.declaration for entry in decoded if entry.declaration is not None]
    candidate = build_configuration(object_set.revision, declared)
    current = board.configuration
    if current is None and not _can_serve_calls(candidate):
        _update_object_set(
            board, problems=("no client_account or no binding is declared yet",)
        )
        return ()
    if current is not None and current.revision > candidate.revision:
        return ()
    _update_object_set(board, problems=(), in_force_since=now)
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


def _all_objects_decoded(board: Board) -> bool:
    """Return whether the newest version of every object has been decoded."""
    decoded = board.decoded_objects_by_key
    return all(
        key in decoded and decoded[key].version == row.version
        for key, row in board.objects_by_key.items()
        if key[0] not in declarations.STANDALONE_KINDS
    )


def _can_serve_calls(candidate: declarations.Configuration) -> bool:
    """Return whether at least some calls can be served.

    Operators write an initial configuration object by object, with the bindings last.
    An entry that became ready before the bindings exist would refuse every call.
    """
    if candidate.routes_by_host:
        return True
    return bool(candidate.accounts_by_name and candidate.bindings_by_precedence)


# Exchange with peers


def exchange_peers(board: Board) -> list[tuple[str, str, int]]:
    """Return id, address and HTTP port of the entries to exchange objects with.

    As long as no member is known, these are the configured seeds, so that a new entry
    does not have to wait for gossip.
    """
    own = board.settings.node
    members = [
        row
        for row in board.members_by_id.values()
        if row.state in LIVE_STATES and row.node_id != own.id and row.http_port
    ]
    peers = [(row.node_id, row.address, row.http_port) for row in members]
    addresses = {(address, port) for _, address, port in peers}
    addresses.add((own.address, own.http_port))
    if members:
        return peers
    for seed in board.settings.peers.seeds:
        if seed.http_port and (seed.address, seed.http_port) not in addresses:
            peer_id = f"{seed.address}:{seed.http_port}"
            peers.append((peer_id, seed.address, seed.http_port))
    return peers


def _exchange_message(
    board: Board,
    exchange_id: str,
    since: int,
    objects: Iterable[events.StoredObject] = (),
    takes_large: bool = True,
) -> events.ObjectsExchanged:
    object_set = board.object_set
    return events.ObjectsExchanged(
        exchange_id=exchange_id,
        peer_id=board.node_id,
        revision=object_set.revision,
        complete_revision=object_set.complete_revision,
        digest=format_object_set_digest(object_set),
        since=since,
        objects=tuple(objects),
        takes_large=takes_large,
    )


def _request_objects(
    board: Board,
    peer: tuple[str, str, int],
    since: int,
    now: float,
    takes_large: bool = False,
) -> Actions:
    _update_object_set(board, pull_deadline=now + PULL_TIMEOUT_SECONDS)
    large = takes_large or since < 0 or _wants_large_objects(board)
    request = _exchange_message(board, "", since, takes_large=large)
    return (actions.PullObjects(*peer, request),)


def _is_large_object(stored: events.StoredObject | rows.ObjectRow) -> bool:
    return len(stored.value) > LARGE_OBJECT_BYTES


def _wants_large_objects(board: Board) -> bool:
    """Return whether large objects are requested from peers as well.

    This is so if not all entries watch the store, or if a store scope fails or is not
    listed yet.
    """
    return not board.settings.store.stale_watches or any(
        row.failure_count or row.position < 0
        for row in board.store_scopes_by_name.values()
    )


def _schedule_catch_up(board: Board, peer_id: str, now: float) -> Actions:
    """Record that a peer has other objects and set a timer to compare them again.

    The store usually delivers the change before the timer fires.
    """
    behind_since = board.object_set.behind_since
    if not board.settings.store.stale_watches:
        return ()
    if behind_since and now < behind_since + CATCH_UP_TIMEOUT_SECONDS:
        return ()
    _update_object_set(board, behind_since=now, behind_peer_id=peer_id)
    timer = events.TimerFired(CATCH_UP_TIMER, peer_id)
    return (actions.SetTimer(now + LARGE_OBJECT_WAIT_SECONDS, timer),)


def _compare_after_wait(board: Board, peer_id: str, now: float) -> Actions:
    """Ask a peer whether this node still lacks objects that the peer has."""
    object_set = board.object_set
    if not object_set.behind_since or object_set.behind_peer_id != peer_id:
        return ()
    compared = _pull_from_peer(board, peer_id, object_set.complete_revision, now)
    return compared or _list_latest(board)


def _is_overdue(board: Board, peer_id: str, now: float) -> bool:
    """Return whether the wait for objects that this peer has is over."""
    object_set = board.object_set
    return (
        object_set.behind_peer_id == peer_id
        and 0 < object_set.behind_since <= now - LARGE_OBJECT_WAIT_SECONDS
    )


def _update_lag(board: Board, event: events.ObjectsExchanged, now: float) -> Actions:
    """Update from a peer's answer what is known of missing objects.

    A stale read of the store may lag by more than the time in which a change has to be
    active, so objects that are still missing after a wait are read from its latest
    state. Peers do not send large ones, because their links are slow.
    """
    lacks_objects = (
        event.complete_revision < 0
        and event.digest != format_object_set_digest(board.object_set)
    )
    if not lacks_objects:
        if event.peer_id == board.object_set.behind_peer_id:
            _update_object_set(board, behind_since=0.0)
        return ()
    if _is_overdue(board, event.peer_id, now):
        return _list_latest(board)
    return _schedule_catch_up(board, event.peer_id, now)


def _list_latest(board: Board) -> Actions:
    """List the latest state of all scopes whose objects entries exchange."""
    _update_object_set(board, behind_since=0.0)
    store = board.settings.store
    scopes = [scope for scope in store.scopes if scope not in store.slow_scopes]
    lists = [
        actions.ListObjects(CATCH_UP_OPERATION, scope, beside_watch=True)
        for scope in scopes
    ]
    fields = {"scopes": scopes}
    return (
        actions.Log("info", "reading the latest state of the store", fields),
        *lists,
    )


@decide.register(events.StoreCallFailed)
def _pull_after_failed_list(
    event: events.StoreCallFailed, board: Board, now: float, random: Random
) -> Actions:
    """Pull from a peer, large objects as well, what the store did not deliver."""
    peers = exchange_peers(board)
    if event.operation_id != CATCH_UP_OPERATION or not peers:
        return ()
    return _request_objects(
        board,
        random.choice(peers),
        board.object_set.complete_revision,
        now,
        takes_large=True,
    )


def _pull_from_peer(board: Board, peer_id: str, since: int, now: float) -> Actions:
    for peer in exchange_peers(board):
        if peer[0] == peer_id:
            return _request_objects(board, peer, since, now)
    return ()


def _push_changes(
    board: Board,
    changed: list[events.StoredObject],
    random: Random,
    count: int,
    pushes_to_zone: bool,
) -> Actions:
    """Push changed objects to random peers, which push them on in turn.

    Every entry pushes a change once, when it first receives it. A change therefore
    costs two messages per entry and reaches nearly all entries in a number of rounds
    that is logarithmic in the fleet size, independent of gossip and of the store. If
    more than `PUSH_OBJECT_LIMIT` objects changed, only the revision and digest are
    sent.

    A watcher that has read the latest state also pushes to every entry of its zone,
    because random pushes miss some and stale reads may lag by seconds.
    """
    peers = exchange_peers(board)
    shared = [
        stored for stored in changed if stored.kind not in declarations.UNSHARED_KINDS
    ]
    if board.object_set.complete_revision < 0 or not peers or not shared:
        return ()
    small = [stored for stored in shared if not _is_large_object(stored)]
    pushes_large = not board.settings.store.stale_watches
    offered = shared if pushes_large else small
    request = _exchange_message(
        board,
        "",
        board.object_set.complete_revision,
        offered if len(offered) <= PUSH_OBJECT_LIMIT else [],
        takes_large=pushes_large,
    )
    receivers = random.sample(peers, min(count, len(peers)))
    if pushes_to_zone:
        zone = board.settings.node.zone
        receivers += [
            peer
            for peer in peers
            if peer not in receivers and _zone_of(board, peer[0]) == zone
        ]
    return tuple(actions.PullObjects(*peer, request) for peer in receivers)


def _zone_of(board: Board, node_id: str) -> str:
    member = board.members_by_id.get(node_id)
    return member.zone if member is not None else ""


def _run_anti_entropy_round(board: Board, now: float, random: Random) -> Actions:
    """Exchange state with one random peer and schedule the next round."""
    object_set = board.object_set
    interval = (
        INITIAL_SYNC_INTERVAL_SECONDS
        if object_set.complete_revision < 0
        else ANTI_ENTROPY_INTERVAL_SECONDS
    )
    deadline = now + interval * random.uniform(0.7, 1.3)
    timer = actions.SetTimer(deadline, events.TimerFired(ANTI_ENTROPY_TIMER))
    decided: list[actions.Action] = [timer]
    peers = exchange_peers(board)
    if peers and now >= object_set.pull_deadline:
        decided += _request_objects(
            board, random.choice(peers), object_set.complete_revision, now
        )
    return decided


def _pull_if_peer_differs(
    board: Board, peer_id: str, revision: int, digest: str, now: float
) -> Actions:
    """Pull from a peer that has changes which are missing on this node."""
    object_set = board.object_set
    newer = revision > object_set.revision
    differs = revision == object_set.revision and digest not in (
        "",
        format_object_set_digest(object_set),
    )
    if not (newer or differs):
        return ()
    if now < object_set.pull_deadline:
        return _schedule_catch_up(board, peer_id, now)
    return _pull_from_peer(board, peer_id, object_set.complete_revision, now)


@decide.register(events.PeerRevisionSeen)
def _handle_peer_revision(
    event: events.PeerRevisionSeen, board: Board, now: float, random: Random
) -> Actions:
    return _pull_if_peer_differs(
        board, event.node_id, event.revision, event.digest, now
    )


@decide.register(events.ExchangeFailed)
def _count_failed_pull(
    event: events.ExchangeFailed, board: Board, now: float, random: Random
) -> Actions:
    _update_object_set(board, pull_deadline=0.0)
    listed = _list_latest(board) if _is_overdue(board, event.peer_id, now) else ()
    return (actions.Count(result_codes.CONFIGURATION_PULL_FAILED), *listed)


@decide.register(events.ObjectsExchanged)
def _handle_exchange(
    event: events.ObjectsExchanged, board: Board, now: float, random: Random
) -> Actions:
    _update_object_set(board, isolated_after=now + ISOLATION_TIMEOUT_SECONDS)
    if event.exchange_id:
        return _answer_exchange(board, event, now, random)
    _update_object_set(board, pull_deadline=0.0)
    object_set = board.object_set
    covers = event.since <= object_set.complete_revision
    is_first_set = object_set.complete_revision < 0
    merged = _merge_objects(
        board,
        event.objects,
        now,
        random,
        0 if is_first_set else PUSH_FANOUT,
        complete=event.complete_revision if covers else -1,
    )
    completed = _adopt_complete_revision(board, event, now, random)
    lag_actions = _update_lag(board, event, now)
    return (*merged, *completed, *lag_actions, *_pull_full_set(board, event, now))


def _adopt_complete_revision(
    board: Board, event: events.ObjectsExchanged, now: float, random: Random
) -> Actions:
    """Adopt the complete revision of a peer that has the same objects."""
    object_set = board.object_set
    if event.digest != format_object_set_digest(object_set):
        return ()
    if event.complete_revision <= object_set.complete_revision:
        return ()
    return _merge_objects(board, (), now, random, 0, complete=event.complete_revision)


def _pull_full_set(board: Board, event: events.ObjectsExchanged, now: float) -> Actions:
    """Pull the full set if the digests still differ after an incremental pull.

    This happens when a list or a watch of the store skipped a change.
    """
    object_set = board.object_set
    if (
        event.digest == format_object_set_digest(object_set)
        or event.revision != object_set.revision
    ):
        return ()
    both_complete = (
        min(event.complete_revision, object_set.complete_revision)
        >= object_set.revision
    )
    if not both_complete or event.since < 0 or now < object_set.full_pull_after:
        return ()
    pulled = _pull_from_peer(board, event.peer_id, -1, now)
    if pulled:
        _update_object_set(board, full_pull_after=now + FULL_PULL_INTERVAL_SECONDS)
    return pulled


def _answer_exchange(
    board: Board, event: events.ObjectsExchanged, now: float, random: Random
) -> Actions:
    """Merge the objects that a peer offers and answer with those it is missing."""
    merged = _merge_objects(board, event.objects, now, random, PUSH_FANOUT)
    if merged:
        # The exchange is repeated after the objects are decoded, because its complete
        # revision may then apply to this node.
        return (*merged, actions.SetTimer(now, event._replace(objects=())))
    completed = _adopt_complete_revision(board, event, now, random)
    object_set = board.object_set
    missing: list[rows.ObjectRow] = []
    if event.digest != format_object_set_digest(object_set):
        missing = [
            row
            for row in board.objects_by_key.values()
            if row.version > event.since
            and row.key[0] not in declarations.UNSHARED_KINDS
        ]
    sent = [row for row in missing if event.takes_large or not _is_large_object(row)]
    answer = _exchange_message(
        board,
        event.exchange_id,
        event.since,
        (
            events.StoredObject(*row.key, row.version, row.value, row.deleted)
            for row in sent
        ),
    )
    if len(sent) < len(missing):
        # Large objects are left out, so the peer must not adopt the complete revision.
        answer = answer._replace(complete_revision=-1)
    pulled = _pull_if_peer_differs(
        board, event.peer_id, event.revision, event.digest, now
    )
    return (*completed, actions.AnswerExchange(event.exchange_id, answer), *pulled)
