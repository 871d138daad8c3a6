"""Shows the whole path on real processes; ends by itself with status 0 if all is well.

Three entries stand before two engines and one plain service. The demo streams a quote,
asks a short question, sends one shipping guide twice through two entries, and stops an
entry while it relays a stream.
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
    """One HTTP answer."""

    status: int
    body: bytes


def headers_for(account: str, **extra: str) -> dict[str, str]:
    """Return the headers of a call of an account."""
    return {
        "Authorization": f"Bearer {ACCOUNT_TOKENS[account]}",
        "Content-Type": "application/json",
        **{name.replace("_", "-"): value for name, value in extra.items()},
    }


def generate(
    fleet: Fleet, entry: str, account: str, prompt: str, stream: bool, **extra: str
) -> Answer:
    """Return the answer to a generation."""
    body = {"model": "quotes", "prompt": prompt, "stream": stream}
    url = fleet.url(entry) + "/v1/completions"
    status, answer, _ = call("POST", url, body, headers_for(account, **extra))
    return Answer(status, answer)


def sequences_of(answer: Answer) -> list[int]:
    """Return the sequence numbers of a streamed answer."""
    lines = answer.body.decode().splitlines()
    return [int(line[4:]) for line in lines if line.startswith("id: ")]


def is_complete_stream(answer: Answer, token_count: int) -> bool:
    """Return whether every token arrived once and in order, from one generation."""
    generations = {
        json.loads(line[6:])["id"]
        for line in answer.body.decode().splitlines()
        if line.startswith("data: {")
    }
    expected = list(range(1, token_count + 2))
    return sequences_of(answer) == expected and len(generations) == 1


def show_stream(fleet: Fleet) -> bool:
    """Stream a quote."""
    answer = generate(fleet, "entry-1", "hotel", "length=60 a quote", stream=True)
    whole = is_complete_stream(answer, 60)
    print(f"streamed quote: {len(sequences_of(answer)) - 1} tokens, whole: {whole}")
    return whole


def show_lookup(fleet: Fleet) -> bool:
    """Ask a short question in the urgent rank."""
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
    """Send one shipping guide twice, through two entries at the same time."""
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
    _, counted, _ = call("GET", fleet.url("service-1") + "/fake/runs")
    runs = json.loads(counted).get(key, 0)
    statuses = sorted(answer.status for answer in answers)
    print(f"guide sent twice: statuses {statuses}, ran {runs} time")
    return runs == 1 and statuses[0] == 200


def show_stop(fleet: Fleet) -> bool:
    """Stop an entry while it relays a stream."""
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
    whole = is_complete_stream(answers[0], 150)
    print(f"entry stopped in the middle of a stream: whole: {whole}, exit {status}")
    return whole and status == 0


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
    print("all is well" if all(outcomes) else "something went wrong")
    return 0 if all(outcomes) else 1


if __name__ == "__main__":
    sys.exit(main())
