"""Kept places, counted by account, and the times of return that were given out."""

from __future__ import annotations

from math import ceil

from carawayhitch.board import Board
from carawayhitch.controllers import _fairness
from carawayhitch.core import rows

# Entries and clients need a moment, and an earlier return finds no more than there was.
RETURN_MINIMUM_SECONDS = 1.0
RETURN_MAXIMUM_SECONDS = 60.0
# Returns that would be later than the maximum are spread over at least this time before
# it, in steps that do not meet the same seconds again at once.
RETURN_SPREAD_SECONDS = 15.0
RETURN_STEP_SECONDS = 7.0
# Without an answer time and a prompt, the work of an ask is not known. Its client must
# not come back together with the others either.
WORK_MINIMUM_SECONDS = 0.05
# Clients may come back later than told. A place lasts for this time after the return,
# which also covers the wait of the repeated ask.
PLACE_GRACE_SECONDS = 15.0
# A place takes about 300 bytes. Beyond the limit of an account its asks get none.
ACCOUNT_PLACE_LIMIT = 200
PLACE_LIMIT = 4000


def _place_key(group: str, account: str, fingerprint: str) -> tuple[str, str, str]:
    return (group, account, fingerprint)


def find_place(
    board: Board, ask: rows.AskRow, now: float
) -> rows.ReturnPlaceRow | None:
    """Return the place of a call, or None if it has none or it has ended."""
    key = _place_key(ask.group, ask.account, ask.fingerprint)
    place = board.return_places_by_call.get(key)
    return place if place is not None and now < place.deadline else None


def forget_place(board: Board, ask: rows.AskRow) -> None:
    """Delete the place of an ask that is granted."""
    _delete_place(board, _place_key(ask.group, ask.account, ask.fingerprint))


def _delete_place(board: Board, key: tuple[str, str, str]) -> None:
    if board.return_places_by_call.pop(key, None) is None:
        return
    counts = board.place_counts_by_account
    counts[key[1]] -= 1
    if not counts[key[1]]:
        del counts[key[1]]


def store_place(
    board: Board,
    group: str,
    account: str,
    fingerprint: str,
    place: rows.ReturnPlaceRow,
) -> bool:
    """Store a place and return True, or return False at a limit."""
    table = board.return_places_by_call
    key = _place_key(group, account, fingerprint)
    current = table.get(key)
    if current is not None:
        # The same call was refused again, or by the other scheduler of its pair.
        place = place._replace(queued_at=min(place.queued_at, current.queued_at))
    else:
        own_count = board.place_counts_by_account.get(account, 0)
        if own_count >= ACCOUNT_PLACE_LIMIT or len(table) >= PLACE_LIMIT:
            return False
        board.place_counts_by_account[account] = own_count + 1
    table[key] = place
    return True


def reserve_return(
    board: Board, ask: rows.AskRow, wait: float, capacity: float, now: float
) -> tuple[int, float]:
    """Return when the client of a refused ask comes back: whole seconds and the time.

    The returns of an account follow each other at its share of the capacity, so that
    they do not come together and those of a small account need not wait for them. A
    call that is refused again before its return keeps the time that it has: otherwise,
    clients that repeat at once would delay the others of their account.

    Parameters
    ----------
    capacity : float
        Engines that are left for the clients of this rank that come back.
    """
    place = find_place(board, ask, now)
    if place is not None:
        return_at = place.deadline - PLACE_GRACE_SECONDS
        if return_at >= now + RETURN_MINIMUM_SECONDS:
            return ceil(return_at - now), return_at
    latest = now + RETURN_MAXIMUM_SECONDS
    earliest = now + min(
        max(wait, RETURN_MINIMUM_SECONDS),
        RETURN_MAXIMUM_SECONDS - RETURN_SPREAD_SECONDS,
    )
    returns = _returns_with_account(board, ask)
    at = max(earliest, returns.next_times_by_account.get(ask.account, 0.0))
    share = _fairness.quota_weight(board, ask.account) / returns.weight
    work = max(WORK_MINIMUM_SECONDS, ask.work_seconds)
    next_at = at + work / (capacity * share)
    if next_at > latest:
        offset = at - earliest + RETURN_STEP_SECONDS
        next_at = earliest + offset % (latest - earliest)
    returns.next_times_by_account[ask.account] = next_at
    # Retry-After has whole seconds. A client that comes earlier finds no room yet.
    seconds = ceil(min(at, latest) - now)
    return seconds, now + seconds


def _returns_with_account(board: Board, ask: rows.AskRow) -> rows.ReturnsRow:
    """Return the row of a rank, in which the weight of the ask's account counts."""
    key = (ask.cell_id, ask.rank)
    returns = board.returns_by_rank.get(key) or rows.ReturnsRow({}, 0.0)
    if ask.account not in returns.next_times_by_account:
        weight = returns.weight + _fairness.quota_weight(board, ask.account)
        returns = board.returns_by_rank[key] = returns._replace(weight=weight)
    return returns


def delete_expired_places(board: Board, now: float) -> None:
    """Delete places after their deadline, and times of return that have passed."""
    for call, place in list(board.return_places_by_call.items()):
        if now >= place.deadline:
            _delete_place(board, call)
    for key, returns in list(board.returns_by_rank.items()):
        times = {
            account: time
            for account, time in returns.next_times_by_account.items()
            if now < time
        }
        weight = sum(_fairness.quota_weight(board, account) for account in times)
        if times:
            board.returns_by_rank[key] = rows.ReturnsRow(times, weight)
        else:
            del board.returns_by_rank[key]
