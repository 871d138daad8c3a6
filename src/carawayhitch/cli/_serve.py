"""The ``serve`` command, which runs an entry process."""

from __future__ import annotations

import argparse
import gc
import os
import socket
import sys
import tomllib

from carawayhitch.cli._statuses import USAGE_EXIT_STATUS

SETTINGS_ENVIRONMENT_VARIABLE = "CARAWAYHITCH_SETTINGS"
# Connections that may wait in the listen queue while the process starts.
LISTEN_QUEUE_SIZE = 1024


def add_serve_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of the command to its parser."""
    parser.add_argument(
        "--settings",
        default=os.environ.get(SETTINGS_ENVIRONMENT_VARIABLE),
        help=f"TOML file (default: value of {SETTINGS_ENVIRONMENT_VARIABLE})",
    )
    parser.set_defaults(run=run_serve)


def run_serve(options: argparse.Namespace) -> int:
    """Serve calls until the process is stopped."""
    if not options.settings:
        print(
            f"carawayhitch: serve needs --settings or {SETTINGS_ENVIRONMENT_VARIABLE}",
            file=sys.stderr,
        )
        return USAGE_EXIT_STATUS
    gateway_socket = bind_gateway_socket(options.settings)
    # Garbage collections during the imports find nothing and take a tenth of the time.
    gc.disable()
    import uvloop

    from carawayhitch import codecs
    from carawayhitch.frontend import serve
    from carawayhitch.node import configure_logs

    gc.freeze()
    gc.enable()
    settings = codecs.read_settings(options.settings)
    log = configure_logs(settings)
    uvloop.run(serve(settings, log, options.settings, gateway_socket))
    return 0


def bind_gateway_socket(path: str) -> socket.socket | None:
    """Return a socket that listens on the gateway address, or None if there is none.

    Errors are ignored here. The settings are validated as a whole later, with an error
    message that names the fault.
    """
    try:
        with open(path, "rb") as file:
            address = tomllib.load(file)["gateway"]["address"]
        host, _, port = address.rpartition(":")
        return socket.create_server((host, int(port)), backlog=LISTEN_QUEUE_SIZE)
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return None
