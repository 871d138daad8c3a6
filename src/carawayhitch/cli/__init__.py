"""Command-line interface of carawayhitch."""

from __future__ import annotations

from carawayhitch.cli._main import main

__all__ = ["main"]
