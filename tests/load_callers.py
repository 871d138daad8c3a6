"""Callers that keep a fleet under load while a test changes it."""

from __future__ import annotations

import http.client
import json
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from uuid import uuid4

from fakes.processes import Fleet, call
from fakes.stream_caller import StreamCaller
from tests.test_streams import HEADERS


class LoadCaller(threading.Thread):
    """Calls ready entries one after the other, like a caller behind a balancer.

    A refusal with ``ran: no`` is tried at the next entry; anything else but success
    counts as lost. Keys of calls that must not be repeated are kept for a comparison
    with the run counter of the service: a key that was only refused has not run.
    """

    def __init__(self, fleet: Fleet, kind: str, ready: list[str]) -> None:
        super().__init__()
        self.fleet, self.kind, self.ready = fleet, kind, ready
        self.lost: list[object] = []
        self.refused_count = self.done_count = 0
        self.key = ""
        self.attempt = 0
        self.done_keys: list[str] = []
        self.refused_keys: list[str] = []
        self.refusals: list[str] = []
        self.stopping = False
        self.answer = ""

    def run(self) -> None:
        number = 0
        while not self.stopping:
            number += 1
            self.call_once(number)

    def call_once(self, number: int) -> None:
        self.key = ""
        for attempt in range(12):
            self.attempt = attempt
            entries = list(self.ready)
            if not entries:
                time.sleep(0.05)
                continue
            entry = entries[(number + attempt) % len(entries)]
            try:
                failure = getattr(self, self.kind)(entry)
            except ConnectionRefusedError:
                failure = "no"
            except (OSError, http.client.HTTPException) as error:
                failure = f"{entry}: {error!r}"
            if failure == "no":
                self.refused_count += 1
                continue
            self.done_count += 1
            if failure:
                self.lost.append(failure)
            return
        self.lost.append("no entry takes the call")

    def stream(self, entry):
        body = {"model": "quotes", "prompt": "length=60", "stream": True}
        url = self.fleet.url(entry)
        caller = StreamCaller(url, "/v1/completions", body, HEADERS)
        try:
            received = caller.finish()
        finally:
            caller.close()
        if received.status != 200:
            return self.judge(entry, received.status, received.text)
        numbers = [number for _, number in received.tokens]
        whole = received.ended_cleanly and numbers == list(range(1, 61))
        return "" if whole else f"{entry}: stream ended after {numbers[-1:]}"

    def whole(self, entry):
        body = json.dumps({"model": "quotes", "prompt": "length=30"}).encode()
        return self.exchange(entry, "POST", "/v1/completions", body)

    def service(self, entry):
        return self.exchange(entry, "GET", "/services/register/suppliers/7", None)

    def lookup(self, entry):
        body = json.dumps({"model": "quotes", "prompt": "length=2"}).encode()
        headers = {"Carawayhitch-Labels": "work=lookup"}
        return self.exchange(entry, "POST", "/v1/completions", body, headers)

    def guide(self, entry):
        """Send a call with one key of the caller until an entry takes it."""
        self.key = self.key or str(uuid4())
        return self.send_guide(entry)

    def issued_guide(self, entry):
        """Send a call with an issued key to another entry than the one that issued it.

        After a refusal the caller fetches a new key elsewhere and uses it there.
        """
        failure = self.exchange(entry, "POST", "/v1/idempotency-keys", b"{}")
        if failure:
            return failure
        self.key = json.loads(self.answer)["keys"][0]
        others = [name for name in self.ready if name != entry]
        forwarded = others and self.attempt == 0
        return self.send_guide(others[0] if forwarded else entry)

    def send_guide(self, entry):
        headers = {"Idempotency-Key": self.key}
        path = "/services/register/guides"
        failure = self.exchange(entry, "POST", path, b'{"lot": 1}', headers)
        if not failure:
            self.done_keys.append(self.key)
        elif failure == "no":
            self.refused_keys.append(self.key)
            if self.runs_of(self.key):
                return f"{entry}: answered ran no, but the key ran"
        return failure

    def runs_of(self, key):
        _, body, _ = call("GET", self.fleet.url("service-1") + "/fake/runs")
        return json.loads(body).get(key, 0)

    def exchange(self, entry, method, path, body, headers=None):
        port = self.fleet.ports_by_name[entry]
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=20.0)
        try:
            connection.request(method, path, body, {**HEADERS, **(headers or {})})
            response = connection.getresponse()
            self.answer = response.read().decode()
            return self.judge(entry, response.status, self.answer)
        finally:
            connection.close()

    def judge(self, entry, status, text):
        if status == 200:
            return ""
        try:
            ran = json.loads(text)["error"]["ran"]
        except ValueError:
            ran = ""
        if ran == "no":
            self.refusals.append(f"{entry}: {status} {text}")
        return "no" if ran == "no" else f"{entry}: {status} {text}"


@contextmanager
def load(
    fleet: Fleet, kinds: tuple[str, ...], ready: list[str], count: int
) -> Iterator[list[LoadCaller]]:
    """Run callers of each kind until the block ends."""
    callers = [LoadCaller(fleet, kind, ready) for kind in kinds for _ in range(count)]
    for caller in callers:
        caller.start()
    try:
        yield callers
    finally:
        for caller in callers:
            caller.stopping = True
        for caller in callers:
            caller.join()
