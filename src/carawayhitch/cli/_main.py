"""Command line."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence
from functools import partial

import uvloop

from carawayhitch import __version__, codecs
from carawayhitch.cli._declarations import add_declaration_commands
from carawayhitch.cli._logs import configure_logs
from carawayhitch.core import errors, result_codes
from carawayhitch.frontend import serve

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
        )
        return USAGE_STATUS if bad_input else FAILURE_STATUS


def new_parser() -> argparse.ArgumentParser:
    """Return the parser of all commands."""
    parser = argparse.ArgumentParser(prog="carawayhitch", description=__doc__)
    commands = parser.add_subparsers(required=True, metavar="command")
    serve_parser = commands.add_parser("serve", help="run one entry process")
    serve_parser.add_argument("--settings", required=True, help="TOML file")
    serve_parser.set_defaults(run=run_serve)
    add_declaration_commands(commands)
    version_parser = commands.add_parser("version", help="print the version")
    version_parser.set_defaults(run=partial(run_version))
    return parser


def run_serve(options: argparse.Namespace) -> int:
    """Serve until stopped."""
    settings = codecs.read_settings(options.settings)
    log = configure_logs(settings)
    uvloop.run(serve(settings, log))
    return 0


def run_version(options: argparse.Namespace) -> int:
    """Print the version."""
    print(__version__)
    return 0
