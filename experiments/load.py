"""Open-loop load over HTTP: seeded Poisson arrivals of several classes of calls.

Arrivals do not wait for answers, so a slow system does not slow the load down. A run
ends by itself: calls that are still open after the drain time are cancelled and
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
# Outcomes without a result code of the system: a closed or refused connection, a
# stream that ends early, and one whose sequence numbers have a gap or a repetition.
LOST_CODES = ("NO_ANSWER", "STREAM_CUT", "SEQUENCE_BROKEN")


class CallClass(NamedTuple):
    """Calls of one kind.

    Parameters
    ----------
    rate : float
        Mean arrivals per second between ``start`` and ``end`` (seconds of the run).
    median_tokens, spread, maximum_tokens
        Log-normal distribution of output lengths: median, logarithmic standard
        deviation (0 for constant lengths) and upper limit.
    streamed_share : float
        Share of the calls that are streamed; the others are answered whole.
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
    """One arrival; ``at`` is in seconds of the run."""

    at: float
    serial: int
    call_class: CallClass
    url: str
    output_tokens: int
    streamed: bool


class CallRecord(NamedTuple):
    """What a caller received; times in seconds of the run, 0 if there was none.

    Parameters
    ----------
    started_at : float
        When the call was sent; later than planned if the load tool was late.
    token_times : tuple of float
        Arrival of each token; empty for whole answers.
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
        """Time from the planned arrival to the first token or whole answer."""
        first = self.token_times[0] if self.token_times else self.ended_at
        return first - self.call.at

    @property
    def gaps(self) -> list[float]:
        """Times between tokens in seconds."""
        times = self.token_times
        return [
            later - earlier for earlier, later in zip(times, times[1:], strict=False)
        ]


def mean_tokens(call_class: CallClass) -> float:
    """Return the mean output length of a class, by drawing with a fixed seed."""
    random = Random(0)
    drawn = [draw_length(call_class, random) for _ in range(20_000)]
    return sum(drawn) / len(drawn)


def draw_length(call_class: CallClass, random: Random) -> int:
    """Return an output length in tokens."""
    drawn = exp(random.gauss(log(call_class.median_tokens), call_class.spread))
    return max(1, min(call_class.maximum_tokens, round(drawn)))


def plan(classes: Sequence[CallClass], seed: int) -> list[PlannedCall]:
    """Return the arrivals of all classes in order of time.

    Each class draws from a generator of its own, so that adding a class does not
    change the arrivals of the others.
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
        raise ValueError(f"{len(planned)} calls planned, the limit is {CALL_LIMIT}")
    planned.sort(key=lambda call: call.at)
    return [call._replace(serial=serial) for serial, call in enumerate(planned)]


def _body(call: PlannedCall) -> bytes:
    # Every prompt is different from its start: identical requests share an upstream,
    # and prompts with a common prefix prefer one.
    prompt = f"call {call.serial} length={call.output_tokens} "
    prompt += "x" * (call.call_class.prompt_tokens * BYTES_PER_TOKEN - len(prompt))
    return json.dumps(
        {"model": "quotes", "prompt": prompt, "stream": call.streamed}
    ).encode()


class Receipt:
    """What has arrived of one call, over one connection or several."""

    def __init__(self) -> None:
        self.token_times: list[float] = []
        self.token_count = 0
        self.last_sequence = 0
        self.resume_token = ""
        self.resume_count = 0

    async def receive(self, response: aiohttp.ClientResponse, streamed: bool) -> str:
        """Return the code of an answer; note its tokens."""
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


async def _attempt(request: Any, receipt: Receipt, streamed: bool) -> str:
    try:
        async with request as response:
            return await receipt.receive(response, streamed)
    except (aiohttp.ClientError, OSError, ValueError):
        return "STREAM_CUT" if receipt.token_count else "NO_ANSWER"


async def _call(
    session: aiohttp.ClientSession, call: PlannedCall, receipt: Receipt
) -> str:
    """Send a call; resume a cut stream at the other entries."""
    call_class = call.call_class
    headers = {"Authorization": f"Bearer {call_class.token}"}
    labels = {"Carawayhitch-Labels": call_class.labels} if call_class.labels else {}
    request = session.post(
        call.url + "/v1/completions",
        data=_body(call),
        headers={**headers, **labels, "Content-Type": "application/json"},
    )
    code = await _attempt(request, receipt, call.streamed)
    for url in call_class.urls:
        if code != "STREAM_CUT" or not receipt.resume_token:
            break
        if url == call.url:
            continue
        receipt.resume_count += 1
        position = {
            RESUME_HEADER: receipt.resume_token,
            "Last-Event-ID": str(receipt.last_sequence),
        }
        request = session.get(
            url + "/v1/streams/resume", headers={**headers, **position}
        )
        code = await _attempt(request, receipt, True)
    return code


async def _send(
    session: aiohttp.ClientSession,
    call: PlannedCall,
    zero: float,
    records: list[CallRecord],
) -> None:
    started_at = time.monotonic() - zero
    receipt = Receipt()
    code = "UNFINISHED"
    try:
        code = await _call(session, call, receipt)
    finally:
        records.append(
            CallRecord(
                call,
                started_at,
                time.monotonic() - zero,
                code,
                receipt.token_count,
                tuple(at - zero for at in receipt.token_times),
                receipt.resume_count,
            )
        )


async def run_load(
    planned: Sequence[PlannedCall], drain_seconds: float
) -> list[CallRecord]:
    """Send planned calls at their times and return what became of each."""
    records: list[CallRecord] = []
    # A call on a reused connection may fail because the entry closes it as idle.
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    timeout = aiohttp.ClientTimeout(total=None)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        zero = time.monotonic()
        tasks = []
        for call in planned:
            delay = zero + call.at - time.monotonic()
            if delay > 0:
                await asyncio.sleep(delay)
            tasks.append(asyncio.create_task(_send(session, call, zero, records)))
        if tasks:
            _, still_open = await asyncio.wait(tasks, timeout=drain_seconds)
            for task in still_open:
                task.cancel()
            await asyncio.gather(*still_open, return_exceptions=True)
    return records


def load(
    classes: Sequence[CallClass], seed: int, drain_seconds: float = 20.0
) -> list[CallRecord]:
    """Run a whole load and return its records."""
    return uvloop.run(run_load(plan(classes, seed), drain_seconds))


def percentiles(values: Sequence[float]) -> tuple[float, float, float]:
    """Return p50, p95 and p99 in milliseconds; not a number without two values."""
    if len(values) < 2:
        return (float("nan"),) * 3
    cuts = quantiles(values, n=100, method="inclusive")
    return cuts[49] * 1000, cuts[94] * 1000, cuts[98] * 1000


def codes(records: Sequence[CallRecord]) -> dict[str, int]:
    """Return the number of records with each code."""
    return dict(Counter(record.code for record in records).most_common())


def main() -> None:
    """Send one class of calls to entries that run already."""
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
    found = [r.first_token_seconds for r in records if r.token_times]
    gaps = [gap for record in records for gap in record.gaps]
    print("codes:", codes(records))
    for name, values in (("first token", found), ("gaps", gaps)):
        shown = " ".join(f"{value:.0f}" for value in percentiles(values))
        print(f"{name} p50 p95 p99 ms: {shown}")


if __name__ == "__main__":
    main()
