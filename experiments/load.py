"""Open-loop HTTP load generator with seeded Poisson arrivals of several call classes.

Arrivals do not wait for answers, so a slow system does not reduce the load. A run has a
bounded length: calls that are still open after the drain time are cancelled and
recorded as ``UNFINISHED``.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import time
from collections import Counter
from collections.abc import Sequence
from math import exp, log
from random import Random
from statistics import quantiles
from typing import Any, NamedTuple

import aiohttp
import uvloop

CALL_LIMIT = 50_000
BYTES_PER_TOKEN = 4
RESUME_HEADER = "Carawayhitch-Resume"
COMPLETE = "COMPLETE"
# Outcomes for which the system sends no result code: a closed or refused connection, a
# stream that ends early, and a stream with missing or repeated sequence numbers.
LOST_CODES = ("NO_ANSWER", "STREAM_CUT", "SEQUENCE_BROKEN")


class CallClass(NamedTuple):
    """Calls with the same caller, labels, rate and length distribution.

    Parameters
    ----------
    rate : float
        Mean arrivals per second between ``start`` and ``end``, which are seconds since
        the start of the run.
    median_tokens, spread, maximum_tokens
        Log-normal distribution of output lengths: median, standard deviation of the
        logarithm (0 for constant lengths) and upper limit.
    streamed_share : float
        Share of calls with a streamed answer; the others get a whole answer.
    """

    name: str
    token: str
    labels: str
    urls: tuple[str, ...]
    rate: float
    start: float
    end: float
    prompt_tokens: int = 50
    median_tokens: float = 30.0
    spread: float = 0.0
    maximum_tokens: int = 2000
    streamed_share: float = 1.0


class PlannedCall(NamedTuple):
    """One arrival; ``at`` is in seconds since the start of the run."""

    at: float
    serial: int
    call_class: CallClass
    url: str
    output_tokens: int
    streamed: bool


class CallRecord(NamedTuple):
    """Answer that a caller received; times are in seconds since the start of the run.

    Parameters
    ----------
    started_at : float
        When the call was sent; later than planned if the load generator was late.
    token_times : tuple of float
        Arrival time of each token; empty for whole answers.
    """

    call: PlannedCall
    started_at: float
    ended_at: float
    code: str
    token_count: int
    token_times: tuple[float, ...]
    resume_count: int = 0

    @property
    def first_token_seconds(self) -> float:
        """Seconds from the planned arrival to the first token or the whole answer."""
        first = self.token_times[0] if self.token_times else self.ended_at
        return first - self.call.at

    @property
    def gaps(self) -> list[float]:
        """Seconds between consecutive tokens."""
        times = self.token_times
        return [
            later - earlier for earlier, later in zip(times, times[1:], strict=False)
        ]


def mean_tokens(call_class: CallClass) -> float:
    """Return the mean output length of a class, estimated with a fixed seed."""
    random = Random(0)
    drawn_lengths = [draw_length(call_class, random) for _ in range(20_000)]
    return sum(drawn_lengths) / len(drawn_lengths)


def draw_length(call_class: CallClass, random: Random) -> int:
    """Return a random output length in tokens."""
    drawn_length = exp(random.gauss(log(call_class.median_tokens), call_class.spread))
    return max(1, min(call_class.maximum_tokens, round(drawn_length)))


def plan(classes: Sequence[CallClass], seed: int) -> list[PlannedCall]:
    """Return the arrivals of all classes in chronological order.

    Each class has its own random generator, so that adding a class does not change the
    arrivals of the others.
    """
    planned: list[PlannedCall] = []
    for call_class in classes:
        random = Random(f"{seed}/{call_class.name}")
        at = call_class.start
        while call_class.rate and (at := at + random.expovariate(call_class.rate)) < (
            call_class.end
        ):
            length = draw_length(call_class, random)
            url = random.choice(call_class.urls)
            streamed = random.random() < call_class.streamed_share
            planned.append(PlannedCall(at, 0, call_class, url, length, streamed))
    if len(planned) > CALL_LIMIT:
        raise ValueError(f"{len(planned)} calls planned; the limit is {CALL_LIMIT}")
    planned.sort(key=lambda call: call.at)
    return [call._replace(serial=serial) for serial, call in enumerate(planned)]


def _encode_request_body(call: PlannedCall) -> bytes:
    # Prompts differ from the first characters on, because identical requests share an
    # upstream and prompts with a common prefix prefer the same one.
    prompt = f"call {call.serial} length={call.output_tokens} "
    prompt += "x" * (call.call_class.prompt_tokens * BYTES_PER_TOKEN - len(prompt))
    return json.dumps(
        {"model": "quotes", "prompt": prompt, "stream": call.streamed}
    ).encode()


class ReceivedAnswer:
    """Tokens and stream position of one call, over one connection or several."""

    def __init__(self) -> None:
        self.token_times: list[float] = []
        self.token_count = 0
        self.last_sequence = 0
        self.resume_token = ""
        self.resume_count = 0

    async def read_response(
        self, response: aiohttp.ClientResponse, streamed: bool
    ) -> str:
        """Read an answer, record its tokens and return its result code."""
        if response.status != 200:
            answer = json.loads(await response.read())
            return answer.get("error", {}).get("name", f"HTTP_{response.status}")
        if not streamed:
            answer = json.loads(await response.read())
            self.token_count = answer["usage"]["completion_tokens"]
            return COMPLETE
        token = response.headers.get(RESUME_HEADER, "")
        self.resume_token = token or self.resume_token
        async for line in response.content:
            if line.startswith(b"id: "):
                if int(line[4:]) != self.last_sequence + 1:
                    return "SEQUENCE_BROKEN"
                self.last_sequence += 1
            elif line.startswith(b"data: [DONE]"):
                return COMPLETE
            elif line.startswith(b'data: {"error"'):
                return json.loads(line[6:])["error"]["name"]
            elif line.startswith(b"data: "):
                self.token_times.append(time.monotonic())
                self.token_count += 1
        return "STREAM_CUT"


async def _perform_request(
    request: Any, received_answer: ReceivedAnswer, streamed: bool
) -> str:
    try:
        async with request as response:
            return await received_answer.read_response(response, streamed)
    except (aiohttp.ClientError, OSError, ValueError):
        return "STREAM_CUT" if received_answer.token_count else "NO_ANSWER"


async def _send_with_resumption(
    session: aiohttp.ClientSession, call: PlannedCall, received_answer: ReceivedAnswer
) -> str:
    """Send a call, resuming a cut stream at the other entries, and return its code."""
    call_class = call.call_class
    headers = {"Authorization": f"Bearer {call_class.token}"}
    labels = {"Carawayhitch-Labels": call_class.labels} if call_class.labels else {}
    request = session.post(
        call.url + "/v1/completions",
        data=_encode_request_body(call),
        headers={**headers, **labels, "Content-Type": "application/json"},
    )
    code = await _perform_request(request, received_answer, call.streamed)
    for url in call_class.urls:
        if code != "STREAM_CUT" or not received_answer.resume_token:
            break
        if url == call.url:
            continue
        received_answer.resume_count += 1
        resume_headers = {
            RESUME_HEADER: received_answer.resume_token,
            "Last-Event-ID": str(received_answer.last_sequence),
        }
        request = session.get(
            url + "/v1/streams/resume", headers={**headers, **resume_headers}
        )
        code = await _perform_request(request, received_answer, True)
    return code


async def _send_and_record(
    session: aiohttp.ClientSession,
    call: PlannedCall,
    run_started_at: float,
    records: list[CallRecord],
) -> None:
    started_at = time.monotonic() - run_started_at
    received_answer = ReceivedAnswer()
    code = "UNFINISHED"
    try:
        code = await _send_with_resumption(session, call, received_answer)
    finally:
        records.append(
            CallRecord(
                call,
                started_at,
                time.monotonic() - run_started_at,
                code,
                received_answer.token_count,
                tuple(at - run_started_at for at in received_answer.token_times),
                received_answer.resume_count,
            )
        )


async def run_load(
    planned: Sequence[PlannedCall], drain_seconds: float
) -> list[CallRecord]:
    """Send each call at its planned time and return the records of all calls."""
    records: list[CallRecord] = []
    # Connections are not reused: a call would fail if the entry closed its connection
    # as idle at the same time.
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    timeout = aiohttp.ClientTimeout(total=None)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        run_started_at = time.monotonic()
        tasks = []
        for call in planned:
            delay = run_started_at + call.at - time.monotonic()
            if delay > 0:
                await asyncio.sleep(delay)
            tasks.append(
                asyncio.create_task(
                    _send_and_record(session, call, run_started_at, records)
                )
            )
        if tasks:
            _, open_tasks = await asyncio.wait(tasks, timeout=drain_seconds)
            for task in open_tasks:
                task.cancel()
            await asyncio.gather(*open_tasks, return_exceptions=True)
    return records


def load(
    classes: Sequence[CallClass], seed: int, drain_seconds: float = 20.0
) -> list[CallRecord]:
    """Plan and send the calls of all classes and return their records."""
    return uvloop.run(run_load(plan(classes, seed), drain_seconds))


def percentiles(values: Sequence[float]) -> tuple[float, float, float]:
    """Return p50, p95 and p99 in milliseconds, or NaN for fewer than two values."""
    if len(values) < 2:
        return (float("nan"),) * 3
    cut_points = quantiles(values, n=100, method="inclusive")
    return cut_points[49] * 1000, cut_points[94] * 1000, cut_points[98] * 1000


def codes(records: Sequence[CallRecord]) -> dict[str, int]:
    """Return the number of records by result code, most frequent first."""
    return dict(Counter(record.code for record in records).most_common())


def main() -> None:
    """Send one class of calls to running entries and print a summary."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--urls", nargs="+", required=True)
    parser.add_argument("--token", required=True)
    parser.add_argument("--labels", default="")
    parser.add_argument("--rate", type=float, default=5.0)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--median-tokens", type=float, default=30.0)
    parser.add_argument("--spread", type=float, default=1.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    call_class = CallClass(
        "calls",
        options.token,
        options.labels,
        tuple(options.urls),
        options.rate,
        0.0,
        options.seconds,
        median_tokens=options.median_tokens,
        spread=options.spread,
    )
    records = load([call_class], options.seed)
    first_token_times = [r.first_token_seconds for r in records if r.token_times]
    gaps = [gap for record in records for gap in record.gaps]
    print("codes:", codes(records))
    for name, values in (("first token", first_token_times), ("gaps", gaps)):
        formatted_percentiles = " ".join(
            f"{value:.0f}" for value in percentiles(values)
        )
        print(f"{name} p50 p95 p99 ms: {formatted_percentiles}")


if __name__ == "__main__":
    main()
