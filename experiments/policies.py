"""Run policy scenarios in virtual time and print a table for each.

Usage: ``python -m experiments.policies [--scenario NAME] [--seed N]``. The option
``--scenario`` may be repeated; without it, all scenarios run.
"""

from __future__ import annotations

import argparse
import time

from experiments._scenarios import Table, scenarios_by_name


def print_table(table: Table) -> None:
    """Print a table in Markdown, the format of the docs."""
    print("| " + " | ".join(table.columns) + " |")
    print("|" + "---|" * len(table.columns))
    for line in table.lines:
        print("| " + " | ".join(line) + " |")


def main() -> None:
    """Run the selected scenarios."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--scenario", action="append", choices=scenarios_by_name)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    for name in options.scenario or scenarios_by_name:
        started = time.monotonic()
        table = scenarios_by_name[name](options.seed)
        seconds = time.monotonic() - started
        print(f"\n{name}, seed {options.seed}, {seconds:.0f} s")
        print_table(table)


if __name__ == "__main__":
    main()
