"""Entry point of the command line.

``serve`` binds its gateway socket before it imports the libraries. The imports take
most of a second on a small VM; connections that arrive meanwhile wait in the listen
queue instead of being refused. Modules that are slow to import must therefore not be
imported at the top of this module or of `_serve`.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence

from carawayhitch.cli._serve import add_serve_options
from carawayhitch.cli._statuses import FAILURE_EXIT_STATUS, USAGE_EXIT_STATUS


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return its exit status."""
    argument_list = list(sys.argv[1:] if arguments is None else arguments)
    if argument_list[:1] == ["serve"]:
        parser = argparse.ArgumentParser(prog="carawayhitch serve")
        add_serve_options(parser)
        options = parser.parse_args(argument_list[1:])
    else:
        options = _build_parser().parse_args(argument_list)
    try:
        return int(options.run(options))
    except Exception as error:
        return _report_error(error)


def _build_parser() -> argparse.ArgumentParser:
    from carawayhitch.cli._commands import add_commands

    parser = argparse.ArgumentParser(
        prog="carawayhitch",
        description="Serving system for generations of unknown length.",
    )
    commands = parser.add_subparsers(required=True, metavar="command")
    add_serve_options(commands.add_parser("serve", help="run an entry process"))
    add_commands(commands)
    return parser


def _report_error(error: Exception) -> int:
    """Print an error of this package and return its exit status.

    Any other error is raised again.
    """
    from carawayhitch.core import errors, result_codes

    if not isinstance(error, errors.CarawayhitchError):
        raise error
    print(f"carawayhitch: {error}", file=sys.stderr)
    is_input_error = error.code in (
        result_codes.INVALID_SETTING,
        result_codes.INVALID_DECLARATION,
        result_codes.INVALID_TRACE,
    )
    return USAGE_EXIT_STATUS if is_input_error else FAILURE_EXIT_STATUS
