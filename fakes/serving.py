"""How the HTTP stand-ins start."""

from __future__ import annotations

import argparse

from aiohttp import web


def new_parser(description: str | None) -> argparse.ArgumentParser:
    """Return a parser with the option that all stand-ins have."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--port", type=int, required=True)
    return parser


def serve(
    application: web.Application, port: int, handler_cancellation: bool = True
) -> None:
    """Serve an application on loopback until the process is ended.

    Parameters
    ----------
    handler_cancellation : bool
        Whether a handler ends when its caller leaves.
    """
    web.run_app(
        application,
        host="127.0.0.1",
        port=port,
        print=lambda *_: None,
        handler_cancellation=handler_cancellation,
    )
