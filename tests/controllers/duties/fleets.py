"""Fleets of uneven VMs for the tests of duties."""

from __future__ import annotations

from carawayhitch.core import rows
from carawayhitch.core import settings as settings_types

ZONES = {"recife": 22, "natal": 25, "campina": 17, "joao-pessoa": 24}
STRONG_PER_ZONE = 2
# Resources of the two kinds of VM of the fleet with the largest difference in use.
STRONG_VM = settings_types.NodeSettings(
    "n",
    "z",
    "r",
    processor_share=0.717,
    processor_cores=3,
    memory_megabytes=552,
    link_megabits=100,
)
WEAK_VM = settings_types.NodeSettings(
    "n", "z", "r", processor_share=0.361, memory_megabytes=136, link_megabits=10
)
CELLS = {
    f"explain/r1/{index}": rows.CellRow(f"explain/r1/{index}", "explain", "r1", ("e",))
    for index in range(300)
}


def member(node_id, zone="a", strength=1, **fields):
    return rows.MemberRow(
        node_id, 1, "alive", "10.0.0.1", 1, 1, zone, "r1", strength=strength
    )._replace(**fields)


def uneven_fleet():
    """Return 96 members by id: two strong ones in each of four zones, 88 weak ones."""
    return {
        row.node_id: row
        for zone, weak_count in ZONES.items()
        for row in (
            *(member(f"{zone}-s{i}", zone, 8) for i in range(STRONG_PER_ZONE)),
            *(member(f"{zone}-w{i}", zone, 1) for i in range(weak_count)),
        )
    }
