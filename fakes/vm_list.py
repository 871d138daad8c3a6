"""Fake of the platform's list of VMs, which lags behind the actual state."""

from __future__ import annotations

import time
from typing import Any

from aiohttp import web

from fakes.serving import new_parser, serve


class FakeVmList:
    """List of live and leaving VMs as it was ``lag_seconds`` ago."""

    def __init__(self, lag_seconds: float) -> None:
        self.lag_seconds = lag_seconds
        self.versions: list[tuple[float, list[dict[str, Any]]]] = [(0.0, [])]

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application()
        application.add_routes(
            [web.get("/v1/vms", self.list), web.put("/fake/vms", self.replace)]
        )
        return application

    async def list(self, request: web.Request) -> web.Response:
        """Return the VMs as listed `lag_seconds` ago."""
        limit = time.monotonic() - self.lag_seconds
        known = [vms for replaced_at, vms in self.versions if replaced_at <= limit]
        return web.json_response({"vms": known[-1] if known else []})

    async def replace(self, request: web.Request) -> web.Response:
        """Replace the list; it becomes visible after the lag, the first one at once."""
        vms = await request.json()
        replaced_at = time.monotonic() if len(self.versions) > 1 else 0.0
        self.versions.append((replaced_at, vms))
        return web.json_response({"count": len(vms)})


def main() -> None:
    """Run one VM list."""
    parser = new_parser(__doc__)
    parser.add_argument("--lag-seconds", type=float, default=0.5)
    arguments = parser.parse_args()
    serve(
        FakeVmList(arguments.lag_seconds).application(),
        arguments.port,
        handler_cancellation=False,
    )


if __name__ == "__main__":
    main()
