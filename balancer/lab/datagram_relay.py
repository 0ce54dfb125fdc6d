"""Relay for the datagrams between nodes on sockets, which applies the network's faults."""

from __future__ import annotations

import asyncio
import contextlib
import math
import time
from collections import Counter

from balancer.experiments.experiment import Experiment
from balancer.lab import records
from balancer.lab.addresses import AddressPlan
from balancer.models.network import NetworkConditions

MAX_DATAGRAM_BYTES = 256  # The datagram protocol allows at most 256 bytes per datagram.


class DatagramRelay:
    """Relays datagrams: what node i sends to `relay(i, j)` reaches node j from address `relay(j, i)`."""

    def __init__(self, spec: Experiment, addresses: AddressPlan, network: NetworkConditions) -> None:
        """Create the relay, whose sockets `open` binds."""
        self.spec, self.addresses, self.network = spec, addresses, network
        self.transports: dict[tuple[int, int], asyncio.DatagramTransport] = {}
        self.sends: list[
            tuple[float, int]
        ] = []  # Each datagram is kept as send time (monotonic s) and sender.
        self.counts: Counter[str] = Counter()

    def sent(self, zero: float) -> list[records.DatagramCountRecord]:
        """Return how many datagrams each node sent in each second after `zero` (monotonic s)."""
        counts = Counter((local, math.floor(at - zero)) for at, local in self.sends)
        return [records.DatagramCountRecord(node, second, n) for (node, second), n in sorted(counts.items())]

    async def open(self) -> None:
        """Bind an address per pair of nodes; `relay(i, i)` is the broadcast address of i. Raises OSError."""
        loop = asyncio.get_running_loop()
        for local in range(self.spec.fleet.nodes):
            for remote in range(self.spec.fleet.nodes):
                transport, _ = await loop.create_datagram_endpoint(
                    lambda local=local, remote=remote: RelayEndpoint(self, local, remote),  # type: ignore[misc]
                    local_addr=self.addresses.relay(local, remote),
                )
                self.transports[local, remote] = transport

    def relay(self, local: int, remote: int, data: bytes) -> None:
        """Relay a datagram from `local` to `remote`, or to all other nodes if the two are the same."""
        if len(data) > MAX_DATAGRAM_BYTES:
            self.counts["too_long"] += 1
            return
        self.sends.append((time.monotonic(), local))
        targets = [n for n in range(self.spec.fleet.nodes) if n != local] if local == remote else [remote]
        for target in targets:
            self.counts["sent"] += 1
            link = self.network.conditions(f"n{local}", f"n{target}")
            copies = self.network.datagram_delays_ms(link, len(data))
            self.counts["lost"] += not copies
            for late in copies:
                asyncio.get_running_loop().call_later(late / 1000, self._arrive, local, target, data)

    def _arrive(self, local: int, target: int, data: bytes) -> None:
        with contextlib.suppress(OSError):
            self.transports[target, local].sendto(data, self.addresses.peer(target))


class RelayEndpoint(asyncio.DatagramProtocol):
    """The address through which one node exchanges datagrams with another."""

    def __init__(self, relay: DatagramRelay, local: int, remote: int) -> None:
        """Create the endpoint through which `local` exchanges datagrams with `remote`."""
        self.relay, self.local, self.remote = relay, local, remote

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Relay a datagram from node `local`; drop and count one from any other address."""
        if addr[0] == self.relay.addresses.peer(self.local)[0]:
            self.relay.relay(self.local, self.remote, data)
        else:
            self.relay.counts["foreign"] += 1
