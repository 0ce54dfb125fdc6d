"""An experiment with all its tables, and the names and zones of its parties."""

from __future__ import annotations

from balancer.experiments.faults import AnyFault
from balancer.experiments.tables import (
    Backends,
    Clients,
    Discovery,
    Expectation,
    Fleet,
    Load,
    Network,
    Rules,
    Table,
)

CLIENT_PREFIX = "c-"


class Experiment(Table, frozen=True):
    """The content of an experiment file."""

    name: str
    about: str = ""
    seconds: float = 10.0
    # The seconds at the beginning of the run that figures leave out.
    warmup: float = 1.0
    fleet: Fleet = Fleet()
    backends: Backends = Backends()
    discovery: Discovery = Discovery()
    network: Network = Network()
    load: Load = Load()
    clients: Clients = Clients()
    rules: Rules = Rules()
    faults: tuple[AnyFault, ...] = ()
    expect: tuple[Expectation, ...] = ()

    @property
    def node_names(self) -> list[str]:
        """The node names: n0, n1, ..."""
        return [f"n{i}" for i in range(self.fleet.nodes)]

    @property
    def backend_names(self) -> list[str]:
        """The backend names: s0, s1, ..."""
        return [f"s{i}" for i in range(self.backends.count)]

    def zone_of(self, party: str) -> str:
        """Return the zone of a node (n3), a backend (s7) or clients (c-b); empty for discovery (d)."""
        if party.startswith(CLIENT_PREFIX):
            return party.removeprefix(CLIENT_PREFIX)
        if party[0] in "ns":
            return self.fleet.zones[int(party[1:]) % len(self.fleet.zones)]
        return ""

    def cell_of(self, backend: int) -> int:
        """Return the cell of a backend, given its number; a cell lies within one zone."""
        zones = len(self.fleet.zones)
        return backend % zones + zones * (backend // zones // self.backends.cell_size)

    @property
    def rate(self) -> float:
        """The number of first attempts per second over all zones."""
        speed = sum(self.backends.speed) / 2
        capacity = self.backends.count * self.backends.cores * speed * 1000 / self.load.work_ms
        return self.load.rate or self.load.utilisation * capacity
