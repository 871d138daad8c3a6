"""Command-line entry point for ``python -m carawayhitch``."""

from __future__ import annotations

from carawayhitch.cli import main

raise SystemExit(main())
