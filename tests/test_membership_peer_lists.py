"""Peer lists that change while datagrams, transfers and probes of former members are under way."""

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

NODE_COUNT = 90  # whose records take several datagrams
PERIOD_MS = Config().probe_interval_ms


@pytest.fixture
def core() -> Membership:
    """Node 0, which has heard of all of a tier."""
    core = Membership(Config(), 0, NODE_COUNT, OWN_GENERATION, 1, 0.0)
    for peer in range(1, NODE_COUNT):
        core.handle(1.0, received(peer))
    return core


def digest(sender: int) -> DatagramReceived:
    """Return a peer's digest, which differs in all buckets."""
    extra = DIGEST_STRUCT.pack(False, *([1] * DIGEST_BUCKETS))
    message = Message(MessageKind.DIGEST, sender, PEER_GENERATION, 0, 0, 7, 0, extra)
    return DatagramReceived(sender, encode(message))


def ping_request(sender: int, subject: int) -> DatagramReceived:
    """Return a peer's request to ping a member."""
    message = Message(MessageKind.PING_REQ, sender, PEER_GENERATION, 0, 9, 7, subject)
    return DatagramReceived(sender, encode(message))


def run(core: Membership, begin_ms: float, duration_ms: float) -> list[tuple[float, Action]]:
    """Let time pass; return what the node did and when."""
    done: list[tuple[float, Action]] = []
    now_ms = begin_ms
    while (now_ms := max(now_ms, core.next_wakeup_ms)) <= begin_ms + duration_ms:
        done += [(now_ms, action) for action in core.handle(now_ms, Tick())]
    return done


def transferred(done: list[tuple[float, Action]], receiver: int) -> list[tuple[float, set[int]]]:
    """Return the chunks of a transfer: when they were sent, and of which members."""
    chunks = []
    for at_ms, action in done:
        if isinstance(action, SendDatagram) and action.node == receiver:
            message = decode(action.data)
            if message.kind == MessageKind.GOSSIP:
                chunks.append((at_ms, {update.member for update in message.updates}))
    return chunks


def test_a_transfer_goes_on_when_members_of_it_are_removed(core: Membership) -> None:
    """Guards against a shorter list that ends anti-entropy for good."""
    first = [(2.0, action) for action in core.handle(2.0, digest(1))]
    core.handle(3.0, PeersChanged(40))
    done = first + run(core, 3.0, 40 * PERIOD_MS)
    sent = set[int]().union(*(members for _, members in transferred(done, 1)))
    assert sent >= set(range(40)) - {1}


@pytest.mark.parametrize("count", [NODE_COUNT, 40])
def test_another_transfer_begins_after_the_receiver_of_one_is_gone(core: Membership, count: int) -> None:
    """Guards against a receiver that is replaced, or removed, between two datagrams of its transfer."""
    receiver = 1 if count == NODE_COUNT else 50
    core.handle(2.0, digest(receiver))
    core.handle(3.0, PeersChanged(count, frozenset({receiver} if receiver < count else ())))
    run(core, 3.0, 3 * PERIOD_MS)
    begin_ms = 4 * PERIOD_MS
    first = [(begin_ms, action) for action in core.handle(begin_ms, digest(2))]
    done = first + run(core, begin_ms, 40 * PERIOD_MS)
    sent = set[int]().union(*(members for _, members in transferred(done, 2)))
    assert sent >= {member for member in core.present_members() if member != 2}


def test_a_forgotten_transfer_does_not_double_the_pace_of_the_next(core: Membership) -> None:
    """Guards against two chains of timers."""
    core.handle(2.0, digest(1))
    core.handle(3.0, PeersChanged(NODE_COUNT, frozenset({1})))
    first = [(4.0, action) for action in core.handle(4.0, digest(2))]
    chunks = transferred(first + run(core, 4.0, 40 * PERIOD_MS), 2)
    times = [at_ms for at_ms, _ in chunks]
    assert len(times) > 2
    assert all(later - earlier >= PERIOD_MS for earlier, later in itertools.pairwise(times))


@pytest.mark.parametrize("change", [PeersChanged(3), PeersChanged(NODE_COUNT, frozenset({50}))])
def test_a_requester_that_is_gone_is_sent_no_nack_and_no_ack(core: Membership, change: PeersChanged) -> None:
    """Guards against an indirect probe whose requester is removed, or replaced, before the answer."""
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


def test_a_flood_of_requests_ends_no_transfers(core: Membership) -> None:
    """Guards timers that set their successors: with all of them taken that of a transfer was dropped."""
    message = Message(MessageKind.PING_REQ, 50, PEER_GENERATION, 0, 9, 7, 2)
    for _ in range(MAX_TIMERS):
        core.handle(2.0, DatagramReceived(50, encode(message)))
    core.handle(2.0, digest(1))
    assert len(core.node.timers) <= MAX_TIMERS
    assert len(transferred(run(core, 2.0, 3 * PERIOD_MS), 1)) >= 2
    begin_ms = 4 * PERIOD_MS
    core.handle(begin_ms, digest(2))
    assert len(transferred(run(core, begin_ms, 3 * PERIOD_MS), 2)) >= 2


def test_no_change_of_the_list_brings_an_exception_or_ends_probes() -> None:
    """Guards each index by a member's number, and each chain of timers, in tiers whose lists change often."""
    for seed in range(20):
        _play_changing_lists(random.Random(seed))


def _play_changing_lists(draws: random.Random) -> None:
    count = draws.choice([3, 6, 12, 40])
    cores = [Membership(Config(), node, count, 100 + node, node, 0.0) for node in range(count)]
    counts = [count] * count
    mail: list[tuple[float, int, int, bytes]] = []
    now_ms = 0.0

    def handle(node: int, event: Tick | PeersChanged | DatagramReceived) -> None:
        for action in cores[node].handle(now_ms, event):
            if not isinstance(action, SendDatagram):
                continue
            for target in range(count) if action.node is None else (action.node,):
                if target != node and target < count and draws.random() > 0.3:
                    mail.append((now_ms + 50 * draws.random(), target, node, action.data))

    while now_ms < 12_000:
        now_ms += draws.choice([1, 5, 20])
        for node in range(count):
            if cores[node].next_wakeup_ms <= now_ms:
                handle(node, Tick())
        due = [datagram for datagram in mail if datagram[0] <= now_ms]
        mail[:] = [datagram for datagram in mail if datagram[0] > now_ms]
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
