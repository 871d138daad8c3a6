"""Entry point of the command line.

``serve`` listens before the libraries are imported, which takes most of a second on a
small VM: callers that come meanwhile wait instead of being turned away. So nothing
that takes long to import is imported at the top of this module or of `_serve`.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence

from carawayhitch.cli._serve import add_serve_options
from carawayhitch.cli._statuses import FAILURE_STATUS, USAGE_EXIT_STATUS


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return its exit status."""
    given = list(sys.argv[1:] if arguments is None else arguments)
    if given[:1] == ["serve"]:
        parser = argparse.ArgumentParser(prog="carawayhitch serve")
        add_serve_options(parser)
        options = parser.parse_args(given[1:])
    else:
        options = _full_parser().parse_args(given)
    try:
        return int(options.run(options))
    except Exception as error:
        return _report(error)


def _full_parser() -> argparse.ArgumentParser:
    from carawayhitch.cli._commands import add_commands

    parser = argparse.ArgumentParser(
        prog="carawayhitch",
        description="Serving system for generations of unknown length.",
    )
    commands = parser.add_subparsers(required=True, metavar="command")
    add_serve_options(commands.add_parser("serve", help="run one entry process"))
    add_commands(commands)
    return parser


def _report(error: Exception) -> int:
    """Print an error of this package and return its status; raise any other one."""
    from carawayhitch.core import errors, result_codes

    if not isinstance(error, errors.CarawayhitchError):
        raise error
    print(f"carawayhitch: {error}", file=sys.stderr)
    bad_input = error.code in (
        result_codes.INVALID_SETTING,
        result_codes.INVALID_DECLARATION,
        result_codes.INVALID_TRACE,
    )
    return USAGE_EXIT_STATUS if bad_input else FAILURE_STATUS
