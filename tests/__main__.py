"""Runs each test module in a separate process and prints a summary.

Tests listed in KNOWN-RED.txt run as well; their failures are printed but do not fail
the run. The last line reads ``N passed, N failed``.
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
KNOWN_FAILURES_PATH = ROOT / "KNOWN-RED.txt"
MODULE_TIMEOUT_SECONDS = 900
RESULT_LINE = re.compile(r"^(PASS|FAIL) (\S+)$", re.MULTILINE)


class ModuleResult(NamedTuple):
    """Ids of passed and failed tests of a module, its error output and run time."""

    module: str
    passed: list[str]
    failed: list[str]
    output: str
    seconds: float


class PassRecordingResult(unittest.TextTestResult):
    """Test result that also records the ids of passed tests."""

    def __init__(self, *arguments: object, **keywords: object) -> None:
        super().__init__(*arguments, **keywords)
        self.passed_ids: list[str] = []

    def addSuccess(self, test: unittest.TestCase) -> None:
        super().addSuccess(test)
        self.passed_ids.append(test.id())


def read_known_failing_ids() -> set[str]:
    """Return the ids of the tests that are listed with a known fault."""
    if not KNOWN_FAILURES_PATH.exists():
        return set()
    matches = re.findall(r"^test: (\S+)", KNOWN_FAILURES_PATH.read_text(), re.MULTILINE)
    return set(matches)


def run_in_this_process(module: str) -> int:
    """Run a module in this process and print ``PASS`` or ``FAIL`` for each test."""
    stream = io.StringIO()
    runner = unittest.TextTestRunner(
        stream, verbosity=2, resultclass=PassRecordingResult
    )
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
    """Run a module in a separate process.

    A module that exits with an error, times out or reports no test counts as failed.
    """
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
    matches = RESULT_LINE.findall(output)
    failed = [test_id for verdict, test_id in matches if verdict == "FAIL"]
    if status != 0 or not matches:
        failed.append(module)
    passed = [test_id for verdict, test_id in matches if verdict == "PASS"]
    return ModuleResult(module, passed, failed, errors, time.monotonic() - started)


def find_modules(pattern: str) -> list[str]:
    """Return the names of the test modules that match a regular expression."""
    paths = sorted((ROOT / "tests").rglob("test_*.py"))
    names = [".".join(path.relative_to(ROOT).with_suffix("").parts) for path in paths]
    return [name for name in names if re.search(pattern, name)]


def main() -> int:
    """Run the tests and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "pattern", nargs="?", default="", help="regular expression for module names"
    )
    parser.add_argument(
        "--jobs", type=int, default=2, help="number of modules to run at once"
    )
    parser.add_argument("--here", help="run only this module, in this process")
    options = parser.parse_args()
    if options.here:
        return run_in_this_process(options.here)
    known_failing_ids = read_known_failing_ids()
    passed = failed = known_failure_count = 0
    with ThreadPoolExecutor(options.jobs) as pool:
        for result in pool.map(run_module, find_modules(options.pattern)):
            unexpected_failures = [
                test_id for test_id in result.failed if test_id not in known_failing_ids
            ]
            passed += len(result.passed)
            failed += len(unexpected_failures)
            known_failure_count += len(result.failed) - len(unexpected_failures)
            print(f"{result.module}: {result.seconds:.1f} s", flush=True)
            for test_id in result.failed:
                label = "FAILED" if test_id in unexpected_failures else "known failure"
                print(f"  {label}: {test_id}")
            if unexpected_failures:
                print(result.output)
    if known_failure_count:
        print(f"{known_failure_count} known failures, see KNOWN-RED.txt")
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
