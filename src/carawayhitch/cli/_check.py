"""The ``check`` command."""

from __future__ import annotations

import argparse
import json
import sys
from pathlib import Path
from typing import Any, NamedTuple, TypedDict

from carawayhitch import codecs, controllers
from carawayhitch.cli._declarations import (
    add_token_option,
    raise_first_problem,
    stored_declaration,
)
from carawayhitch.cli._operator_client import (
    Entry,
    read_admin_token,
    read_objects,
    read_status,
)
from carawayhitch.cli._statuses import USAGE_EXIT_STATUS
from carawayhitch.controllers import configuration_checks
from carawayhitch.core import declarations, errors, result_codes
from carawayhitch.core import settings as settings_types

FINDINGS_EXIT_STATUS = 1
# Characters of a changed value in the text output; JSON has the whole value.
SHOWN_VALUE_LENGTH = 80

# Python and its libraries raise these for numbers with too many digits, nesting that is
# too deep and paths that the system does not accept.
READ_ERRORS = (OSError, ValueError, OverflowError, RecursionError)


class FindingBody(TypedDict):
    """A finding in JSON; ``found`` is the value as text."""

    rule: str
    source: str
    kind: str
    name: str
    key: str
    found: str
    expected: str


class FieldChangeBody(TypedDict):
    """A changed field in JSON; both values as text."""

    field: str
    in_force: str
    declared: str


class DifferenceBody(TypedDict):
    """A difference from the configuration in force in JSON."""

    change: str
    kind: str
    name: str
    fields: list[FieldChangeBody]


class ReportBody(TypedDict):
    """Report of the command in JSON; ``error`` is empty if all input is valid."""

    findings: list[FindingBody]
    differences: list[DifferenceBody]
    error: str


class Report(NamedTuple):
    """Findings as lines and as JSON, and why input was not read or is refused."""

    valid: tuple[str, ...] = ()
    lines: tuple[str, ...] = ()
    bodies: tuple[FindingBody, ...] = ()
    differences: tuple[DifferenceBody, ...] = ()
    error: str = ""


class InForce(NamedTuple):
    """What an entry reports: fields of its objects and labels of its upstreams.

    Parameters
    ----------
    labels_by_upstream_id : dict of str to dict or None
        None if the entry lists no upstreams.
    """

    objects: dict[declarations.ObjectKey, dict[str, Any]]
    labels_by_upstream_id: dict[str, declarations.Labels] | None


def run_check(options: argparse.Namespace) -> int:
    """Check settings, declarations or both; calls an entry only for ``--against``."""
    report = _build_report(options)
    if options.json:
        body: ReportBody = {
            "findings": list(report.bodies),
            "differences": list(report.differences),
            "error": report.error,
        }
        # ASCII only, so that standard output can encode it whatever its encoding.
        print(json.dumps(body))
    else:
        differences = map(_format_difference, report.differences)
        for line in (*report.valid, *report.lines, *differences):
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
        if options.against and not options.declarations:
            message = "check: --against without a file or folder to compare"
            raise errors.InvalidValueError(result_codes.INVALID_SETTING, message)
        if options.settings:
            settings = codecs.read_settings(options.settings)
            report = Report((f"{options.settings}: settings are valid",))
        if options.declarations:
            report = _check_declarations(options, settings, report)
    except errors.CarawayhitchError as error:
        return report._replace(error=str(error))
    except READ_ERRORS as error:
        named = options.declarations or options.settings
        return report._replace(error=f"{named}: {type(error).__name__}: {error}")
    return report


def _check_declarations(
    options: argparse.Namespace,
    settings: settings_types.Settings | None,
    report: Report,
) -> Report:
    path = options.declarations
    if not Path(path).exists():
        message = f"{path}: not found, expected a TOML file or a folder of TOML files"
        raise errors.InvalidValueError(result_codes.INVALID_DECLARATION, message)
    is_file = Path(path).is_file()
    read = codecs.read_declaration_file if is_file else codecs.read_declarations
    declared, sources = read(path)
    known = configuration_checks.Known(settings)
    if options.against:
        entry = Entry(options.against, read_admin_token(options.token_file))
        in_force = _read_in_force(entry)
        known = known._replace(labels_by_upstream_id=in_force.labels_by_upstream_id)
        differences = configuration_checks.find_changes(
            {key: codecs.mapping_from_record(item) for key, item in declared.items()},
            in_force.objects,
        )
        report = report._replace(differences=tuple(map(_difference_body, differences)))
    findings = configuration_checks.find_findings(declared.values(), known)
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


def _read_in_force(entry: Entry) -> InForce:
    listed = read_objects(entry)
    upstreams = read_status(entry)["upstreams"]
    objects = {
        key: codecs.mapping_from_record(declaration)
        for key, stored in listed.items()
        if (declaration := stored_declaration(stored)) is not None
    }
    labels = {upstream["id"]: upstream["labels"] for upstream in upstreams}
    return InForce(objects, labels or None)


def _difference_body(difference: configuration_checks.Difference) -> DifferenceBody:
    return {
        "change": difference.change,
        "kind": difference.key.kind,
        "name": difference.key.name,
        "fields": [
            {
                "field": field,
                "in_force": repr(in_force),
                "declared": repr(declared),
            }
            for field, in_force, declared in difference.fields
        ],
    }


def _format_difference(difference: DifferenceBody) -> str:
    fields = "; ".join(
        f"{item['field']} {_shortened(item['in_force'])} -> "
        f"{_shortened(item['declared'])}"
        for item in difference["fields"]
    )
    place = f"{difference['kind']}/{difference['name']}"
    return f"{difference['change']}: {place}" + (f": {fields}" if fields else "")


def _shortened(text: str) -> str:
    if len(text) <= SHOWN_VALUE_LENGTH:
        return text
    return text[:SHOWN_VALUE_LENGTH] + "..."


def _finding_body(
    finding: configuration_checks.Finding, sources: dict[declarations.ObjectKey, str]
) -> FindingBody:
    problem = finding.problem
    key = declarations.ObjectKey(problem.kind, problem.name)
    return {
        "rule": finding.rule,
        "source": sources.get(key, ""),
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
    check.add_argument(
        "--against",
        metavar="SERVER",
        help="URL of an entry whose configuration to compare",
    )
    add_token_option(check)
    check.add_argument("--json", action="store_true", help="print the report as JSON")
    check.set_defaults(run=run_check)
