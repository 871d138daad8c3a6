"""HTTP server of an entry."""

from __future__ import annotations

from carawayhitch.frontend._server import serve

__all__ = ["serve"]
