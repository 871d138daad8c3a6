"""Clients that hold the memory and connections of a process, for its tests."""

from __future__ import annotations

import select
import socket
import threading
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from fakes.platform_fleet import HOST, KEY

PART_BYTES = 65_536
# Keeps the answer in the process of its sender instead of in the kernel.
RECEIVE_BUFFER_BYTES = 4096
SEND_TIMEOUT_SECONDS = 20.0
POLL_SECONDS = 0.1
STEADY_SECONDS, STEADY_LIMIT_SECONDS = 4.0, 30.0


def request_head(method: str, path: str, *lines: str) -> bytes:
    """Return the head of a request with a valid key and additional header lines."""
    head = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Authorization: Bearer {KEY}",
        *lines,
    ]
    return ("\r\n".join(head) + "\r\n\r\n").encode()


def body_with_length(method: str, path: str, size: int, missing: int) -> list[bytes]:
    """Return the parts of a request whose body stops before its declared length."""
    sent = size - missing
    parts = [bytes(min(PART_BYTES, sent - at)) for at in range(0, sent, PART_BYTES)]
    return [request_head(method, path, f"Content-Length: {size}"), *parts]


def body_in_chunks(method: str, path: str, size: int) -> list[bytes]:
    """Return the parts of a request whose chunks stop before the last one."""
    chunk = b"%x\r\n%b\r\n" % (PART_BYTES, bytes(PART_BYTES))
    head = request_head(method, path, "Transfer-Encoding: chunked")
    return [head, *[chunk] * (size // PART_BYTES)]


class Crowd:
    """Connections that each send their parts and then stay open.

    Parameters
    ----------
    parts : iterable of bytes
        What each client sends.
    pause_seconds : float
        Pause between two parts.
    reads : bool
        Whether the clients read what they are sent.
    read_bytes : int
        What a client reads at once, ten times a second; 0 for as much as there is.
    reconnects : bool
        Whether a client whose connection was closed comes back.
    """

    def __init__(
        self,
        port: int,
        count: int,
        parts: Iterable[bytes],
        pause_seconds: float = 0.0,
        reads: bool = True,
        read_bytes: int = 0,
        reconnects: bool = False,
    ) -> None:
        self.port = port
        self.parts = list(parts)
        self.pause_seconds = pause_seconds
        self.reads = reads
        self.read_bytes = read_bytes
        self.reconnects = reconnects
        self.stopped = threading.Event()
        self.sent = threading.Semaphore(0)
        self.threads = [threading.Thread(target=self._run) for _ in range(count)]
        for thread in self.threads:
            thread.start()

    def wait_until_sent(self) -> None:
        """Wait until each client has sent its parts once or was turned away."""
        for _ in self.threads:
            self.sent.acquire(timeout=60.0)

    def stop(self) -> None:
        """Close all connections."""
        self.stopped.set()
        for thread in self.threads:
            thread.join()

    def _run(self) -> None:
        self._hold_connection()
        while self.reconnects and not self.stopped.wait(POLL_SECONDS):
            self._hold_connection()

    def _hold_connection(self) -> None:
        connection = socket.socket()
        with connection:
            if not self.reads or self.read_bytes:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
                )
            connection.settimeout(SEND_TIMEOUT_SECONDS)
            try:
                connection.connect(("127.0.0.1", self.port))
                for part in self.parts:
                    connection.sendall(part)
                    if self.pause_seconds and self.stopped.wait(self.pause_seconds):
                        break
            except OSError:
                self.sent.release()
                return
            self.sent.release()
            self._wait_for_close(connection)

    def _wait_for_close(self, connection: socket.socket) -> None:
        poll = select.poll()
        poll.register(connection, select.POLLIN if self.reads else 0)
        while not self.stopped.is_set():
            for _, happened in poll.poll(1000 * POLL_SECONDS):
                if happened & (select.POLLHUP | select.POLLERR):
                    return
                try:
                    if not connection.recv(self.read_bytes or PART_BYTES):
                        return
                except OSError:
                    return
            if self.read_bytes:
                time.sleep(POLL_SECONDS)


class ProcessWatch:
    """Records the peaks of the resident memory and the descriptors of a process."""

    def __init__(self, process_id: int) -> None:
        self.folder = Path(f"/proc/{process_id}")
        self.peak_megabytes = 0.0
        self.peak_descriptors = 0
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def wait_until_steady(self) -> None:
        """Wait until the peak of the memory has not grown for some seconds."""
        deadline = time.monotonic() + STEADY_LIMIT_SECONDS
        peak_megabytes, steady_at = 0.0, time.monotonic()
        while time.monotonic() < min(deadline, steady_at + STEADY_SECONDS):
            if self.peak_megabytes > peak_megabytes + 1.0:
                peak_megabytes, steady_at = self.peak_megabytes, time.monotonic()
            time.sleep(POLL_SECONDS)

    def stop(self) -> None:
        """End the observation."""
        self.stopped.set()
        self.thread.join()

    def _run(self) -> None:
        while not self.stopped.wait(0.02):
            try:
                lines = (self.folder / "status").read_text().splitlines()
                count = len(list((self.folder / "fd").iterdir()))
            except OSError:
                return
            sizes = [line.split()[1] for line in lines if line.startswith("VmRSS:")]
            for size in sizes:
                self.peak_megabytes = max(self.peak_megabytes, int(size) / 1000)
            self.peak_descriptors = max(self.peak_descriptors, count)


def exchange_slowly(
    port: int, parts: Iterable[bytes], bytes_per_second: float
) -> tuple[int, bytes]:
    """Send a request and read its answer at a given rate; return status and body."""
    piece_bytes = int(bytes_per_second * POLL_SECONDS)
    sent = b"".join(parts)
    with socket.create_connection(("127.0.0.1", port), timeout=60.0) as connection:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        for at in range(0, len(sent), piece_bytes):
            connection.sendall(sent[at : at + piece_bytes])
            if len(sent) > piece_bytes:
                time.sleep(POLL_SECONDS)
        received = bytearray()
        while b"\r\n\r\n" not in received:
            part = connection.recv(1)
            if not part:
                return 0, bytes(received)
            received += part
        head = received.decode("latin-1").lower()
        length = int(head.partition("content-length:")[2].split()[0])
        body = bytearray()
        while len(body) < length:
            part = connection.recv(min(piece_bytes, length - len(body)))
            if not part:
                break
            body += part
            if length > piece_bytes:
                time.sleep(POLL_SECONDS * len(part) / piece_bytes)
    return int(head.split()[1]), bytes(body)


def wait_for_success(ask: Any, timeout_seconds: float = 60.0) -> tuple[int, bytes]:
    """Repeat a call as its refusals allow; return the last status and answer."""
    deadline = time.monotonic() + timeout_seconds
    received: tuple[int, bytes] = (0, b"")
    while time.monotonic() < deadline:
        try:
            received = ask()[:2]
        except OSError as error:
            received = (0, repr(error).encode())
        if received[0] == 200:
            break
        time.sleep(0.5)
    return received
