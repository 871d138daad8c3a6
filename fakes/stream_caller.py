"""Caller of streams over a plain socket: sees every byte and how a transfer ends."""

from __future__ import annotations

import http.client
import json
import re
import socket
from typing import Any, NamedTuple
from urllib.parse import urlsplit

TOKEN = re.compile(r"(g-[0-9a-z]+):(\d+) ")


class Received(NamedTuple):
    """What a caller received of one stream.

    Parameters
    ----------
    tokens : list of (str, int)
        Generation and number of each token, in order.
    ended_cleanly : bool
        Whether the transfer ended with its final chunk.
    """

    status: int
    tokens: list[tuple[str, int]]
    ended_cleanly: bool
    text: str


class StreamCaller:
    """One call whose answer is read step by step."""

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
        """Wait for the headers of the answer."""
        if self.response is None:
            self.response = self.connection.getresponse()
        return self.response

    def read_tokens(self, count: int) -> None:
        """Read until so many tokens have arrived."""
        response = self.open()
        while len(TOKEN.findall(self.received.decode())) < count:
            part = response.read1(65536)
            if not part:
                raise ConnectionError(f"stream ended early: {self.received[-200:]!r}")
            self.received += part

    def finish(self) -> Received:
        """Read to the end of the transfer."""
        response = self.open()
        ended_cleanly = True
        try:
            while part := response.read1(65536):
                self.received += part
        except (http.client.HTTPException, OSError, ValueError):
            ended_cleanly = False
        text = self.received.decode()
        tokens = [(name, int(number)) for name, number in TOKEN.findall(text)]
        return Received(response.status, tokens, ended_cleanly, text)

    def close(self) -> None:
        """Close the connection, whatever is still to come."""
        if self.response is not None:
            self.response.close()
        self.connection.close()
