"""HTTP client for streams that exposes all bytes and how the transfer ends."""

from __future__ import annotations

import http.client
import json
import re
import socket
from typing import Any, NamedTuple
from urllib.parse import urlsplit

TOKEN = re.compile(r"(g-[0-9a-z]+):(\d+) ")


class Received(NamedTuple):
    """Response to one streaming call.

    Parameters
    ----------
    tokens : list of (str, int)
        Generation and number of each token, in order.
    ended_cleanly : bool
        Whether the transfer ended with its terminating chunk.
    """

    status: int
    tokens: list[tuple[str, int]]
    ended_cleanly: bool
    text: str


class StreamCaller:
    """One call whose response is read incrementally."""

    def __init__(
        self,
        url: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        timeout: float = 20.0,
        receive_buffer_bytes: int = 0,
    ) -> None:
        address = urlsplit(url)
        assert address.hostname is not None
        self.connection = http.client.HTTPConnection(
            address.hostname, address.port, timeout=timeout
        )
        method = "GET" if body is None else "POST"
        data = None if body is None else json.dumps(body).encode()
        if receive_buffer_bytes:
            self.connection.sock = socket.socket()
            self.connection.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
            )
            self.connection.sock.settimeout(timeout)
            self.connection.sock.connect((address.hostname, address.port))
        self.connection.request(method, path, data, headers or {})
        self.received = b""
        self.response: http.client.HTTPResponse | None = None

    def open(self) -> http.client.HTTPResponse:
        """Wait for the response headers."""
        if self.response is None:
            self.response = self.connection.getresponse()
        return self.response

    def read_tokens(self, count: int) -> None:
        """Read until `count` tokens have arrived."""
        response = self.open()
        while len(TOKEN.findall(self.received.decode())) < count:
            chunk = response.read1(65536)
            if not chunk:
                raise ConnectionError(f"stream ended early: {self.received[-200:]!r}")
            self.received += chunk

    def finish(self) -> Received:
        """Read the rest of the stream and return all of it."""
        response = self.open()
        ended_cleanly = True
        try:
            while chunk := response.read1(65536):
                self.received += chunk
        except (http.client.HTTPException, OSError, ValueError):
            ended_cleanly = False
        text = self.received.decode()
        tokens = [(name, int(number)) for name, number in TOKEN.findall(text)]
        return Received(response.status, tokens, ended_cleanly, text)

    def close(self) -> None:
        """Close the connection, even if the stream has not ended."""
        if self.response is not None:
            self.response.close()
        self.connection.close()
