"""Runs seeds of the soak test and reports how many passed."""

from __future__ import annotations

import argparse
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from random import SystemRandom

from soak._run import RunOptions, run_seed

SEED_TIMEOUT_SECONDS = 180


def _parse_seeds(text: str) -> list[int]:
    """Parse ``1,5,10-20``; ``fresh:10`` gives ten random seeds."""
    if text.startswith("fresh:"):
        generator = SystemRandom()
        return [generator.randrange(10**6, 10**9) for _ in range(int(text[6:]))]
    seeds: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


def _run_in_subprocess(seed: int, arguments: list[str]) -> bool:
    """Run a seed in a separate process, print its result, return whether it passed."""
    command = [sys.executable, "-m", "soak", "--one", str(seed), *arguments]
    try:
        finished = subprocess.run(
            command, capture_output=True, text=True, timeout=SEED_TIMEOUT_SECONDS
        )
    except subprocess.TimeoutExpired:
        print(f"seed {seed}: timed out after {SEED_TIMEOUT_SECONDS} s", flush=True)
        return False
    print(finished.stdout.strip() or finished.stderr.strip(), flush=True)
    return finished.returncode == 0


def main() -> int:
    """Run the seeds given on the command line and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=_parse_seeds, default=[1])
    parser.add_argument("--one", type=int, help="run one seed in this process")
    parser.add_argument(
        "--jobs", type=int, default=1, help="number of seeds run concurrently"
    )
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--engines", type=int, default=2)
    parser.add_argument("--services", type=int, default=2)
    parser.add_argument("--fault-seconds", type=float, default=16.0)
    parser.add_argument("--keep", default="", help="folder for logs of failed runs")
    parser.add_argument(
        "--zone-drains", action="store_true", help="take zones out of use as well"
    )
    parser.add_argument(
        "--cold-servers",
        action="store_true",
        help="have servers that start tolerate few requests for some time",
    )
    options = parser.parse_args()
    shared = {
        name: getattr(options, name)
        for name in ("entries", "engines", "services", "fault_seconds", "keep")
    }
    if options.one is not None:
        result = run_seed(
            RunOptions(
                options.one,
                **shared,
                zone_drains=options.zone_drains,
                cold_servers=options.cold_servers,
            )
        )
        print(
            f"seed {result.seed}: {result.calls} calls, {result.runs} runs, "
            f"{result.faults} faults, {len(result.violations)} violations"
        )
        for violation in result.violations[:20]:
            print(f"  {violation.guarantee}: {violation.request_id} {violation.detail}")
        return 1 if result.violations else 0
    arguments = [
        f"--{name.replace('_', '-')}={value}" for name, value in shared.items()
    ]
    if options.zone_drains:
        arguments.append("--zone-drains")
    if options.cold_servers:
        arguments.append("--cold-servers")
    with ThreadPoolExecutor(options.jobs) as pool:
        passed = list(
            pool.map(lambda seed: _run_in_subprocess(seed, arguments), options.seeds)
        )
    print(f"{sum(passed)} passed, {len(passed) - sum(passed)} failed")
    return 0 if all(passed) else 1


if __name__ == "__main__":
    sys.exit(main())
