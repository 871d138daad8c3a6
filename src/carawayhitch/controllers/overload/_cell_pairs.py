"""The two cells of a group that may serve a call, the same at each of its attempts."""

from __future__ import annotations

from collections.abc import Sequence

from carawayhitch.board import Board
from carawayhitch.controllers import zones
from carawayhitch.controllers._cells import order_by_rendezvous
from carawayhitch.core import rows


def call_key(account: str, fingerprint: str) -> str:
    """Return the text that is equal for all attempts of a call."""
    return f"{account}\0{fingerprint}"


def cell_pair(cells: Sequence[rows.CellRow], key: str) -> list[rows.CellRow]:
    """Return the cells of which an entry chooses the less loaded one for a call.

    A client that comes back reaches another entry, which knows nothing of its place but
    asks one of the same two schedulers.
    """
    cells_by_id = {cell.cell_id: cell for cell in cells}
    return [cells_by_id[name] for name in order_by_rendezvous(key, cells_by_id)[:2]]


def other_schedulers_of_pair(board: Board, ask: rows.AskRow) -> list[str]:
    """Return the node that schedules the other cell of a call, if it is another one.

    The cells are those among which an entry of the region chooses. An entry elsewhere,
    or a call that may be served in some regions only, can have another pair.
    """
    own = board.cells_by_id[ask.cell_id]
    cells = [
        cell
        for cell in board.cells_by_id.values()
        if cell.group == own.group
        and cell.region == own.region
        and not zones.has_only_drained_upstreams(board, cell)
    ]
    pair = cell_pair(cells, call_key(ask.account, ask.fingerprint))
    schedulers = [
        board.schedulers_by_cell_id.get(cell.cell_id, ())[:1]
        for cell in pair
        if cell.cell_id != own.cell_id
    ]
    return [name for names in schedulers for name in names if name != board.node_id]
