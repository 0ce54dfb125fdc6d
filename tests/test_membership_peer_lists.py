"""Peer list changes during datagrams, transfers and probes that involve removed members."""

from __future__ import annotations

import itertools
import random

import pytest

from balancer.membership.config import Config
from balancer.membership.core import Membership
from balancer.membership.events import Action, DatagramReceived, PeersChanged, SendDatagram, Tick
from balancer.membership.messages import (
    DIGEST_BUCKETS,
    DIGEST_STRUCT,
    MemberState,
    Message,
    MessageKind,
    decode,
    encode,
)
from balancer.membership.timers import MAX_TIMERS
from tests.membership_helpers import OWN_GENERATION, PEER_GENERATION, received

# The records of 90 nodes take several datagrams.
NODE_COUNT = 90
PERIOD_MS = Config().probe_interval_ms


@pytest.fixture
def core() -> Membership:
    """Return node 0 of a tier, which has heard from all of its peers."""
    core = Membership(Config(), 0, NODE_COUNT, OWN_GENERATION, 1, 0.0)
    for peer in range(1, NODE_COUNT):
        core.handle(1.0, received(peer))
    return core


def digest(sender: int) -> DatagramReceived:
    """Return a datagram with a peer's digest that differs from node 0's in all buckets."""
    extra = DIGEST_STRUCT.pack(False, *([1] * DIGEST_BUCKETS))
    message = Message(MessageKind.DIGEST, sender, PEER_GENERATION, 0, 0, 7, 0, extra)
    return DatagramReceived(sender, encode(message))


def ping_request(sender: int, subject: int) -> DatagramReceived:
    """Return a datagram with a peer's request to ping a member."""
    message = Message(MessageKind.PING_REQ, sender, PEER_GENERATION, 0, 9, 7, subject)
    return DatagramReceived(sender, encode(message))


def run(core: Membership, begin_ms: float, duration_ms: float) -> list[tuple[float, Action]]:
    """Advance the time by `duration_ms` and return the node's actions with their times."""
    done: list[tuple[float, Action]] = []
    now_ms = begin_ms
    while (now_ms := max(now_ms, core.next_wakeup_ms)) <= begin_ms + duration_ms:
        done += [(now_ms, action) for action in core.handle(now_ms, Tick())]
    return done


def transferred(done: list[tuple[float, Action]], receiver: int) -> list[tuple[float, set[int]]]:
    """Return the datagrams of a transfer as pairs of send time and set of members."""
    chunks = []
    for at_ms, action in done:
        if isinstance(action, SendDatagram) and action.node == receiver:
            message = decode(action.data)
            if message.kind == MessageKind.GOSSIP:
                chunks.append((at_ms, {update.member for update in message.updates}))
    return chunks


def test_a_transfer_continues_when_some_of_its_members_are_removed(core: Membership) -> None:
    """Guards against a transfer that stops for good because the peer list has become shorter."""
    first = [(2.0, action) for action in core.handle(2.0, digest(1))]
    core.handle(3.0, PeersChanged(40))
    done = first + run(core, 3.0, 40 * PERIOD_MS)
    sent = set[int]().union(*(members for _, members in transferred(done, 1)))
    assert sent >= set(range(40)) - {1}


@pytest.mark.parametrize("count", [NODE_COUNT, 40])
def test_another_transfer_starts_after_the_receiver_of_one_was_removed(core: Membership, count: int) -> None:
    """Guards against later transfers that never start.

    The receiver of the first transfer is replaced or removed between two of its datagrams.
    """
    receiver = 1 if count == NODE_COUNT else 50
    core.handle(2.0, digest(receiver))
    core.handle(3.0, PeersChanged(count, frozenset({receiver} if receiver < count else ())))
    run(core, 3.0, 3 * PERIOD_MS)
    begin_ms = 4 * PERIOD_MS
    first = [(begin_ms, action) for action in core.handle(begin_ms, digest(2))]
    done = first + run(core, begin_ms, 40 * PERIOD_MS)
    sent = set[int]().union(*(members for _, members in transferred(done, 2)))
    assert sent >= {member for member in core.present_members() if member != 2}


def test_a_cancelled_transfer_does_not_double_the_rate_of_the_next(core: Membership) -> None:
    """Guards against a second chain of timers, started while that of a cancelled transfer still runs."""
    core.handle(2.0, digest(1))
    core.handle(3.0, PeersChanged(NODE_COUNT, frozenset({1})))
    first = [(4.0, action) for action in core.handle(4.0, digest(2))]
    chunks = transferred(first + run(core, 4.0, 40 * PERIOD_MS), 2)
    times = [at_ms for at_ms, _ in chunks]
    assert len(times) > 2
    assert all(later - earlier >= PERIOD_MS for earlier, later in itertools.pairwise(times))


@pytest.mark.parametrize("change", [PeersChanged(3), PeersChanged(NODE_COUNT, frozenset({50}))])
def test_a_removed_requester_is_sent_neither_ack_nor_nack(core: Membership, change: PeersChanged) -> None:
    """Guards against answers to a node that was removed or replaced after it requested a ping."""
    (ping,) = [
        decode(action.data)
        for action in core.handle(2.0, ping_request(50, subject=2))
        if isinstance(action, SendDatagram) and action.node == 2
    ]
    core.handle(3.0, change)
    ack = Message(MessageKind.ACK, 2, PEER_GENERATION, 0, ping.sequence, 7, 2)
    done = run(core, 3.0, PERIOD_MS / 3)
    done += [(300.0, action) for action in core.handle(300.0, DatagramReceived(2, encode(ack)))]
    answers = {MessageKind.ACK, MessageKind.NACK}
    to_requester = [a for _, a in done if isinstance(a, SendDatagram) and a.node == 50]
    assert not [action for action in to_requester if decode(action.data).kind in answers]


def test_a_flood_of_ping_requests_stops_no_transfer(core: Membership) -> None:
    """Guards against a full timer queue that drops the self-rescheduling timer of the transfers."""
    message = Message(MessageKind.PING_REQ, 50, PEER_GENERATION, 0, 9, 7, 2)
    for _ in range(MAX_TIMERS):
        core.handle(2.0, DatagramReceived(50, encode(message)))
    core.handle(2.0, digest(1))
    assert len(core.node.timers) <= MAX_TIMERS
    assert len(transferred(run(core, 2.0, 3 * PERIOD_MS), 1)) >= 2
    begin_ms = 4 * PERIOD_MS
    core.handle(begin_ms, digest(2))
    assert len(transferred(run(core, begin_ms, 3 * PERIOD_MS), 2)) >= 2


def test_peer_list_changes_raise_no_exception_and_stop_no_probes() -> None:
    """Guards against stale member numbers used as indices, and timers that are not rescheduled.

    Simulated tiers with lossy datagrams change their peer lists often.
    """
    for seed in range(20):
        _simulate_list_changes(random.Random(seed))


def _simulate_list_changes(draws: random.Random) -> None:
    count = draws.choice([3, 6, 12, 40])
    cores = [Membership(Config(), node, count, 100 + node, node, 0.0) for node in range(count)]
    counts = [count] * count
    datagrams_in_flight: list[tuple[float, int, int, bytes]] = []
    now_ms = 0.0

    def handle(node: int, event: Tick | PeersChanged | DatagramReceived) -> None:
        for action in cores[node].handle(now_ms, event):
            if not isinstance(action, SendDatagram):
                continue
            for target in range(count) if action.node is None else (action.node,):
                if target != node and target < count and draws.random() > 0.3:
                    datagrams_in_flight.append((now_ms + 50 * draws.random(), target, node, action.data))

    while now_ms < 12_000:
        now_ms += draws.choice([1, 5, 20])
        for node in range(count):
            if cores[node].next_wakeup_ms <= now_ms:
                handle(node, Tick())
        due = [datagram for datagram in datagrams_in_flight if datagram[0] <= now_ms]
        datagrams_in_flight[:] = [datagram for datagram in datagrams_in_flight if datagram[0] > now_ms]
        for _, target, source, data in due:
            if source < counts[target]:
                handle(target, DatagramReceived(source, data))
        if now_ms < 6_000 and draws.random() < 0.03:
            node = draws.randrange(count)
            counts[node] = draws.choice([count, count, max(node + 1, count - 1), max(node + 1, count // 2)])
            replaced = frozenset(draws.sample(range(counts[node]), min(counts[node], draws.randint(0, 3))))
            handle(node, PeersChanged(counts[node], replaced - {node}))
    for node, core in enumerate(cores):
        assert core.next_wakeup_ms < now_ms + 9 * PERIOD_MS
        assert core.view.records[node].state is MemberState.ALIVE
