"""Minimal boards and settings for controller tests."""

from __future__ import annotations

from carawayhitch.board import Board, new_board
from carawayhitch.core import settings as settings_types


def new_settings(
    node_id: str = "node-1", **sections: object
) -> settings_types.Settings:
    """Return default settings in which the given sections are replaced."""
    settings = settings_types.Settings(
        node=settings_types.NodeSettings(node_id, "a", "r1"),
        peers=settings_types.PeerSettings((settings_types.PeerKey(1, "k" * 32),)),
        store=settings_types.StoreSettings("http://127.0.0.1:1"),
        platform=settings_types.PlatformSettings("http://127.0.0.1:2/v1/vms"),
    )
    return settings._replace(**sections)


def ready_board(node_id: str = "node-1", **sections: object) -> Board:
    """Return the board of a node in the state ``ready``."""
    board = new_board(new_settings(node_id, **sections), incarnation=1)
    board.lifecycle_by_node_id[node_id] = board.lifecycle._replace(state="ready")
    return board
