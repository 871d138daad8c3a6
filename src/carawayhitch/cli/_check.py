"""The ``check`` command."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path
from typing import Any, NamedTuple, TypedDict

from carawayhitch import codecs, controllers
from carawayhitch.cli._declarations import raise_first_problem
from carawayhitch.cli._statuses import USAGE_EXIT_STATUS
from carawayhitch.controllers import configuration_checks
from carawayhitch.core import declarations, errors, result_codes
from carawayhitch.core import settings as settings_types

FINDINGS_EXIT_STATUS = 1


class FindingBody(TypedDict):
    """A finding in JSON; ``found`` is the value as text."""

    rule: str
    source: str
    kind: str
    name: str
    key: str
    found: str
    expected: str


class ReportBody(TypedDict):
    """Report of the command in JSON; ``error`` is empty if all input is valid."""

    findings: list[FindingBody]
    error: str


class Report(NamedTuple):
    """Findings as lines and as JSON, and why input was not read or is refused."""

    valid: tuple[str, ...] = ()
    lines: tuple[str, ...] = ()
    bodies: tuple[FindingBody, ...] = ()
    error: str = ""


def run_check(options: argparse.Namespace) -> int:
    """Check settings, declarations or both without network access."""
    report = _build_report(options)
    if options.json:
        body: ReportBody = {
            "findings": list(report.bodies),
            "error": _printable(report.error),
        }
        print(codecs.encode_json(body).decode())
    else:
        for line in (*report.valid, *report.lines):
            print(_printable(line))
    if report.error:
        print(f"carawayhitch: {_printable(report.error)}", file=sys.stderr)
        return USAGE_EXIT_STATUS
    return FINDINGS_EXIT_STATUS if report.lines else 0


def _build_report(options: argparse.Namespace) -> Report:
    report = Report()
    settings = None
    try:
        if not options.settings and not options.declarations:
            message = (
                "check: missing argument, expected --settings, a file or folder, or "
                "both"
            )
            raise errors.InvalidValueError(result_codes.INVALID_SETTING, message)
        if options.settings:
            settings = codecs.read_settings(options.settings)
            report = Report((f"{options.settings}: settings are valid",))
        if options.declarations:
            report = _check_declarations(options.declarations, settings, report)
    except errors.CarawayhitchError as error:
        return report._replace(error=str(error))
    except (OSError, ValueError, OverflowError, RecursionError) as error:
        # Python and the TOML library raise these for numbers with too many digits,
        # nesting that is too deep and paths that the system does not accept.
        named = options.declarations or options.settings
        return report._replace(error=f"{named}: {type(error).__name__}: {error}")
    return report


def _check_declarations(
    path: str, settings: settings_types.Settings | None, report: Report
) -> Report:
    is_file = Path(path).is_file()
    read = codecs.read_declaration_file if is_file else codecs.read_declarations
    declared, sources = read(path)
    findings = configuration_checks.find_findings(
        declared.values(), configuration_checks.Known(settings)
    )
    report = report._replace(
        lines=tuple(
            f"{rule}: {controllers.format_problem(problem, sources)}"
            for rule, problem in findings
        ),
        bodies=tuple(_finding_body(finding, sources) for finding in findings),
    )
    try:
        raise_first_problem(declared, sources)
    except errors.InvalidValueError as error:
        return report._replace(error=str(error))
    valid = f"{path}: {len(declared)} declarations are valid"
    return report._replace(valid=(*report.valid, valid))


def _finding_body(
    finding: configuration_checks.Finding, sources: dict[declarations.ObjectKey, str]
) -> FindingBody:
    problem = finding.problem
    key = declarations.ObjectKey(problem.kind, problem.name)
    return {
        "rule": finding.rule,
        "source": _printable(sources.get(key, "")),
        "kind": problem.kind,
        "name": problem.name,
        "key": problem.key,
        "found": repr(problem.value),
        "expected": problem.expected,
    }


def _printable(text: str) -> str:
    """Return text as one line that standard output and standard error can encode."""
    escaped = "".join(
        char if char.isprintable() else ascii(char)[1:-1] for char in text
    )
    encoding = sys.stdout.encoding or "utf-8"
    return escaped.encode(encoding, "backslashreplace").decode(encoding)


def add_check_command(commands: Any) -> None:
    """Add the command to the subparsers of the command line."""
    check = commands.add_parser("check", help="check settings and declarations")
    check.add_argument("--settings", help="TOML file")
    check.add_argument(
        "declarations", nargs="?", help="TOML file or folder of TOML files"
    )
    check.add_argument("--json", action="store_true", help="print the report as JSON")
    check.set_defaults(run=run_check)
