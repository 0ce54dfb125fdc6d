"""The datagrams between nodes, on sockets, with the network's faults on them."""

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

MAX_DATAGRAM_BYTES = 256  # a longer one breaks the protocol


class DatagramRelay:
    """Relays datagrams between nodes: what i sends to `relay(i, j)` reaches j from `relay(j, i)`."""

    def __init__(self, spec: Experiment, addresses: AddressPlan, network: NetworkConditions) -> None:
        """Prepare the relay; `open` binds its sockets."""
        self.spec, self.addresses, self.network = spec, addresses, network
        self.transports: dict[tuple[int, int], asyncio.DatagramTransport] = {}
        self.sends: list[tuple[float, int]] = []  # when (monotonic s) each was sent, and by whom
        self.counts: Counter[str] = Counter()

    def sent(self, zero: float) -> list[records.DatagramCountRecord]:
        """Return how many each node sent in each second of the run, by its zero (monotonic s)."""
        counts = Counter((near, math.floor(at - zero)) for at, near in self.sends)
        return [records.DatagramCountRecord(node, second, n) for (node, second), n in sorted(counts.items())]

    async def open(self) -> None:
        """Listen for every pair; address i of node i itself is its broadcast address. Raises OSError."""
        loop = asyncio.get_running_loop()
        for near in range(self.spec.fleet.nodes):
            for far in range(self.spec.fleet.nodes):
                transport, _ = await loop.create_datagram_endpoint(
                    lambda near=near, far=far: RelayEndpoint(self, near, far),  # type: ignore[misc]
                    local_addr=self.addresses.relay(near, far),
                )
                self.transports[near, far] = transport

    def relay(self, near: int, far: int, data: bytes) -> None:
        """Relay a datagram of node `near` to `far`, or to all where these are one."""
        if len(data) > MAX_DATAGRAM_BYTES:
            self.counts["too_long"] += 1
            return
        self.sends.append((time.monotonic(), near))
        targets = [n for n in range(self.spec.fleet.nodes) if n != near] if near == far else [far]
        for target in targets:
            self.counts["sent"] += 1
            link = self.network.conditions(f"n{near}", f"n{target}")
            copies = self.network.datagram_delays_ms(link, len(data))
            self.counts["lost"] += not copies
            for late in copies:
                asyncio.get_running_loop().call_later(late / 1000, self._arrive, near, target, data)

    def _arrive(self, near: int, target: int, data: bytes) -> None:
        with contextlib.suppress(OSError):
            self.transports[target, near].sendto(data, self.addresses.peer(target))


class RelayEndpoint(asyncio.DatagramProtocol):
    """The address that one node has for another."""

    def __init__(self, relay: DatagramRelay, near: int, far: int) -> None:
        """Prepare the address that `near` has for `far`."""
        self.relay, self.near, self.far = relay, near, far

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Relay a datagram of the node; count foreign ones."""
        if addr[0] == self.relay.addresses.peer(self.near)[0]:
            self.relay.relay(self.near, self.far, data)
        else:
            self.relay.counts["foreign"] += 1
