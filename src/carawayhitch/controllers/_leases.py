"""Leases for the orders of serving groups, held by conditional writes to the store.

The holder renews a lease by writing its object again; the version of the object is the
fencing number. Another node takes a lease over only after it has seen the version
unchanged for the lifetime plus a margin on its own clock. The holder measures the
lifetime from before it sent its write, so its lease ends before another node can take
it over.
"""

from __future__ import annotations

from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers import duties
from carawayhitch.controllers._controller import Actions, new_controller
from carawayhitch.core import actions, events, result_codes, rows

LEASE_KIND = "order_lease"
# The timer also triggers _orders, which reads the states of the engines.
LEASE_TIMER = "order_leases"
LEASE_READ_PREFIX = "order_lease_read:"
LEASE_WRITE_PREFIX = "order_lease_write:"
# Bounds the number of nodes that read each lease, so that the load on the store does
# not grow with the number of nodes.
LEASE_CANDIDATES_PER_GROUP = 2
CANDIDATE_MEMBER_STATES = frozenset({"alive", "suspect"})

decide = new_controller()


def holds_lease(board: Board, group: str, now: float) -> bool:
    """Return whether this node holds the lease of a group and may send its orders."""
    lease = board.leases_by_group.get(group)
    return lease is not None and lease.held and now < lease.deadline


def find_lease_candidate_groups(board: Board) -> list[str]:
    """Return the groups with orders whose lease this node may acquire."""
    configuration = board.configuration
    if configuration is None:
        return []
    candidate_ids = {
        member.node_id
        for member in board.members_by_id.values()
        if member.state in CANDIDATE_MEMBER_STATES
    } | {board.node_id}
    groups = {order.group for order in configuration.orders_by_name.values()}
    return [
        group
        for group in sorted(groups)
        if board.node_id
        in duties.order_members(board, f"orders/{group}", candidate_ids)[
            :LEASE_CANDIDATES_PER_GROUP
        ]
    ]


@decide.register(events.ProcessStarted)
def _schedule_first_round(
    event: events.ProcessStarted, board: Board, now: float, random: Random
) -> Actions:
    return (_next_round_timer(board, now),)


def _next_round_timer(board: Board, now: float) -> actions.SetTimer:
    interval = board.settings.orders.interval_seconds
    return actions.SetTimer(now + interval, events.TimerFired(LEASE_TIMER))


@decide.register(events.TimerFired)
def _renew_or_read_leases(
    event: events.TimerFired, board: Board, now: float, random: Random
) -> Actions:
    if event.name != LEASE_TIMER:
        return ()
    decided: list[actions.Action] = []
    for group in find_lease_candidate_groups(board):
        if holds_lease(board, group, now):
            decided.extend(_write_lease(board, board.leases_by_group[group], now))
        else:
            decided.extend(_drop_expired_lease(board, group))
            decided.append(
                actions.ReadObject(f"{LEASE_READ_PREFIX}{group}", LEASE_KIND, group)
            )
    return (*decided, _next_round_timer(board, now))


def _drop_expired_lease(board: Board, group: str) -> Actions:
    lease = board.leases_by_group.get(group)
    if lease is None or not lease.held:
        return ()
    del board.leases_by_group[group]
    return (actions.Count(result_codes.LEASE_LOST),)


def _write_lease(board: Board, lease: rows.LeaseRow, now: float) -> Actions:
    if board.lifecycle.state not in ("starting", "ready"):
        return ()
    board.leases_by_group[lease.group] = lease._replace(requested_at=now)
    holder_json = f'"{board.node_id}:{board.lifecycle.incarnation}"'
    return (
        actions.WriteObject(
            f"{LEASE_WRITE_PREFIX}{lease.group}",
            LEASE_KIND,
            lease.group,
            holder_json.encode(),
            lease.version,
        ),
    )


@decide.register(events.ObjectRead)
def _apply_lease_read(
    event: events.ObjectRead, board: Board, now: float, random: Random
) -> Actions:
    if not event.operation_id.startswith(LEASE_READ_PREFIX):
        return ()
    group = event.operation_id.removeprefix(LEASE_READ_PREFIX)
    lease = board.leases_by_group.get(group)
    if lease is not None and lease.held:
        return ()
    version = event.stored.version
    if version and (lease is None or lease.version != version):
        order_settings = board.settings.orders
        takeover_at = (
            now
            + order_settings.lease_lifetime_seconds
            + order_settings.lease_margin_seconds
        )
        board.leases_by_group[group] = rows.LeaseRow(group, version, False, takeover_at)
        return ()
    if lease is None:
        lease = rows.LeaseRow(group, version, False, now)
    if now < lease.deadline:
        return ()
    return _write_lease(board, lease, now)


@decide.register(events.ObjectWritten)
def _apply_lease_write(
    event: events.ObjectWritten, board: Board, now: float, random: Random
) -> Actions:
    if not event.operation_id.startswith(LEASE_WRITE_PREFIX):
        return ()
    group = event.operation_id.removeprefix(LEASE_WRITE_PREFIX)
    lease = board.leases_by_group.get(group)
    if lease is None:
        return ()
    if not event.accepted:
        del board.leases_by_group[group]
        return (actions.Count(result_codes.LEASE_LOST),) if lease.held else ()
    deadline = lease.requested_at + board.settings.orders.lease_lifetime_seconds
    board.leases_by_group[group] = rows.LeaseRow(group, event.version, True, deadline)
    return ()
