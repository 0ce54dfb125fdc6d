"""The size of two years, as the operators plan it, and what follows: the one place for both."""

from __future__ import annotations

NODES, BACKENDS, SERVICES = 5_700, 70_000, 3_700
PEAK_PER_S = 1_100_000  # requests
ROUTES, TENANTS = 14_000, 350_000
ADDED_MS = 7.7  # to a request, 99 in 100: no turn of a node's loop may take more
REGIONS, ZONES = 3, 9
CHANGES_A_DAY, IN_FORCE_S = 29_000, 6.0
RESTARTS_A_DAY, DEATHS_A_DAY = 9_600, 100
CONTROL_CORE = 0.032  # of a core a node
CONTROL_MB, CONTROL_BYTES_PER_S = 64, 3_000  # a node
CONTROL_MACHINES = 9
RACK_MACHINES = 40
DAY_S = 86_400

DATAGRAM = 256  # bytes that one between nodes may have
HEADERS = 28  # bytes of IP and UDP round it
TENANT_BYTES = 100  # of the bare table
WORDS_A_RESTART = 3  # changes of an entry: it drains, it is gone, it is new

REPLACED = 50_000  # restarts that a process may live to see: five days of them
GROUP = BACKENDS / NODES  # backends that fall to a node
LOST_ZONE = round(BACKENDS / ZONES)

ARITHMETIC: dict[str, float] = {
    "backends_per_node": GROUP,
    "backends_per_service": BACKENDS / SERVICES,
    "backends_per_zone": BACKENDS / ZONES,
    "nodes_per_zone": NODES / ZONES,
    "machines_per_zone": (NODES + BACKENDS) / ZONES,
    "requests_per_s_node": PEAK_PER_S / NODES,
    "requests_per_s_backend": PEAK_PER_S / BACKENDS,
    "core_ms_per_request": 1000 / (PEAK_PER_S / NODES),
    "core_ms_per_s_control": 1000 * CONTROL_CORE,
    "changes_per_s": CHANGES_A_DAY / DAY_S,
    "deliveries_per_s": CHANGES_A_DAY / DAY_S * NODES,
    "entries_per_s": WORDS_A_RESTART * RESTARTS_A_DAY / DAY_S,
    "entry_deliveries_per_s": WORDS_A_RESTART * RESTARTS_A_DAY / DAY_S * NODES,
    "control_mb_a_day": CONTROL_BYTES_PER_S * DAY_S / 1e6,
    "datagrams_per_s": CONTROL_BYTES_PER_S / (DATAGRAM + HEADERS),
    "nodes_per_control": NODES / CONTROL_MACHINES,
    "nodes_per_control_one_down": NODES / (CONTROL_MACHINES - 1),
    "tenants_mb": TENANTS * TENANT_BYTES / 1e6,
    "bitmap_bytes": NODES / 8,
    "bitmap_datagrams": NODES / 8 / DATAGRAM,
    "majority_nodes": NODES // 2 + 1,
    "region_nodes": NODES / REGIONS,
    "region_backends": BACKENDS / REGIONS,
    "changes_in_an_hour": CHANGES_A_DAY / 24,
    "restarts_in_an_hour": RESTARTS_A_DAY / 24,
}
"""What follows for one node or machine, by name; rates are means over a day."""
