"""The ``replay`` and ``version`` commands; registers all commands but ``serve``."""

from __future__ import annotations

import argparse
import sys
from typing import Any

from carawayhitch import __version__
from carawayhitch.cli._check import add_check_command
from carawayhitch.cli._declarations import add_declaration_commands
from carawayhitch.cli._explain import add_explain_command
from carawayhitch.cli._statuses import USAGE_EXIT_STATUS
from carawayhitch.node import replay_trace


def add_commands(commands: Any) -> None:
    """Add all commands except ``serve`` to the subparsers of the command line."""
    add_check_command(commands)
    add_declaration_commands(commands)
    add_explain_command(commands)
    replay_parser = commands.add_parser(
        "replay", help="replay a recorded trace and compare the decisions"
    )
    replay_parser.add_argument("trace", help="trace file (JSON lines)")
    replay_parser.set_defaults(run=run_replay)
    version_parser = commands.add_parser("version", help="print the version")
    version_parser.set_defaults(run=run_version)


def run_replay(options: argparse.Namespace) -> int:
    """Replay a trace; exit status 1 if any action differs from the recorded one."""
    try:
        with open(options.trace, "rb") as trace_lines:
            result = replay_trace(trace_lines, options.trace)
    except OSError as error:
        print(f"carawayhitch: {options.trace}: {error.strerror}", file=sys.stderr)
        return USAGE_EXIT_STATUS
    for difference in result.differences:
        print(f"{options.trace}:{difference.line_number}: {difference.event}")
        print(f"  recorded: {difference.stated}")
        print(f"  replayed: {difference.decided}")
    print(
        f"{result.event_count} events, {result.action_count} actions,"
        f" {len(result.differences)} differences"
    )
    return 1 if result.differences else 0


def run_version(options: argparse.Namespace) -> int:
    """Print the version of the package."""
    print(__version__)
    return 0
