"""The command that runs one entry process."""

from __future__ import annotations

import argparse
import gc
import os
import socket
import sys
import tomllib

from carawayhitch.cli._statuses import USAGE_EXIT_STATUS

SETTINGS_ENVIRONMENT_VARIABLE = "CARAWAYHITCH_SETTINGS"
# Callers that may wait while the process starts.
BACKLOG = 1024


def add_serve_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of the command to its parser."""
    parser.add_argument(
        "--settings",
        default=os.environ.get(SETTINGS_ENVIRONMENT_VARIABLE),
        help=f"TOML file; the value of {SETTINGS_ENVIRONMENT_VARIABLE} by default",
    )
    parser.set_defaults(run=run_serve)


def run_serve(options: argparse.Namespace) -> int:
    """Serve until stopped."""
    if not options.settings:
        print(
            f"carawayhitch: serve needs --settings or {SETTINGS_ENVIRONMENT_VARIABLE}",
            file=sys.stderr,
        )
        return USAGE_EXIT_STATUS
    listening = bind_gateway_socket(options.settings)
    # Collections while modules are imported find nothing and take a tenth of the time.
    gc.disable()
    import uvloop

    from carawayhitch import codecs
    from carawayhitch.frontend import serve
    from carawayhitch.node import configure_logs

    gc.freeze()
    gc.enable()
    settings = codecs.read_settings(options.settings)
    log = configure_logs(settings)
    uvloop.run(serve(settings, log, options.settings, listening))
    return 0


def bind_gateway_socket(path: str) -> socket.socket | None:
    """Return a socket that listens where callers of HTTP routes connect, if any.

    The settings are checked later as a whole, with a message that says what is wrong.
    """
    try:
        with open(path, "rb") as file:
            address = tomllib.load(file)["gateway"]["address"]
        host, _, port = address.rpartition(":")
        return socket.create_server((host, int(port)), backlog=BACKLOG)
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return None
