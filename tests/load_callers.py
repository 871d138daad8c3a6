"""Threads that call entries continuously while a test restarts or reconfigures them."""

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
    """Calls the ready entries in turn, like a client behind a load balancer.

    A call refused with ``ran: no`` is retried at the next entry; any other failure is
    recorded in ``lost``. The idempotency keys of non-idempotent calls are recorded so
    that a test can compare them with the run counter of the service. A key that was
    only refused must not have run.

    Parameters
    ----------
    kind : str
        Name of the method that sends one call.
    ready : list of str
        Names of the entries to call; the test may change the list while calls run.
    """

    def __init__(self, fleet: Fleet, kind: str, ready: list[str]) -> None:
        super().__init__()
        self.fleet, self.kind, self.ready = fleet, kind, ready
        self.lost: list[object] = []
        self.refused_count = self.completed_count = 0
        self.key = ""
        self.attempt = 0
        self.completed_keys: list[str] = []
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
            self.completed_count += 1
            if failure:
                self.lost.append(failure)
            return
        self.lost.append("no entry accepted the call in 12 attempts")

    def stream(self, entry):
        body = {"model": "quotes", "prompt": "length=60", "stream": True}
        url = self.fleet.url(entry)
        caller = StreamCaller(url, "/v1/completions", body, HEADERS)
        try:
            received = caller.finish()
        finally:
            caller.close()
        if received.status != 200:
            return self.check_response(entry, received.status, received.text)
        numbers = [number for _, number in received.tokens]
        whole = received.ended_cleanly and numbers == list(range(1, 61))
        return "" if whole else f"{entry}: stream ended after {numbers[-1:]}"

    def whole(self, entry):
        body = json.dumps({"model": "quotes", "prompt": "length=30"}).encode()
        return self.send_request(entry, "POST", "/v1/completions", body)

    def service(self, entry):
        return self.send_request(entry, "GET", "/services/register/suppliers/7", None)

    def lookup(self, entry):
        body = json.dumps({"model": "quotes", "prompt": "length=2"}).encode()
        headers = {"Carawayhitch-Labels": "work=lookup"}
        return self.send_request(entry, "POST", "/v1/completions", body, headers)

    def guide(self, entry):
        """Send a call with a key of the caller's own, the same key in every attempt."""
        self.key = self.key or str(uuid4())
        return self.send_guide(entry)

    def issued_guide(self, entry):
        """Send a call with an issued key to an entry that did not issue it.

        After a refusal, fetch a new key from the next entry and use it at that entry.
        """
        failure = self.send_request(entry, "POST", "/v1/idempotency-keys", b"{}")
        if failure:
            return failure
        self.key = json.loads(self.answer)["keys"][0]
        others = [name for name in self.ready if name != entry]
        use_other_entry = others and self.attempt == 0
        return self.send_guide(others[0] if use_other_entry else entry)

    def send_guide(self, entry):
        headers = {"Idempotency-Key": self.key}
        path = "/services/register/guides"
        failure = self.send_request(entry, "POST", path, b'{"lot": 1}', headers)
        if not failure:
            self.completed_keys.append(self.key)
        elif failure == "no":
            self.refused_keys.append(self.key)
            if self.runs_of(self.key):
                return f"{entry}: refused with ran: no, but the service ran the key"
        return failure

    def runs_of(self, key):
        _, body, _ = call("GET", self.fleet.url("service-1") + "/fake/runs")
        return json.loads(body).get(key, 0)

    def send_request(self, entry, method, path, body, headers=None):
        port = self.fleet.ports_by_name[entry]
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=20.0)
        try:
            connection.request(method, path, body, {**HEADERS, **(headers or {})})
            response = connection.getresponse()
            self.answer = response.read().decode()
            return self.check_response(entry, response.status, self.answer)
        finally:
            connection.close()

    def check_response(self, entry, status, text):
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
    """Run ``count`` callers of each kind until the block ends."""
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
