"""Command line."""

from __future__ import annotations

import argparse
import os
import sys
from collections.abc import Sequence

import uvloop

from carawayhitch import __version__, codecs
from carawayhitch.cli._declarations import add_declaration_commands
from carawayhitch.core import errors, result_codes
from carawayhitch.frontend import serve
from carawayhitch.node import configure_logs, replay_trace

SETTINGS_VARIABLE = "CARAWAYHITCH_SETTINGS"
USAGE_STATUS = 2
FAILURE_STATUS = 1


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return its exit status."""
    options = new_parser().parse_args(arguments)
    try:
        return options.run(options)
    except errors.CarawayhitchError as error:
        print(f"carawayhitch: {error}", file=sys.stderr)
        bad_input = error.code in (
            result_codes.INVALID_SETTING,
            result_codes.INVALID_DECLARATION,
            result_codes.INVALID_TRACE,
        )
        return USAGE_STATUS if bad_input else FAILURE_STATUS


def new_parser() -> argparse.ArgumentParser:
    """Return the parser of all commands."""
    parser = argparse.ArgumentParser(prog="carawayhitch", description=__doc__)
    commands = parser.add_subparsers(required=True, metavar="command")
    serve_parser = commands.add_parser("serve", help="run one entry process")
    serve_parser.add_argument(
        "--settings",
        default=os.environ.get(SETTINGS_VARIABLE),
        help=f"TOML file; the value of {SETTINGS_VARIABLE} by default",
    )
    serve_parser.set_defaults(run=run_serve)
    add_declaration_commands(commands)
    replay_parser = commands.add_parser(
        "replay", help="compare a recorded trace with the decision code"
    )
    replay_parser.add_argument("trace", help="file of JSON lines")
    replay_parser.set_defaults(run=run_replay)
    version_parser = commands.add_parser("version", help="print the version")
    version_parser.set_defaults(run=run_version)
    return parser


def run_serve(options: argparse.Namespace) -> int:
    """Serve until stopped."""
    if not options.settings:
        print(
            f"carawayhitch: serve needs --settings or {SETTINGS_VARIABLE}",
            file=sys.stderr,
        )
        return USAGE_STATUS
    settings = codecs.read_settings(options.settings)
    log = configure_logs(settings)
    uvloop.run(serve(settings, log, options.settings))
    return 0


def run_replay(options: argparse.Namespace) -> int:
    """Replay a trace; the status is 1 if the actions differ from the stated ones."""
    try:
        with open(options.trace, "rb") as lines:
            result = replay_trace(lines, options.trace)
    except OSError as error:
        print(f"carawayhitch: {options.trace}: {error.strerror}", file=sys.stderr)
        return USAGE_STATUS
    for difference in result.differences:
        print(f"{options.trace}:{difference.line_number}: {difference.event}")
        print(f"  stated:  {difference.stated}")
        print(f"  decided: {difference.decided}")
    print(
        f"{result.event_count} events, {result.action_count} actions,"
        f" {len(result.differences)} differences"
    )
    return 1 if result.differences else 0


def run_version(options: argparse.Namespace) -> int:
    """Print the version."""
    print(__version__)
    return 0
