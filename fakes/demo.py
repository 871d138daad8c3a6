"""Demonstrates calls end to end on real processes; exits with status 0 on success.

Three entries serve two engines and one plain service. The demo streams a quote, makes a
short high-priority call, sends one shipping guide concurrently through two entries with
the same idempotency key, and stops an entry while it relays a stream.
"""

from __future__ import annotations

import json
import signal
import sys
import threading
from typing import NamedTuple
from uuid import uuid4

from fakes.processes import ACCOUNT_TOKENS, Fleet, call

ENTRIES = ("entry-1", "entry-2", "entry-3")
GUIDE_PATH = "/services/register/guides"


class Answer(NamedTuple):
    """Status and body of an HTTP response."""

    status: int
    body: bytes


def headers_for(account: str, **extra: str) -> dict[str, str]:
    """Return the headers of a call of a client account."""
    return {
        "Authorization": f"Bearer {ACCOUNT_TOKENS[account]}",
        "Content-Type": "application/json",
        **{name.replace("_", "-"): value for name, value in extra.items()},
    }


def generate(
    fleet: Fleet, entry: str, account: str, prompt: str, stream: bool, **extra: str
) -> Answer:
    """Request a generation and return the response."""
    body = {"model": "quotes", "prompt": prompt, "stream": stream}
    url = fleet.url(entry) + "/v1/completions"
    status, answer, _ = call("POST", url, body, headers_for(account, **extra))
    return Answer(status, answer)


def event_ids_of(answer: Answer) -> list[int]:
    """Return the event ids of a streamed response."""
    lines = answer.body.decode().splitlines()
    return [int(line[4:]) for line in lines if line.startswith("id: ")]


def is_complete_stream(answer: Answer, token_count: int) -> bool:
    """Return whether every token of one generation arrived once and in order."""
    generations = {
        json.loads(line[6:])["id"]
        for line in answer.body.decode().splitlines()
        if line.startswith("data: {")
    }
    expected = list(range(1, token_count + 2))
    return event_ids_of(answer) == expected and len(generations) == 1


def show_stream(fleet: Fleet) -> bool:
    """Stream a quote and check that it is complete."""
    answer = generate(fleet, "entry-1", "hotel", "length=60 a quote", stream=True)
    complete = is_complete_stream(answer, 60)
    print(
        f"streamed quote: {len(event_ids_of(answer)) - 1} tokens, complete: {complete}"
    )
    return complete


def show_lookup(fleet: Fleet) -> bool:
    """Make a short call in the urgent rank class."""
    answer = generate(
        fleet,
        "entry-2",
        "inspection",
        "length=6 a lookup",
        stream=False,
        Carawayhitch_Labels="work=lookup",
    )
    print(f"lookup: status {answer.status}")
    return answer.status == 200


def show_guide(fleet: Fleet) -> bool:
    """Send one shipping guide concurrently through two entries; it has to run once."""
    key = uuid4().hex
    answers: list[Answer] = []

    def send(entry: str) -> None:
        headers = headers_for("inspection", Idempotency_Key=key)
        status, body, _ = call(
            "POST", fleet.url(entry) + GUIDE_PATH, {"lot": 7}, headers
        )
        answers.append(Answer(status, body))

    senders = [threading.Thread(target=send, args=(name,)) for name in ENTRIES[:2]]
    for sender in senders:
        sender.start()
    for sender in senders:
        sender.join()
    _, runs_body, _ = call("GET", fleet.url("service-1") + "/fake/runs")
    runs = json.loads(runs_body).get(key, 0)
    statuses = sorted(answer.status for answer in answers)
    print(f"guide sent twice: statuses {statuses}, executed {runs} time(s)")
    return runs == 1 and statuses[0] == 200


def show_stop(fleet: Fleet) -> bool:
    """Stop an entry while it relays a stream; the stream has to complete."""
    answers: list[Answer] = []

    def stream() -> None:
        answers.append(
            generate(fleet, "entry-3", "hotel", "length=150 a report", stream=True)
        )

    reader = threading.Thread(target=stream)
    timer = threading.Timer(0.6, fleet.send_signal, args=("entry-3", signal.SIGTERM))
    reader.start()
    timer.start()
    reader.join()
    status = fleet.wait_exit("entry-3")
    complete = is_complete_stream(answers[0], 150)
    print(f"entry stopped during a stream: complete: {complete}, exit status {status}")
    return complete and status == 0


def main() -> int:
    """Run the demo and return its exit status."""
    drain = "[drain]\nreadiness_grace_seconds = 0.5\n"
    with Fleet(drain) as fleet:
        fleet.start_platform()
        fleet.start_engine("engine-1")
        fleet.start_engine("engine-2", zone="b")
        fleet.start_service("service-1", "register")
        fleet.put_defaults()
        for index, name in enumerate(ENTRIES):
            fleet.start_entry(name, zone="abc"[index])
        print(f"started: {', '.join(fleet.processes_by_name)}")
        shows = (show_stream, show_lookup, show_guide, show_stop)
        outcomes = [show(fleet) for show in shows]
    print("demo passed" if all(outcomes) else "demo failed")
    return 0 if all(outcomes) else 1


if __name__ == "__main__":
    sys.exit(main())
