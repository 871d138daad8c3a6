"""Blackboard that controllers read and write."""

from __future__ import annotations

from carawayhitch.board._board import Board, new_board

__all__ = ["Board", "new_board"]
