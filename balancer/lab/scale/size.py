"""The planned size in two years, and the figures that follow from it.

Times in s, memory and messages in bytes, shares of 1, all else counted.
"""

from __future__ import annotations

NODES, BACKENDS, SERVICES = 5_700, 70_000, 3_700
PEAK_PER_S = 1_100_000  # requests
ROUTES, TENANTS = 14_000, 350_000
REGIONS, ZONES = 3, 9
CHANGES_A_DAY = 29_000  # of the configuration
RESTARTS_A_DAY = 9_600  # of machines, or their replacement
CONTROL_MACHINES = 9
RACK_MACHINES = 40
DAY_S = 86_400

BUDGETS: dict[str, float] = {
    "added to a request, 99 in 100, so a turn of the loop": 0.0077,
    "a core by the requests of a node": 1 / (PEAK_PER_S / NODES),
    "control, of a core": 0.032,
    "control, memory": 64e6,
    "control, bytes a second": 3_000,
    "a change in force everywhere": 6.0,
    "a datagram between nodes": 256,
}

DATAGRAM = 256  # bytes that one between nodes may have
HEADERS = 28  # bytes of IP and UDP round it
TENANT_BYTES = 100  # of the bare table
WORDS_A_RESTART = 3  # changes of an entry: it drains, it is gone, it is new
FEEDERS = 5  # nodes that feed one backend, see policy.FEEDERS
PAGES_PER_S, PAGE_MEMBERS = 8, 25  # that the whole tier sends in a cold start, see docs/membership.md
TURN_S = 0.025  # a node's slot at discovery as a tier returns, see docs/fleet-recovery.md
CALL_S = 0.004  # work of one call at the stub of discovery

REPLACED = 50_000  # restarts that a process may live to see: five days of them
GROUP = BACKENDS / NODES  # backends that fall to a node
LOST_ZONE = round(BACKENDS / ZONES)

ARITHMETIC: dict[str, float] = {
    "backends_per_node": GROUP,
    "backends_per_service": BACKENDS / SERVICES,
    "backends_per_zone": BACKENDS / ZONES,
    "nodes_per_zone": NODES / ZONES,
    "requests_per_s_node": PEAK_PER_S / NODES,
    "requests_per_s_backend": PEAK_PER_S / BACKENDS,
    "changes_per_s": CHANGES_A_DAY / DAY_S,
    "deliveries_per_s": CHANGES_A_DAY / DAY_S * NODES,
    "entries_per_s": WORDS_A_RESTART * RESTARTS_A_DAY / DAY_S,
    "entry_deliveries_per_s": WORDS_A_RESTART * RESTARTS_A_DAY / DAY_S * NODES,
    "nodes": NODES,
    "nodes_per_control": NODES / CONTROL_MACHINES,
    "nodes_per_control_one_down": NODES / (CONTROL_MACHINES - 1),
    "tenant_table_bytes": TENANTS * TENANT_BYTES,
    "bitmap_bytes": NODES / 8,
    "subset": FEEDERS * GROUP,
    "requests_per_s_connection": PEAK_PER_S / NODES / (FEEDERS * GROUP),
    "feeders": FEEDERS,
    "datagrams_per_s": 3_000 / (DATAGRAM + HEADERS),
    "majority": NODES // 2 + 1,
    "region_nodes": NODES / REGIONS,
    "changes_an_hour": CHANGES_A_DAY / 24,
    "restarts_an_hour": RESTARTS_A_DAY / 24,
    "cold_start_s": NODES / (PAGES_PER_S * PAGE_MEMBERS),
    "turns_s": NODES * TURN_S,
    "calls_s": NODES * CALL_S,
    "a_tenth": NODES / 10,
    "per_day": 1 / DAY_S,
    "rack": RACK_MACHINES,
    "zones_apart": 1 - 1 / ZONES,
    "regions_apart": 1 - 1 / REGIONS,
}
"""What follows for one node or machine, by name; rates are means over a day."""
