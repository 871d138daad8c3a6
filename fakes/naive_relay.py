"""Baseline relay without the checks of an entry: copies bytes and retries elsewhere.

It shows which guarantees these checks provide: the relay does not resume streams,
reuses connections, and cannot tell a truncated response from a complete one.
"""

from __future__ import annotations

import argparse

import aiohttp
from aiohttp import web


class NaiveRelay:
    """One relay that forwards to several upstreams."""

    def __init__(self, upstream_ports: list[int]) -> None:
        self.upstream_ports = upstream_ports

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application()
        application.add_routes([web.route("*", "/{path:.*}", self.relay)])
        application.cleanup_ctx.append(self._open_session)
        return application

    async def _open_session(self, application: web.Application):  # type: ignore
        async with aiohttp.ClientSession() as self.session:
            yield

    async def relay(self, request: web.Request) -> web.StreamResponse:
        """Relay a response; after a failure, append that of the next upstream."""
        body = await request.read()
        response: web.StreamResponse | None = None
        for port in self.upstream_ports:
            url = f"http://127.0.0.1:{port}{request.path}"
            try:
                async with self.session.request(
                    request.method, url, data=body
                ) as upstream_response:
                    if response is None:
                        response = web.StreamResponse(status=upstream_response.status)
                        await response.prepare(request)
                    async for chunk in upstream_response.content.iter_any():
                        await response.write(chunk)
                    break
            except aiohttp.ClientError:
                continue
        return response or web.Response(status=502)


def main() -> None:
    """Run one relay."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--upstream-ports", type=int, nargs="+", required=True)
    arguments = parser.parse_args()
    web.run_app(
        NaiveRelay(arguments.upstream_ports).application(),
        host="127.0.0.1",
        port=arguments.port,
        print=lambda *_: None,
    )


if __name__ == "__main__":
    main()
