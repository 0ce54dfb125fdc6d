"""Anti-entropy exchange of node status and ban register, under one rate limit, most urgent datagrams first.

Entries that several peers lack are broadcast. Every node with such entries waits for an exponentially
distributed time, which is longer if more peers have the same register, and skips entries that another node
broadcasts in the meantime (suppression as in SRM, Floyd et al. 1997). Remaining differences are repaired
between pairs of nodes: one node sends a digest of 16 bucket hashes, and the other replies with the entries
of the buckets that differ.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from balancer.recovery.agreement import RegisterAgreement
from balancer.recovery.ban_register import BanEntry, BanRegister, is_shareable
from balancer.recovery.filter_broadcast import FilterBroadcast
from balancer.recovery.messages import (
    Body,
    Digest,
    MessageKind,
    NodeStatus,
    RegisterPage,
    StatusFlag,
)
from balancer.recovery.page_broadcast import MIN_PEERS_FOR_BROADCAST, PageBroadcast
from balancer.recovery.pages import Paginator, RepairQueue
from balancer.recovery.token_bucket import TokenBucket
from balancer.recovery.urgent_entries import UrgentEntries

MAX_STATUS_RECIPIENTS = 256
MAX_CONCURRENT_REPAIRS = 16
# While digests bring no new entries, their interval doubles up to 4 s.
MAX_DIGEST_INTERVAL_MS = 4000.0
MEAN_COMPARE_INTERVAL_MS = 5000.0  # each status sent to a random peer lets it compare registers
# `/stats` counts the datagrams sent of each kind under these keys.
COUNTER_NAMES = {
    MessageKind.SURVEY: "sent_roll",
    MessageKind.STATUS: "sent_answer",
    MessageKind.DIGEST: "sent_digest",
    MessageKind.ENTRIES: "sent_rows",
    MessageKind.LIST_FILTER: "sent_filter",
}


@dataclass(slots=True, frozen=True)
class OutgoingDatagram:
    """Datagram to send to one node, or to all nodes if `node` is None."""

    node: int | None
    kind: MessageKind
    body: Body


@dataclass(slots=True, frozen=True)
class ExchangeLimits:
    """Rate limit and shortest digest interval of an exchange."""

    datagrams_per_s: float
    burst: float
    min_digest_interval_ms: float


@dataclass(slots=True)
class SendTimes:
    """Times (ms) at which datagrams of some kinds are due next; infinite if none is due."""

    compare: float
    status: float = math.inf
    digest: float = math.inf


StatusSource = Callable[[StatusFlag], NodeStatus]


class Exchange:
    """Exchange of datagrams about a node's status and register with its peers."""

    def __init__(
        self, register: BanRegister, generator: random.Random, limits: ExchangeLimits, now: float
    ) -> None:
        """Create the exchange of a node at `now` (ms)."""
        self.register = register
        self.random = generator
        self.agreement = RegisterAgreement(register)
        self.counts: Counter[str] = Counter()
        self.is_leaving = False
        self.filters = FilterBroadcast(generator)
        self._min_digest_interval_ms = limits.min_digest_interval_ms
        self._digest_interval_ms = limits.min_digest_interval_ms
        self._budget = TokenBucket(limits.datagrams_per_s, limits.burst, now)
        self._times = SendTimes(compare=now + MEAN_COMPARE_INTERVAL_MS * generator.uniform(0.5, 1.5))
        self._paginator = Paginator(register)
        self._repairs = RepairQueue(register)
        self._broadcast = PageBroadcast(register, self.agreement, self._paginator, generator)
        self._urgent = UrgentEntries(register, limits.min_digest_interval_ms)
        self._survey_wanted = False
        # The key None means that the status goes to all peers.
        self._status_recipients: dict[int | None, None] = {}

    def register_changed(self, entries: Iterable[BanEntry]) -> None:
        """Schedule changed register entries to be sent to peers."""
        self.agreement.register_changed()
        self._digest_interval_ms = self._min_digest_interval_ms
        for entry in entries:
            self._broadcast.mark_unsent(entry)

    def request_survey(self) -> None:
        """Schedule a survey, which asks all peers for their status."""
        self._survey_wanted = True

    def send_status(self, node: int | None, now: float, delay: float = 0.0) -> None:
        """Schedule this node's status for a peer or for all; several recipients share one broadcast."""
        if len(self._status_recipients) >= MAX_STATUS_RECIPIENTS:
            self.counts["answers_dropped"] += 1
        else:
            self._status_recipients[node] = None
            self._times.status = min(self._times.status, now + delay)

    def send_urgently(self, entries: Iterable[BanEntry], now: float) -> None:
        """Send entries to all peers immediately, and a second time later."""
        for entry in entries:
            if not is_shareable(entry.backend):
                self.counts["ids_not_shared"] += 1
            elif self._urgent.is_full:  # peers get the entry later, through digests
                self.counts["urgent_dropped"] += 1
            else:
                self._urgent.add(entry, now)

    def forget(self, node: int) -> None:
        """Remove a peer that has left the tier or was replaced."""
        self.agreement.forget(node)
        self._status_recipients.pop(node, None)
        self._repairs.forget(node)

    def hash_received(self, node: int, register_hash: int, now: float, max_delay: float) -> None:
        """Record a peer's register hash; request entries that this node lacks within `max_delay` ms."""
        self.agreement.peer_hashes[node] = register_hash
        if not self.agreement.covers(register_hash):
            self._times.digest = min(self._times.digest, now + self.random.uniform(max_delay / 2, max_delay))
        if register_hash != self.register.hash:
            self._broadcast.plan(now)

    def page_received(self, node: int, register_hash: int, page: RegisterPage) -> list[BanEntry]:
        """Merge a page of a peer's register; return the entries that changed."""
        changed = self.register.merge(page.entries)
        self.register_changed(changed)
        if page.to_all:
            for entry in page.entries:
                known = self.register.get(entry.backend, entry.node)
                if known is not None and known.version == entry.version:
                    self._broadcast.mark_sent(entry)
        self.agreement.page_received(node, register_hash, page)
        return changed

    def digest_received(self, node: int, register_hash: int, digest: Digest, now: float) -> None:
        """Schedule the reply to a peer's digest: the entries that it lacks, or a status if it lacks none."""
        buckets = zip(self.register.buckets, digest.buckets, strict=True)
        mask = sum(1 << index for index, (own, other) in enumerate(buckets) if own != other)
        if not mask:
            self.send_status(node, now)
            return
        is_new = node not in self._repairs
        if is_new and len(self._repairs) + 1 >= MIN_PEERS_FOR_BROADCAST and not self.is_leaving:
            self._repairs.clear()  # one broadcast takes fewer datagrams than a repair of each peer
            self._broadcast.start(mask, now)
        elif is_new and len(self._repairs) >= MAX_CONCURRENT_REPAIRS:
            self.counts["repairs_dropped"] += 1
        else:
            self._repairs.start(node, register_hash, mask, self._paginator.pages(mask))

    @property
    def next_send_at(self) -> float:
        """Time (ms) at which the next datagram is due and the rate limit permits it."""
        if self._survey_wanted or self._repairs:
            wanted_at = -math.inf
        else:
            wanted_at = min(
                self._times.status,
                self._times.digest,
                self._times.compare,
                self._broadcast.next_at_ms,
                self.filters.next_at_ms,
                self._urgent.next_at_ms,
            )
        return max(wanted_at, self._budget.available_at)

    def take_due(self, now: float, status: StatusSource, peers: list[int]) -> list[OutgoingDatagram]:
        """Return the datagrams to send now.

        Args:
            now: Time of the node's clock, ms.
            status: Returns this node's status with the given flags.
            peers: Peers that are present.
        """
        self._budget.refill(now)
        sent: list[OutgoingDatagram] = []
        while self._budget.has_token and (outgoing := self._next(now, status, peers)) is not None:
            self._budget.take()
            sent.append(outgoing)
            self.counts[COUNTER_NAMES[outgoing.kind]] += 1
        return sent

    def _next(self, now: float, status: StatusSource, peers: list[int]) -> OutgoingDatagram | None:
        """Return the most urgent datagram that is due, or None."""
        return (
            self._next_urgent(now)
            or self._next_page(now)
            or self._next_survey(status)
            or self._next_digest(now)
            or self._next_repair()
            or self._next_status(now, status)
            or self._next_background(now, status, peers)
        )

    def _next_urgent(self, now: float) -> OutgoingDatagram | None:
        entries = self._urgent.take(now)
        if not entries:
            return None
        for entry in entries:
            self._broadcast.mark_sent(entry)
        return OutgoingDatagram(None, MessageKind.ENTRIES, RegisterPage(entries, to_all=True))

    def _next_page(self, now: float) -> OutgoingDatagram | None:
        page = self._broadcast.take(now)
        return None if page is None else OutgoingDatagram(None, MessageKind.ENTRIES, page)

    def _next_survey(self, status: StatusSource) -> OutgoingDatagram | None:
        if not self._survey_wanted:
            return None
        self._survey_wanted = False
        self._status_recipients.clear()  # the survey itself carries this node's status to all peers
        self._times.status = math.inf
        return OutgoingDatagram(None, MessageKind.SURVEY, status(StatusFlag(0)))

    def _next_digest(self, now: float) -> OutgoingDatagram | None:
        if now < self._times.digest:
            return None
        self._times.digest = math.inf
        peers = self.agreement.peers_ahead()
        if not peers:
            return None
        self._times.digest = now + self._digest_interval_ms * self.random.uniform(1.0, 1.5)
        self._digest_interval_ms = min(2 * self._digest_interval_ms, MAX_DIGEST_INTERVAL_MS)
        digest = Digest(tuple(self.register.buckets))
        return OutgoingDatagram(self.random.choice(peers), MessageKind.DIGEST, digest)

    def _next_repair(self) -> OutgoingDatagram | None:
        repair = self._repairs.take()
        return None if repair is None else OutgoingDatagram(repair.node, MessageKind.ENTRIES, repair.page)

    def _next_status(self, now: float, status: StatusSource) -> OutgoingDatagram | None:
        if now < self._times.status:
            return None
        self._times.status = math.inf
        recipients = list(self._status_recipients)
        self._status_recipients.clear()
        if not recipients:
            return None
        node = recipients[0] if len(recipients) == 1 else None
        return OutgoingDatagram(node, MessageKind.STATUS, status(StatusFlag.REPLY))

    def _next_background(self, now: float, status: StatusSource, peers: list[int]) -> OutgoingDatagram | None:
        """Return the next low-priority datagram, or None; a node that shuts down sends no more of them."""
        if self.is_leaving:
            self.filters.cancel()
            self._times.compare = math.inf
            return None
        if (list_filter := self.filters.take(now)) is not None:
            return OutgoingDatagram(None, MessageKind.LIST_FILTER, list_filter)
        if now < self._times.compare:
            return None
        self._times.compare = now + MEAN_COMPARE_INTERVAL_MS * self.random.uniform(0.75, 1.25)
        if not peers:
            return None
        return OutgoingDatagram(self.random.choice(peers), MessageKind.STATUS, status(StatusFlag(0)))
