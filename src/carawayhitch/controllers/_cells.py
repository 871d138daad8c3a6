"""Assignment of upstreams to cells by rendezvous hashing."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b
from random import Random

from carawayhitch.board import Board
from carawayhitch.controllers._controller import Actions
from carawayhitch.controllers._selectors import selector_matches
from carawayhitch.core import actions, declarations, messages, rows

SCHEDULING_TIMER = "scheduling"
SCHEDULER_CANDIDATE_LIMIT = 3
SCHEDULING_STATES = frozenset({"alive", "suspect"})
LIVE_STATES = frozenset({"joining", "alive", "suspect"})
# Membership states in which entries still choose upstreams.
UPSTREAM_CHOOSING_STATES = frozenset({"alive", "suspect", "leaving"})
# Entries to which an observation about upstreams is sent at once.
OBSERVATION_RECEIVER_LIMIT = 128


def rendezvous_score(subject: str, candidate: str) -> int:
    """Return the score of a candidate; the highest score owns the subject."""
    digest = blake2b(f"{subject}\0{candidate}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def order_by_rendezvous(subject: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates by descending rendezvous score, the owner first."""
    return sorted(
        candidates,
        key=lambda candidate: (-rendezvous_score(subject, candidate), candidate),
    )


def split_group_into_cells(
    group: str, region: str, upstream_ids: Iterable[str], cell_size: int
) -> list[rows.CellRow]:
    """Split the upstreams of a group into cells of about ``cell_size`` upstreams.

    Rendezvous hashing keeps most upstreams in their cell when the cell count changes.
    """
    members = sorted(upstream_ids)
    cell_count = max(1, -(-len(members) // cell_size))
    cell_ids = [f"{group}/{region}/{index}" for index in range(cell_count)]
    upstreams_by_cell: dict[str, list[str]] = {cell_id: [] for cell_id in cell_ids}
    for upstream_id in members:
        upstreams_by_cell[order_by_rendezvous(upstream_id, cell_ids)[0]].append(
            upstream_id
        )
    return [
        rows.CellRow(cell_id, group, region, tuple(ids))
        for cell_id, ids in upstreams_by_cell.items()
        if ids
    ]


def derive_cells(board: Board) -> dict[str, rows.CellRow]:
    """Return the cells of every serving group, by id."""
    configuration = board.configuration
    if configuration is None:
        return {}
    cell_size = board.settings.scheduling.cell_size
    cells: dict[str, rows.CellRow] = {}
    for group in configuration.serving_groups_by_name.values():
        ids_by_region: dict[str, list[str]] = {}
        for upstream in board.upstreams_by_id.values():
            if selector_matches(group.selector, upstream.labels):
                ids_by_region.setdefault(upstream.region, []).append(
                    upstream.upstream_id
                )
        for region, upstream_ids in ids_by_region.items():
            for cell in split_group_into_cells(
                group.name, region, upstream_ids, cell_size
            ):
                cells[cell.cell_id] = cell
    return cells


def engine_capacity(board: Board, group: str) -> declarations.EngineCapacity | None:
    """Return the declared capacity of the engines of a serving group, or None."""
    configuration = board.configuration
    declared = (
        configuration.serving_groups_by_name.get(group) if configuration else None
    )
    return declared.engine if declared else None


def entry_scheduled_groups(board: Board) -> frozenset[str]:
    """Return the serving groups for which each entry chooses upstreams by itself."""
    configuration = board.configuration
    if configuration is None:
        return frozenset()
    return frozenset(
        group.name
        for group in configuration.serving_groups_by_name.values()
        if group.scheduler == "entry"
    )


def other_schedulers(board: Board, upstream_id: str) -> list[str]:
    """Return the other entries that schedule the cells of an upstream."""
    schedulers = {
        board.schedulers_by_cell_id[cell.cell_id][0]
        for cell in board.cells_by_id.values()
        if upstream_id in cell.upstream_ids
        and board.schedulers_by_cell_id.get(cell.cell_id)
    }
    return sorted(schedulers - {board.node_id})


def send_observation(
    board: Board,
    message: messages.FailuresSeen | messages.CrashesSeen,
    random: Random,
) -> Actions:
    """Send an observation about upstreams to other entries that choose upstreams."""
    others = [
        member.node_id
        for member in board.members_by_id.values()
        if member.state in UPSTREAM_CHOOSING_STATES and member.node_id != board.node_id
    ]
    receivers = random.sample(others, min(OBSERVATION_RECEIVER_LIMIT, len(others)))
    return tuple(actions.Send(node_id, message) for node_id in receivers)
