"""Sizes of the deployment planned in two years, and the figures derived from them.

Times are in seconds, memory and messages in bytes, and shares are fractions of 1; all else is counted.
"""

from __future__ import annotations

NODES, BACKENDS, SERVICES = 5_700, 70_000, 3_700
PEAK_PER_S = 1_100_000
ROUTES, TENANTS = 14_000, 350_000
REGIONS, ZONES = 3, 9
CONFIG_CHANGES_PER_DAY = 29_000
RESTARTS_PER_DAY = 9_600  # A replaced machine counts as a restart.
CONTROL_MACHINES = 9
RACK_MACHINES = 40
DAY_S = 86_400

BUDGETS: dict[str, float] = {
    "p99 latency added to a request, and so one turn of the event loop, s": 0.0077,
    "core time for each request of a node, s": 1 / (PEAK_PER_S / NODES),
    "control plane, share of a core": 0.032,
    "control plane, memory in bytes": 64e6,
    "control plane, bytes per second": 3_000,
    "time until a change is in force on all nodes, s": 6.0,
    "datagram between nodes, bytes": 256,
}

MAX_DATAGRAM_BYTES = 256  # A datagram between nodes may have at most 256 bytes of payload.
IP_UDP_HEADER_BYTES = 28  # The IP and UDP headers add 28 bytes to a datagram.
BYTES_PER_TENANT = 100  # A bare tenant table, without any state, needs 100 bytes for each tenant.
LIST_CHANGES_PER_RESTART = 3  # A restarting backend's list entry changes to draining, removed and in service.
# Five nodes send requests to each backend; the value must match NODES_PER_ENDPOINT in policy/subsetting.py.
NODES_PER_ENDPOINT = 5
# In a cold start the whole tier together sends 8 pages of 25 members each second, see docs/membership.md.
TIER_PAGES_PER_S, MEMBERS_PER_PAGE = 8, 25
# In a recovering tier, nodes call discovery in slots of 25 ms, see docs/fleet-recovery.md.
POLL_SLOT_S = 0.025
DISCOVERY_CALL_S = 0.004  # The discovery stub serves a call in 4 ms.

BACKEND_RESTARTS = 50_000  # About 50,000 backends restart in five days, the assumed life of a node process.
BACKENDS_PER_NODE = BACKENDS / NODES
BACKENDS_PER_ZONE = round(BACKENDS / ZONES)

DERIVED_FIGURES: dict[str, float] = {
    "backends_per_node": BACKENDS_PER_NODE,
    "backends_per_service": BACKENDS / SERVICES,
    "backends_per_zone": BACKENDS / ZONES,
    "nodes_per_zone": NODES / ZONES,
    "requests_per_s_node": PEAK_PER_S / NODES,
    "requests_per_s_backend": PEAK_PER_S / BACKENDS,
    "changes_per_s": CONFIG_CHANGES_PER_DAY / DAY_S,
    "deliveries_per_s": CONFIG_CHANGES_PER_DAY / DAY_S * NODES,
    "entries_per_s": LIST_CHANGES_PER_RESTART * RESTARTS_PER_DAY / DAY_S,
    "entry_deliveries_per_s": LIST_CHANGES_PER_RESTART * RESTARTS_PER_DAY / DAY_S * NODES,
    "nodes": NODES,
    "nodes_per_control": NODES / CONTROL_MACHINES,
    "nodes_per_control_one_down": NODES / (CONTROL_MACHINES - 1),
    "tenant_table_bytes": TENANTS * BYTES_PER_TENANT,
    "bitmap_bytes": NODES / 8,
    "subset": NODES_PER_ENDPOINT * BACKENDS_PER_NODE,
    "requests_per_s_connection": PEAK_PER_S / NODES / (NODES_PER_ENDPOINT * BACKENDS_PER_NODE),
    "feeders": NODES_PER_ENDPOINT,
    "datagrams_per_s": 3_000 / (MAX_DATAGRAM_BYTES + IP_UDP_HEADER_BYTES),
    "majority": NODES // 2 + 1,
    "region_nodes": NODES / REGIONS,
    "changes_an_hour": CONFIG_CHANGES_PER_DAY / 24,
    "restarts_an_hour": RESTARTS_PER_DAY / 24,
    "cold_start_s": NODES / (TIER_PAGES_PER_S * MEMBERS_PER_PAGE),
    "turns_s": NODES * POLL_SLOT_S,
    "calls_s": NODES * DISCOVERY_CALL_S,
    "a_tenth": NODES / 10,
    "per_day": 1 / DAY_S,
    "rack": RACK_MACHINES,
    "zones_apart": 1 - 1 / ZONES,
    "regions_apart": 1 - 1 / REGIONS,
}
"""Derived figures for one node or machine, by name; rates are means over a day."""
