"""How the processes of one node keep to one limit of descriptors together while a new version takes over.

Each process claims in its slot how many it may hold at most, before it holds more. Only the one that came
last may grow, into what no other claims; the others only shrink. So no two reach for the same descriptor. A
process that grows writes its claim first and then looks once more whether another has come: that one takes
its slot before it reads, so it either reads the claim or is seen.
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
    """What a process writes into its slot."""

    started_ns: int  # on the monotonic clock that all processes of a machine share
    max_descriptors: int

    def encode(self) -> str:
        """Return the line in the slot; it is always as long, so that no rest of an older one stays."""
        text = f"{self.started_ns:020} {self.max_descriptors:010}"
        return f"{text} {zlib.crc32(text.encode()):08x}\n"


def parse_claim(line: str) -> DescriptorClaim | None:
    """Return a claim, or None for a line that is damaged or from a program that makes no claims."""
    text, _, checksum = line.partition("\n")[0].rpartition(" ")
    started, _, most = text.partition(" ")
    is_intact = checksum == f"{zlib.crc32(text.encode('latin-1')):08x}"
    if not is_intact or not (started.isdecimal() and most.isdecimal()):
        return None
    return DescriptorClaim(int(started), int(most))


@dataclass(slots=True, frozen=True)
class ConnectionLimits:
    """The most connections that a process may hold."""

    clients: int
    backends: int


Claims = dict[int, DescriptorClaim | None]
"""The claims of other processes by slot; None for one that cannot be read."""


class DescriptorShares:
    """The share of this process."""

    def __init__(self, node: Node, listener: Listener, slots: ProcessSlots) -> None:
        """Make the share of a process that has claimed nothing."""
        self.node = node
        self.listener = listener
        self.slots = slots
        self.share = MIN_FDS  # descriptors
        self.claimed = 0  # descriptors
        self.is_draining = False  # new connections go to the other process: what ends here is not replaced
        self._started_ns = time.monotonic_ns()
        self._earlier_slots: set[int] | None = None  # of the processes that were there first
        self._last_claims: Claims = {}
        self._written_line = ""

    @property
    def has_enough(self) -> bool:
        """Whether the others have freed what a new process may count on."""
        return self.share >= self.node.config.max_fds - self.node.config.predecessor_fds

    def apply(self) -> None:
        """Put the limits of this process in force, and claim what it holds."""
        limits = self._limits()
        if limits is None:
            limits = fallback_limits(self.node, self.slots.has_peer)
        apply_limits(self.node, self.listener, limits)
        if self.slots.has_slot:
            self._claim(self._max_held(self._limits_in_force()))

    def _limits(self) -> ConnectionLimits | None:
        """Return the limits from now on, or None if the claims cannot tell them.

        That is so without a slot, if an earlier process's claim cannot be read, or this one's not be written.
        """
        if not self.slots.has_slot:
            return None
        config = self.node.config
        claims = self._claims(self.slots.peer_texts)
        if not self.claimed:  # what was set without a slot never was in force
            self.listener.limit, self.node.pool.limit = config.connection_limits(MIN_FDS)
        if self._is_followed(claims):
            return self._limits_beside_later(claims)
        claimed = self._claimed_by_earlier(claims)
        if claimed is None:
            self.share = config.max_fds // 2
            return None
        share = max(MIN_FDS, config.max_fds - claimed) if claims else config.sole_process_fds
        limits = ConnectionLimits(*config.connection_limits(share))
        max_held = self._max_held(limits)
        if max_held > self.claimed:
            if max_held > share:  # more is in use yet than these limits allow
                return self._lowered(limits)
            if not self._claim(max_held):
                return None
            texts = self.slots.read_peers()
            if texts is None or self._is_followed(self._claims(texts)):
                return self._lowered(limits)
        self.share = share
        return limits

    def _limits_in_force(self) -> ConnectionLimits:
        return ConnectionLimits(self.listener.limit, self.node.pool.limit)

    def _lowered(self, limits: ConnectionLimits) -> ConnectionLimits:
        """Return limits that are nowhere above those in force."""
        current = self._limits_in_force()
        return ConnectionLimits(min(limits.clients, current.clients), min(limits.backends, current.backends))

    def _max_held(self, limits: ConnectionLimits) -> int:
        """Return how many descriptors this process may hold under limits, or holds yet from before them."""
        listener = self.listener
        allowed = limits.clients + overflow_limit(limits.clients)
        clients = max(allowed, len(listener.connections) + len(listener.lingering))
        return RESERVED_FDS + CLOSING_FDS + clients + max(limits.backends, self.node.pool.connection_count)

    def _claim(self, max_held: int) -> bool:
        """Write a claim; returns whether it stands in the slot."""
        line = DescriptorClaim(self._started_ns, max_held).encode()
        if line != self._written_line or self.slots.peer_texts:  # a single process need not write it again
            self._written_line = line if self.slots.write_text(line) else ""
        self.claimed = max_held
        return bool(self._written_line)

    # --- the other processes

    def _claims(self, texts: dict[int, str]) -> Claims:
        """Return the others' claims; one that cannot be read is as before: earlier processes only shrink."""
        if self._earlier_slots is None:
            self._earlier_slots = set(texts)
        self._earlier_slots &= texts.keys()
        self._last_claims = {
            slot: parse_claim(text) or self._last_claims.get(slot) for slot, text in texts.items()
        }
        return self._last_claims

    def _is_later(self, slot: int, claim: DescriptorClaim | None) -> bool:
        """Return whether a process came after this one."""
        if claim is None:
            return self._earlier_slots is not None and slot not in self._earlier_slots
        return (claim.started_ns, slot) > (self._started_ns, self.slots.own_slot)

    def _is_followed(self, claims: Claims) -> bool:
        return any(self._is_later(slot, claim) for slot, claim in claims.items())

    def _claimed_by_earlier(self, claims: Claims) -> int | None:
        """Return what earlier processes may hold, or None if one of their claims cannot be read."""
        earlier = [claim for slot, claim in claims.items() if not self._is_later(slot, claim)]
        known = [claim.max_descriptors for claim in earlier if claim is not None]
        return sum(known) if len(known) == len(earlier) else None

    def _limits_beside_later(self, claims: Claims) -> ConnectionLimits:
        """Return the limits beside a later process: never higher, and once draining what is still in use."""
        config = self.node.config
        claimed = self._claimed_by_earlier(claims)
        remaining = config.predecessor_fds - (claimed if claimed is not None else config.max_fds // 2)
        self.share = max(MIN_FDS, remaining)
        clients, backends = config.predecessor_limits(self.share)
        if self.is_draining:
            open_count = len(self.listener.connections)
            clients = min(clients, open_count + overflow_limit(clients))
            backends = min(backends, max(1, self.node.pool.connection_count, 2 * open_count))
        return self._lowered(ConnectionLimits(clients, backends))


def fallback_limits(node: Node, has_peer: bool) -> ConnectionLimits:
    """Return the limits of a process that cannot tell its share: half of the descriptors beside another."""
    return ConnectionLimits(*node.config.limits_per_process(2 if has_peer else 1))


def apply_limits(node: Node, listener: Listener, limits: ConnectionLimits) -> None:
    """Put limits in force: what is idle above them is closed at once, what is in use when it ends."""
    former_client_limit = listener.limit
    listener.limit = limits.clients
    node.pool.limit = limits.backends
    node.pool.enforce_limit()
    if limits.clients < former_client_limit:
        listener.enforce_limit()
        # Requests on connections that came under the former limit must not get a 503 for the lower one.
        listener.limit = max(limits.clients, min(former_client_limit, len(listener.connections)))
