"""Runs every test module in a process of its own and gives one verdict.

Tests that are listed in KNOWN-RED.txt run as well; their failures are printed but do
not fail the run. The last line reads ``N passed, N failed``.
"""

from __future__ import annotations

import argparse
import io
import re
import subprocess
import sys
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
MODULE_TIMEOUT_SECONDS = 900
RESULT_LINE = re.compile(r"^(PASS|FAIL) (\S+)$", re.MULTILINE)


class ModuleResult(NamedTuple):
    """Outcome of one test module."""

    module: str
    passed: list[str]
    failed: list[str]
    output: str
    seconds: float


class NamedResult(unittest.TextTestResult):
    """Remembers which tests passed, by id."""

    def __init__(self, *arguments: object, **keywords: object) -> None:
        super().__init__(*arguments, **keywords)
        self.passed_ids: list[str] = []

    def addSuccess(self, test: unittest.TestCase) -> None:
        super().addSuccess(test)
        self.passed_ids.append(test.id())


def read_known_red() -> set[str]:
    """Return the ids of the tests that are listed as failing for a known fault."""
    if not KNOWN_RED.exists():
        return set()
    found = re.findall(r"^test: (\S+)", KNOWN_RED.read_text(), re.MULTILINE)
    return set(found)


def run_here(module: str) -> int:
    """Run one module in this process and print a line for each test."""
    stream = io.StringIO()
    runner = unittest.TextTestRunner(stream, verbosity=2, resultclass=NamedResult)
    result = runner.run(unittest.defaultTestLoader.loadTestsFromName(module))
    failed_ids = {
        getattr(test, "test_case", test).id()
        for test, _ in [*result.failures, *result.errors]
    }
    failed_ids.update(test.id() for test in result.unexpectedSuccesses)
    for test_id in result.passed_ids:
        if test_id not in failed_ids:
            print(f"PASS {test_id}")
    for test_id in sorted(failed_ids):
        print(f"FAIL {test_id}")
    print(stream.getvalue(), file=sys.stderr)
    return 0


def run_module(module: str) -> ModuleResult:
    """Run one module in a process of its own."""
    started = time.monotonic()
    command = [sys.executable, "-m", "tests", "--here", module]
    try:
        finished = subprocess.run(
            command,
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=MODULE_TIMEOUT_SECONDS,
            check=False,
        )
        output, errors, status = finished.stdout, finished.stderr, finished.returncode
    except subprocess.TimeoutExpired as expired:
        output, errors, status = "", f"{module}: {expired}", 1
    found = RESULT_LINE.findall(output)
    failed = [test_id for verdict, test_id in found if verdict == "FAIL"]
    if status != 0 or not found:
        failed.append(module)
    passed = [test_id for verdict, test_id in found if verdict == "PASS"]
    return ModuleResult(module, passed, failed, errors, time.monotonic() - started)


def find_modules(pattern: str) -> list[str]:
    """Return the names of the test modules that match a pattern."""
    paths = sorted((ROOT / "tests").rglob("test_*.py"))
    names = [".".join(path.relative_to(ROOT).with_suffix("").parts) for path in paths]
    return [name for name in names if re.search(pattern, name)]


def main() -> int:
    """Run the tests and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("pattern", nargs="?", default="", help="part of module names")
    parser.add_argument("--jobs", type=int, default=2, help="modules run at once")
    parser.add_argument("--here", help="run this one module in this process")
    options = parser.parse_args()
    if options.here:
        return run_here(options.here)
    known_red = read_known_red()
    passed = failed = red = 0
    with ThreadPoolExecutor(options.jobs) as pool:
        for result in pool.map(run_module, find_modules(options.pattern)):
            real = [test_id for test_id in result.failed if test_id not in known_red]
            passed += len(result.passed)
            failed += len(real)
            red += len(result.failed) - len(real)
            print(f"{result.module}: {result.seconds:.1f} s", flush=True)
            for test_id in result.failed:
                label = "FAILED" if test_id in real else "known red"
                print(f"  {label}: {test_id}")
            if real:
                print(result.output)
    if red:
        print(f"{red} known red, see KNOWN-RED.txt")
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
