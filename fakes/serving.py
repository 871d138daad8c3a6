"""Command line and HTTP server shared by the fakes."""

from __future__ import annotations

import argparse

from aiohttp import web


def new_parser(description: str | None) -> argparse.ArgumentParser:
    """Return an argument parser with the options common to all fakes."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--port", type=int, required=True)
    return parser


def serve(
    application: web.Application, port: int, handler_cancellation: bool = True
) -> None:
    """Serve an application on loopback until the process is terminated.

    Parameters
    ----------
    handler_cancellation : bool
        Whether a handler is cancelled when its client disconnects.
    """
    web.run_app(
        application,
        host="127.0.0.1",
        port=port,
        print=lambda *_: None,
        handler_cancellation=handler_cancellation,
    )
