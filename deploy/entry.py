"""Runs the command line from a checkout in which the package is not installed."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from carawayhitch.cli import main  # noqa: E402

raise SystemExit(main())
