"""Serving system for generations of unknown length on heavily loaded engines."""

from __future__ import annotations

__all__ = ["__version__"]

__version__ = "0.1.0"
