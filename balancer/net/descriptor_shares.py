"""Division of a node's file descriptors among its processes while a new version takes over.

Each process writes into its slot how many descriptors it may hold at most, before it holds more than before.
Only the newest process may grow, into descriptors that no other claims; the others only shrink. So no two
processes use the same descriptor. A growing process writes its claim first and then checks again for a newer
process: that one acquires its slot before it reads claims, so it either reads this claim or is detected.
"""

from __future__ import annotations

import time
import zlib
from dataclasses import dataclass

from balancer.net.connection_limits import CLOSING_FDS, MIN_FDS, RESERVED_FDS, overflow_limit
from balancer.net.listener import Listener
from balancer.net.node import Node
from balancer.net.process_slots import ProcessSlots


@dataclass(slots=True, frozen=True)
class DescriptorClaim:
    """Claim of a process, as written into its slot."""

    started_ns: int  # Start time on the monotonic clock, which all processes of a machine share.
    max_descriptors: int

    def encode(self) -> str:
        """Return the slot line; its length is fixed, so that it overwrites a previous line completely."""
        text = f"{self.started_ns:020} {self.max_descriptors:010}"
        return f"{text} {zlib.crc32(text.encode()):08x}\n"


def parse_claim(line: str) -> DescriptorClaim | None:
    """Parse a slot line; return None if it is damaged or from a version that writes no claims."""
    text, _, checksum = line.partition("\n")[0].rpartition(" ")
    started, _, maximum = text.partition(" ")
    is_intact = checksum == f"{zlib.crc32(text.encode('latin-1')):08x}"
    if not is_intact or not (started.isdecimal() and maximum.isdecimal()):
        return None
    return DescriptorClaim(int(started), int(maximum))


@dataclass(slots=True, frozen=True)
class ConnectionLimits:
    """Maximum numbers of client and backend connections of a process."""

    clients: int
    backends: int


Claims = dict[int, DescriptorClaim | None]
"""Claims of the other processes by slot; a claim that cannot be read is None."""


class DescriptorShares:
    """The share of this process in the node's descriptors, and the connection limits that follow from it."""

    def __init__(self, node: Node, listener: Listener, slots: ProcessSlots) -> None:
        """Create the share of a process that has not claimed anything yet."""
        self.node = node
        self.listener = listener
        self.slots = slots
        self.share = MIN_FDS  # Number of descriptors that this process may use.
        self.claimed = 0  # Number of descriptors claimed in the slot.
        # While this process drains, the successor gets all new connections, so closed ones are not replaced.
        self.is_draining = False
        self._started_ns = time.monotonic_ns()
        self._predecessor_slots: set[int] | None = None  # Slots that were taken when this process started.
        self._last_claims: Claims = {}
        self._written_line = ""

    @property
    def has_guaranteed_share(self) -> bool:
        """Whether the predecessors have released the share that is guaranteed to a new process."""
        return self.share >= self.node.config.max_fds - self.node.config.predecessor_fds

    def apply(self) -> None:
        """Apply the current limits of this process, and claim the descriptors that it may hold."""
        limits = self._limits()
        if limits is None:
            limits = fallback_limits(self.node, self.slots.has_peer)
        apply_limits(self.node, self.listener, limits)
        if self.slots.has_slot:
            self._claim(self._max_held(self._limits_in_force()))

    def _limits(self) -> ConnectionLimits | None:
        """Return the current limits, or None if they cannot be derived from the claims.

        That is the case without a slot, if the claim of a predecessor cannot be read, or if the claim of this
        process cannot be written.
        """
        if not self.slots.has_slot:
            return None
        config = self.node.config
        claims = self._claims(self.slots.peer_lines)
        if not self.claimed:  # Limits that were set before the process had a slot were never applied.
            self.listener.limit, self.node.pool.limit = config.connection_limits(MIN_FDS)
        if self._has_successor(claims):
            return self._limits_with_successor(claims)
        claimed = self._claimed_by_predecessors(claims)
        if claimed is None:
            self.share = config.max_fds // 2
            return None
        share = max(MIN_FDS, config.max_fds - claimed) if claims else config.sole_process_fds
        limits = ConnectionLimits(*config.connection_limits(share))
        max_held = self._max_held(limits)
        if max_held > self.claimed:
            if max_held > share:  # More connections are still in use than the new limits allow.
                return self._cap_by_current(limits)
            if not self._claim(max_held):
                return None
            lines = self.slots.read_peers()
            if lines is None or self._has_successor(self._claims(lines)):
                return self._cap_by_current(limits)
        self.share = share
        return limits

    def _limits_in_force(self) -> ConnectionLimits:
        return ConnectionLimits(self.listener.limit, self.node.pool.limit)

    def _cap_by_current(self, limits: ConnectionLimits) -> ConnectionLimits:
        """Return the minimum of the given limits and the current ones."""
        current = self._limits_in_force()
        return ConnectionLimits(min(limits.clients, current.clients), min(limits.backends, current.backends))

    def _max_held(self, limits: ConnectionLimits) -> int:
        """Return how many descriptors this process may hold under the given limits, or holds already."""
        listener = self.listener
        allowed = limits.clients + overflow_limit(limits.clients)
        clients = max(allowed, len(listener.connections) + len(listener.lingering))
        return RESERVED_FDS + CLOSING_FDS + clients + max(limits.backends, self.node.pool.connection_count)

    def _claim(self, max_held: int) -> bool:
        """Claim descriptors in the slot; return whether the claim was written."""
        line = DescriptorClaim(self._started_ns, max_held).encode()
        # A process without peers need not rewrite an unchanged claim.
        if line != self._written_line or self.slots.peer_lines:
            self._written_line = line if self.slots.write_line(line) else ""
        self.claimed = max_held
        return bool(self._written_line)

    # --- claims of the other processes

    def _claims(self, lines: dict[int, str]) -> Claims:
        """Return the others' claims; an unreadable one keeps its last value, as predecessors only shrink."""
        if self._predecessor_slots is None:
            self._predecessor_slots = set(lines)
        self._predecessor_slots &= lines.keys()
        self._last_claims = {
            slot: parse_claim(line) or self._last_claims.get(slot) for slot, line in lines.items()
        }
        return self._last_claims

    def _is_successor(self, slot: int, claim: DescriptorClaim | None) -> bool:
        """Return whether the process in a slot started after this one."""
        if claim is None:
            return self._predecessor_slots is not None and slot not in self._predecessor_slots
        return (claim.started_ns, slot) > (self._started_ns, self.slots.own_slot)

    def _has_successor(self, claims: Claims) -> bool:
        return any(self._is_successor(slot, claim) for slot, claim in claims.items())

    def _claimed_by_predecessors(self, claims: Claims) -> int | None:
        """Return how many descriptors predecessors claim, or None if one of their claims cannot be read."""
        predecessors = [claim for slot, claim in claims.items() if not self._is_successor(slot, claim)]
        known = [claim.max_descriptors for claim in predecessors if claim is not None]
        return sum(known) if len(known) == len(predecessors) else None

    def _limits_with_successor(self, claims: Claims) -> ConnectionLimits:
        """Return the limits while a successor is running, which never grow.

        While this process drains, they shrink with the number of its open connections.
        """
        config = self.node.config
        claimed = self._claimed_by_predecessors(claims)
        remaining = config.predecessor_fds - (claimed if claimed is not None else config.max_fds // 2)
        self.share = max(MIN_FDS, remaining)
        clients, backends = config.predecessor_limits(self.share)
        if self.is_draining:
            open_count = len(self.listener.connections)
            clients = min(clients, open_count + overflow_limit(clients))
            backends = min(backends, max(1, self.node.pool.connection_count, 2 * open_count))
        return self._cap_by_current(ConnectionLimits(clients, backends))


def fallback_limits(node: Node, has_peer: bool) -> ConnectionLimits:
    """Return the limits of a process that cannot derive its share: with a peer, half of the descriptors."""
    return ConnectionLimits(*node.config.limits_per_process(2 if has_peer else 1))


def apply_limits(node: Node, listener: Listener, limits: ConnectionLimits) -> None:
    """Apply limits, closing excess idle connections at once and other excess ones after use."""
    former_client_limit = listener.limit
    listener.limit = limits.clients
    node.pool.limit = limits.backends
    node.pool.enforce_limit()
    if limits.clients < former_client_limit:
        listener.enforce_limit()
        # The limit is not set below the number of open connections, whose requests would get status 503.
        listener.limit = max(limits.clients, min(former_client_limit, len(listener.connections)))
