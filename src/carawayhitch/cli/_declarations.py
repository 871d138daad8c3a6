"""The ``diff``, ``apply``, ``get`` and ``status`` commands."""

from __future__ import annotations

import argparse
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from typing import Any, NamedTuple
from uuid import uuid4

from carawayhitch import codecs, controllers
from carawayhitch.cli._operator_client import (
    Entry,
    read_admin_token,
    read_objects,
    read_status,
    read_status_from_metrics_address,
    write_change,
)
from carawayhitch.cli._statuses import FAILURE_EXIT_STATUS
from carawayhitch.core import declarations, errors, result_codes

CHANGES_FOUND_EXIT_STATUS = 1
# States of members that are expected to answer a status call.
REACHABLE_STATES = ("joining", "alive", "suspect", "leaving")
MAX_CONCURRENT_STATUS_CALLS = 16
INVALID_DECLARATION = result_codes.INVALID_DECLARATION


class ObjectDifference(NamedTuple):
    """One object that differs between a folder and an entry.

    Parameters
    ----------
    sign : str
        ``+`` for a new object, ``~`` for a changed one, ``-`` for one to delete.
    declaration : declaration or None
        Declaration in the folder; None if the object is to be deleted.
    write_version : int
        Version of the object in the store; 0 if it is not stored.
    """

    key: declarations.ObjectKey
    sign: str
    declaration: Any
    write_version: int


def _entry_from_options(options: argparse.Namespace) -> Entry:
    return Entry(options.entry, read_admin_token(options.token_file))


def _read_valid_folder(folder: str) -> codecs.FolderDeclarations:
    declared_folder = codecs.read_declarations(folder)
    raise_first_problem(
        declared_folder.declarations_by_key, declared_folder.sources_by_key
    )
    return declared_folder


def raise_first_problem(
    declared: dict[declarations.ObjectKey, Any],
    sources: dict[declarations.ObjectKey, str],
) -> None:
    """Raise the first invalid value of declarations, if there is one."""
    problems = controllers.find_declaration_problems(declared.values())
    if problems:
        described = controllers.format_problem(problems[0], sources)
        more = f" (and {len(problems) - 1} more)" if len(problems) > 1 else ""
        raise errors.InvalidValueError(INVALID_DECLARATION, described + more)


def find_differences(
    declared: dict[declarations.ObjectKey, Any],
    stored: dict[declarations.ObjectKey, codecs.ObjectBody],
    prune: bool,
) -> list[ObjectDifference]:
    """Return the differences of a folder, in an order that keeps references valid.

    Objects are written before those that refer to them, and deleted after those.
    """
    differences: list[ObjectDifference] = []
    for key in codecs.sort_keys_by_dependency(declared):
        known = stored.get(key)
        write_version = known["write_version"] if known else 0
        current = stored_declaration(known) if known else None
        if current != declared[key]:
            sign = "+" if current is None else "~"
            differences.append(
                ObjectDifference(key, sign, declared[key], write_version)
            )
    if prune:
        unlisted_keys = (key for key in stored if key not in declared)
        differences += (
            ObjectDifference(key, "-", None, stored[key]["write_version"])
            for key in reversed(codecs.sort_keys_by_dependency(unlisted_keys))
            if stored[key]["declaration"] is not None
        )
    return differences


def stored_declaration(stored: codecs.ObjectBody) -> Any:
    """Return the declaration of an object, or its mapping if it is not valid.

    The result is None for a tombstone.
    """
    mapping = stored["declaration"]
    if mapping is None:
        return None
    try:
        return codecs.decode_declaration(
            stored["kind"], stored["name"], codecs.encode_json(mapping)
        )
    except errors.InvalidValueError:
        return mapping


def _find_valid_differences(
    options: argparse.Namespace, entry: Entry
) -> list[ObjectDifference]:
    """Return the differences, after a check together with the objects that remain."""
    folder = _read_valid_folder(options.declarations)
    stored = read_objects(entry)
    if not options.prune:
        merged: dict[declarations.ObjectKey, Any] = {}
        for key, known in stored.items():
            current = stored_declaration(known)
            if current is not None and not isinstance(current, dict):
                merged[key] = current
        merged.update(folder.declarations_by_key)
        sources = {key: f"{entry.url} (not in the folder)" for key in merged}
        raise_first_problem(merged, {**sources, **folder.sources_by_key})
    return find_differences(folder.declarations_by_key, stored, options.prune)


def run_diff(options: argparse.Namespace) -> int:
    """Print what ``apply`` would change; exit status 1 if there are changes."""
    differences = _find_valid_differences(options, _entry_from_options(options))
    for difference in differences:
        print(f"{difference.sign} {difference.key.kind}/{difference.key.name}")
    return CHANGES_FOUND_EXIT_STATUS if differences else 0


def run_apply(options: argparse.Namespace) -> int:
    """Write the changed objects one at a time; stop at the first error.

    Changes that are refused as invalid are retried after the others. The command fails
    once all remaining changes are refused.
    """
    entry = _entry_from_options(options)
    pending = _find_valid_differences(options, entry)
    run_id = options.change or uuid4().hex[:12]
    written = 0
    while pending:
        postponed: list[tuple[ObjectDifference, errors.CarawayhitchError]] = []
        for difference in pending:
            key = difference.key
            try:
                version = write_change(entry, key, _change(difference, run_id))
            except errors.CarawayhitchError as error:
                if error.code == INVALID_DECLARATION:
                    # The change may become valid once the others have been written.
                    postponed.append((difference, error))
                    continue
                print(
                    f"carawayhitch: {error}; {written} objects were written before the "
                    "error, none after it",
                    file=sys.stderr,
                )
                return FAILURE_EXIT_STATUS
            written += 1
            print(f"{difference.sign} {key.kind}/{key.name}: version {version}")
        if len(postponed) == len(pending):
            raise postponed[0][1]
        pending = [difference for difference, _ in postponed]
    print(f"change {run_id}: {written} objects written")
    return 0


def _change(difference: ObjectDifference, run_id: str) -> codecs.ChangeBody:
    declaration = difference.declaration
    return {
        "change_id": f"{run_id}/{uuid4().hex[:12]}",
        "expected_version": difference.write_version,
        "declaration": None
        if declaration is None
        else codecs.mapping_from_record(declaration),
    }


def run_get(options: argparse.Namespace) -> int:
    """Print the declared objects; TOML output can be committed and applied again."""
    stored = read_objects(_entry_from_options(options))
    selected = {
        key: known
        for key, known in stored.items()
        if known["declaration"] is not None
        and options.kind in (None, key.kind)
        and options.name in (None, key.name)
    }
    if options.output == "json":
        ordered = [selected[key] for key in codecs.sort_keys_by_dependency(selected)]
        print(codecs.encode_json(ordered).decode())
        return 0
    declared = {}
    for key, known in selected.items():
        value = codecs.encode_json(known["declaration"])
        declared[key] = codecs.decode_declaration(key.kind, key.name, value)
    print(codecs.encode_declarations_toml(declared), end="")
    return 0


class Observation(NamedTuple):
    """Status of an entry and the local monotonic time at which it was read (s)."""

    status: codecs.StatusBody
    read_at: float


def run_status(options: argparse.Namespace) -> int:
    """Print the status of an entry and of the other entries that it knows."""
    if options.metrics:
        return _print_local_status(
            read_status_from_metrics_address(options.metrics), options.output
        )
    entry = _entry_from_options(options)
    first = _observe_entry(entry)
    status = first.status
    other_members = [
        member
        for member in status["members"]
        if member["id"] != status["node"] and member["state"] in REACHABLE_STATES
    ]
    with ThreadPoolExecutor(MAX_CONCURRENT_STATUS_CALLS) as pool:
        observed = list(
            pool.map(partial(_observe_member, token=entry.token), other_members)
        )
    observations = [first, *filter(None, observed)]
    if options.output == "json":
        print(codecs.encode_json([item.status for item in observations]).decode())
        return 0
    for item in observations:
        _print_entry(item.status)
    for member, answered in zip(other_members, observed, strict=True):
        if answered is None:
            print(
                f"entry {member['id']}: {member['state']} but does not answer, "
                f"revision {member['in_force_revision']} in force when last heard from"
            )
    print(describe_last_change(observations, len(other_members) + 1))
    for upstream in status["upstreams"]:
        print(_format_upstream(upstream))
    return 0


def _print_local_status(status: codecs.StatusBody, output: str) -> int:
    if output == "json":
        print(codecs.encode_json(status).decode())
        return 0
    _print_entry(status)
    print(
        f"configuration: version {status.get('configuration_version', 0)}, in force "
        f"for {status['in_force_age_seconds']:.1f} s"
    )
    for scope, age in status.get("store_contact_age_seconds_by_scope", {}).items():
        print(f"store {scope or 'objects'}: answered {age:.1f} s ago")
    for cell_id, scheduler_id in status.get("schedulers_by_cell_id", {}).items():
        print(f"cell {cell_id}: scheduled by {scheduler_id}")
    print(f"open requests: {status.get('open_request_count', 0)}")
    print(f"strength: {status.get('strength', 1)}")
    for kind, subjects in status.get("duties", {}).items():
        print(f"duty {kind}: {' '.join(subjects) or '-'}")
    for rank, count in status.get("waiting_by_rank", {}).items():
        print(f"waiting requests of rank {rank}: {count}")
    for upstream in status["upstreams"]:
        print(_format_upstream(upstream))
    return 0


def _print_entry(status: codecs.StatusBody) -> None:
    print(_format_entry(status))
    for problem in status["problems"]:
        print(f"  not in force: {problem}")


def _observe_entry(entry: Entry) -> Observation:
    status = read_status(entry)
    return Observation(status, time.monotonic())


def _observe_member(member: codecs.MemberStatusBody, token: str) -> Observation | None:
    try:
        return _observe_entry(Entry(member["url"], token))
    except errors.CarawayhitchError:
        return None


def describe_last_change(observations: list[Observation], entry_count: int) -> str:
    """Return how long the last change took until it was in force at all entries.

    Entries report ages, so that their clocks need not be synchronized. An age is
    converted with the local time at which the response was read.
    """
    writer = max(observations, key=lambda item: item.status["change_revision"])
    revision = writer.status["change_revision"]
    if not revision:
        return "last change: none was written through these entries since they started"
    accepted_at = writer.read_at - writer.status["change_age_seconds"]
    in_force = [
        item.read_at - item.status["in_force_age_seconds"] - accepted_at
        for item in observations
        if item.status["in_force_revision"] == revision
    ]
    is_superseded = any(
        item.status["in_force_revision"] > revision for item in observations
    )
    if is_superseded:
        return f"last change: revision {revision}, superseded by another writer"
    if len(in_force) < entry_count:
        return (
            f"last change: revision {revision}, in force at {len(in_force)} of "
            f"{entry_count} entries"
        )
    seconds = max(0.0, *in_force)
    return (
        f"last change: revision {revision}, in force everywhere after {seconds:.1f} s"
    )


def _format_entry(status: codecs.StatusBody) -> str:
    watching = ", watches the store" if status["watching"] else ""
    return (
        f"entry {status['node']}: {status['state']}, revision "
        f"{status['in_force_revision']} in force, {status['known_revision']} known, "
        f"{status['rejected_count']} rejected{watching}"
    )


def _format_upstream(upstream: codecs.UpstreamStatusBody) -> str:
    leaving = ", leaving" if upstream["leaving"] else ""
    groups = ", ".join(upstream["serving_groups"]) or "none"
    bindings = ", ".join(upstream["bindings"]) or "none"
    return (
        f"upstream {upstream['id']} ({upstream['kind']}{leaving}): "
        f"serving groups {groups}; bindings {bindings}"
    )


def add_declaration_commands(commands: Any) -> None:
    """Add the commands to the subparsers of the command line."""
    for name, run, text in (
        ("diff", run_diff, "print what apply would change"),
        ("apply", run_apply, "write the changed objects through an entry"),
    ):
        parser = commands.add_parser(name, help=text)
        parser.add_argument("declarations", help="folder of TOML files")
        parser.add_argument(
            "--prune",
            action="store_true",
            help="delete objects that are not in the folder",
        )
        _add_entry_options(parser)
        parser.set_defaults(run=run)
        if name == "apply":
            parser.add_argument(
                "--change", help="prefix of the change id stored with each object"
            )
    get = commands.add_parser("get", help="print the declared objects")
    get.add_argument(
        "kind", nargs="?", choices=list(declarations.declaration_types_by_kind)
    )
    get.add_argument("name", nargs="?")
    get.add_argument("-o", "--output", choices=("toml", "json"), default="toml")
    _add_entry_options(get)
    get.set_defaults(run=run_get)
    status = commands.add_parser("status", help="print the status of the entries")
    status.add_argument("-o", "--output", choices=("text", "json"), default="text")
    status.add_argument(
        "--metrics",
        help="URL of the metrics address of an entry; prints only the status of this "
        "entry and needs no token",
    )
    _add_entry_options(status)
    status.set_defaults(run=run_status)


def _add_entry_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--entry", default="http://127.0.0.1:8080", help="URL of any entry"
    )
    add_token_option(parser)


def add_token_option(parser: argparse.ArgumentParser) -> None:
    """Add the option that names a file with the operators' token."""
    parser.add_argument(
        "--token-file",
        help="file with the operators' token; default: CARAWAYHITCH_ADMIN_TOKEN",
    )
