"""The membership core: any datagrams at all, then whole tiers under a virtual clock with seeded faults."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balancer.membership.config import Config
from balancer.membership.core import Membership
from balancer.membership.dissemination import TransmitLimitedQueue
from balancer.membership.events import (
    Action,
    DatagramReceived,
    DisagreementChanged,
    Leave,
    MemberChanged,
    PeersChanged,
    SendDatagram,
    Tick,
    ViewChanged,
)
from balancer.membership.messages import (
    LEFT_INCARNATION,
    MAX_DATAGRAM_BYTES,
    MAX_GENERATION,
    NO_MEMBER,
    MemberState,
    Message,
    MessageError,
    MessageKind,
    Update,
    decode,
    encode,
)
from balancer.membership.view import View
from balancer.sim.members import GENERATION_UNIT_MS, Network, World

COUNT = 6
SOON = 15_000.0  # ms after which a small tier has settled
STATES = [MemberState.ALIVE, MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT]
updates = st.builds(
    Update, st.integers(0, COUNT + 1), st.integers(0, 2**32 - 1), st.integers(0, LEFT_INCARNATION),
    st.sampled_from(STATES), st.integers(0, COUNT),
)  # fmt: skip
messages = st.builds(
    Message, st.integers(1, 9), st.integers(0, COUNT), st.integers(0, 2**32 - 1),
    st.integers(0, LEFT_INCARNATION),
    st.integers(0, 2**32 - 1), st.integers(0, 2**32 - 1), st.integers(0, COUNT + 1) | st.just(NO_MEMBER),
    st.binary(max_size=140), st.lists(updates, max_size=8).map(tuple),
)  # fmt: skip


def lone(**over: object) -> Membership:
    return Membership(Config(**over), 0, COUNT, 100, 1, 0.0)  # type: ignore[arg-type]


def said(
    sender: int, kind: MessageKind = MessageKind.GOSSIP, *what: Update, generation: int = 50, subject: int = 0
) -> DatagramReceived:
    return DatagramReceived(sender, encode(Message(kind, sender, generation, 0, 7, 0, subject, updates=what)))


def world(count: int, seed: int = 1, **over: object) -> World:
    """A tier that has come up and agrees."""
    out = World(count, seed, network=Network(**over))  # type: ignore[arg-type]
    for node in range(count):
        out.start(node)
    assert out.run_until_converged(SOON) < SOON
    return out


@given(messages)
def test_a_datagram_is_read_as_it_was_written(message: Message) -> None:
    try:
        data = encode(message)
    except MessageError:
        return
    back = decode(data)
    assert len(data) <= MAX_DATAGRAM_BYTES
    assert [r.key for r in back.updates] == [r.key for r in message.updates]
    assert (back.kind, back.sender, back.extra, back.subject) == (
        message.kind, message.sender, message.extra, message.subject,
    )  # fmt: skip


@given(messages, st.integers(0, MAX_DATAGRAM_BYTES * 8 - 1))
def test_a_flipped_bit_or_a_cut_is_seen(message: Message, bit: int) -> None:
    try:
        data = bytearray(encode(message))
    except MessageError:
        return
    bit %= len(data) * 8
    data[bit // 8] ^= 1 << bit % 8
    for bad in (bytes(data), bytes(data[:-1])):
        with pytest.raises(MessageError):
            decode(bad)


@settings(max_examples=150, deadline=None)
@given(
    st.lists(
        st.tuples(st.floats(0, 3000), st.integers(0, COUNT), messages | st.binary(max_size=300)), max_size=40
    )
)
def test_whatever_comes_nothing_breaks_and_numbers_only_rise(
    steps: list[tuple[float, int, Message | bytes]],
) -> None:
    core, now = lone(), 0.0
    before = [r.key for r in core.view.records]
    for wait, source, what in steps:
        now += wait
        try:
            data = what if isinstance(what, bytes) else encode(what)
        except MessageError:
            continue
        for action in core.handle(now, DatagramReceived(source, data)):
            assert not isinstance(action, SendDatagram) or len(action.data) <= MAX_DATAGRAM_BYTES
        after = [r.key for r in core.view.records]
        assert all(b >= a for a, b in zip(before, after, strict=True))
        assert core.view.records[0].state is MemberState.ALIVE and core.view.records[0].key >= (
            core.node.generation,
            core.node.incarnation,
            1,
        )
        assert len(core.sender.queue) <= COUNT and len(core.node.timers) <= 4096
        before = after


def test_a_wrong_sender_is_counted_and_dropped() -> None:
    core = lone()
    core.handle(0.5, Tick())
    message = Message(MessageKind.PING, 2, 50, 0, 1, 0, 0)
    assert core.handle(1.0, DatagramReceived(3, encode(message))) == []
    assert core.node.counts["wrong_sender"] == 1 and core.present_members() == [0]


def test_a_suspicion_of_oneself_is_refuted_and_one_of_a_former_life_is_not_worth_it() -> None:
    core = lone()
    core.handle(1.0, said(1, MessageKind.GOSSIP, Update(0, 100, 0, MemberState.SUSPECT, 1)))
    assert core.node.incarnation == 1
    assert core.handle(2.0, said(1, MessageKind.GOSSIP, Update(0, 99, 5, MemberState.DEAD))) == []
    assert (core.node.generation, core.node.incarnation) == (100, 1)
    core.handle(
        3.0, said(1, MessageKind.GOSSIP, Update(0, 200, 5, MemberState.LEFT))
    )  # this generation began with too low a number
    assert (core.node.generation, core.node.incarnation) == (201, 0)
    core.handle(
        4.0, said(1, MessageKind.GOSSIP, Update(0, MAX_GENERATION, 5, MemberState.DEAD))
    )  # nothing is above it
    assert (core.node.generation, core.node.incarnation, core.node.counts["outbid"]) == (201, 0, 1)


def test_a_refuted_suspicion_never_becomes_death() -> None:
    core = lone()
    core.handle(1.0, said(1, MessageKind.GOSSIP, Update(2, 9, 0, MemberState.SUSPECT, 1)))
    assert core.view.records[2].state is MemberState.SUSPECT
    core.handle(500.0, said(1, MessageKind.GOSSIP, Update(2, 9, 1, MemberState.ALIVE)))
    changes = [
        a
        for t in range(600, 20_000, 100)
        for a in core.handle(float(t), Tick())
        if isinstance(a, MemberChanged)
    ]
    assert not [
        c
        for c in changes
        if c.member == 2
        and c.after is MemberState.DEAD
        and c.generation == 9
        and core.view.records[2].incarnation == 0
    ]
    core.handle(20_000.0, said(1, MessageKind.GOSSIP, Update(2, 9, 0, MemberState.SUSPECT, 3)))
    assert core.view.records[2].key >= (9, 1, MemberState.ALIVE)


def test_confirmations_shorten_a_suspicion() -> None:
    slow, fast = lone(), lone()
    for core in (slow, fast):
        core.handle(1.0, said(5))
        for peer in (1, 2, 3, 4):
            core.handle(1.0, said(peer))
    slow.handle(2.0, said(1, MessageKind.GOSSIP, Update(5, 50, 0, MemberState.SUSPECT, 1)))
    for accuser in (1, 2, 3, 4):
        fast.handle(2.0, said(accuser, MessageKind.GOSSIP, Update(5, 50, 0, MemberState.SUSPECT, accuser)))
    assert (
        fast.suspicions.active[5].deadline_ms
        < slow.suspicions.active[5].deadline_ms
        == 2.0 + Config().max_suspicion_ms
    )


def test_a_minority_knows_that_it_is_one() -> None:
    core = lone()
    assert not core.has_quorum()
    for peer in (1, 2):
        core.handle(1.0, said(peer))
    assert not core.has_quorum()  # three of six
    core.handle(2.0, said(3))
    assert core.has_quorum()


def told(actions: list[Action], kind: MessageKind) -> list[Message]:
    """The datagrams of a kind among some actions."""
    found = [decode(a.data) for a in actions if isinstance(a, SendDatagram)]
    return [m for m in found if m.kind == kind]


def met(*peers: int, **over: object) -> Membership:
    """A lone core that has heard of some peers."""
    core = lone(**over)
    for peer in peers:
        core.handle(1.0, said(peer))
    return core


def test_the_queue_tells_first_what_was_told_least_and_forgets_what_was_told_enough() -> None:
    view = View([Update(m, 1, 0, MemberState.ALIVE) for m in range(4)])
    queue = TransmitLimitedQueue(2)
    for member in (2, 0, 1):
        queue.put(member)
    order = [queue.take(view, 9, None)[0].member for _ in range(5)]
    assert order == [2, 0, 1, 2, 0] and len(queue) == 1
    queue.put(3)
    assert [r.member for r in queue.take(view, 30, 3)] == [1]  # 3 is said anyway


def test_a_death_that_was_none_brings_a_roll_call_and_the_answers_go_to_all() -> None:
    core = met(1, 2, 3)
    dead = (Update(2, 50, 0, MemberState.DEAD), Update(3, 50, 0, MemberState.DEAD))
    core.handle(2.0, said(1, MessageKind.GOSSIP, *dead, subject=NO_MEMBER))
    acts = core.handle(3.0, said(1, MessageKind.GOSSIP, Update(2, 50, 1, MemberState.ALIVE)))
    for step in range(40):
        acts += core.handle(3.0 + 100 * step, Tick())
    called = told(acts, MessageKind.LIVENESS_QUERY)
    assert [[r.member for r in m.updates] for m in called] == [[3]]
    assert told(acts, MessageKind.BULK_UPDATE)


def test_whoever_is_called_answers_the_caller_and_nobody_else_believes_the_call() -> None:
    core = met(1, 2)
    acts = core.handle(
        2.0,
        said(
            1,
            MessageKind.LIVENESS_QUERY,
            Update(0, 100, 0, MemberState.DEAD),
            Update(2, 50, 0, MemberState.DEAD),
        ),
    )
    assert core.node.incarnation == 1 and core.view.records[2].state is MemberState.ALIVE
    answers = [(a.node, decode(a.data).kind) for a in acts if isinstance(a, SendDatagram)]
    assert answers == [(1, MessageKind.ACK)]


def test_what_was_heard_on_a_page_is_hardly_told_on() -> None:
    core = met(1, 2)
    core.handle(2.0, said(1, MessageKind.GOSSIP, Update(3, 50, 0, MemberState.ALIVE)))
    before = core.sender.queue.transmits[3]
    core.handle(3.0, said(2, MessageKind.BULK_UPDATE, Update(3, 50, 0, MemberState.ALIVE), subject=NO_MEMBER))
    assert core.sender.queue.transmits[3] >= before + 2


def test_a_member_whose_death_was_none_gets_more_time_until_a_new_life() -> None:
    core = met(1, 2, 3)
    spans = []
    for turn in range(3):
        core.handle(10.0 + turn, said(1, MessageKind.GOSSIP, Update(3, 50, turn, MemberState.SUSPECT, 1)))
        spans.append(core.suspicions.active[3].min_timeout_ms)
        core.handle(10.2 + turn, said(1, MessageKind.GOSSIP, Update(3, 50, turn, MemberState.DEAD)))
        core.handle(10.4 + turn, said(1, MessageKind.GOSSIP, Update(3, 50, turn + 1, MemberState.ALIVE)))
    base = Config().min_suspicion_ms
    assert spans == [base, 2 * base, 4 * base]
    core.handle(20.0, said(3, generation=51))
    core.handle(20.1, said(1, MessageKind.GOSSIP, Update(3, 51, 0, MemberState.SUSPECT, 1)))
    assert core.suspicions.active[3].min_timeout_ms == base


def test_a_change_of_the_view_is_one_event_with_its_reason() -> None:
    core = lone()
    core.handle(0.5, Tick())
    events = [a for a in core.handle(1.0, said(1, MessageKind.GOSSIP, Update(2, 9, 0, MemberState.ALIVE)))
              if isinstance(a, ViewChanged)]  # fmt: skip
    assert [(e.present_count, e.has_quorum, e.reason) for e in events] == [
        (3, False, "node 1 alive and 1 more")
    ]
    quiet = core.handle(2.0, said(1, MessageKind.GOSSIP, Update(2, 9, 0, MemberState.SUSPECT, 1)))
    assert not [a for a in quiet if isinstance(a, ViewChanged)]  # a suspect is present


def test_disagreement_that_lasts_is_said_once_and_its_end_too() -> None:
    core, found = met(1, 2), []
    agreed = False
    for step in range(60):
        now = 10.0 + 500 * step
        agreed = agreed or step >= 40
        view = core.view.state_hash if agreed else 7
        for peer in (1, 2):
            message = Message(MessageKind.NACK, peer, 50, 0, 0, view)
            found += core.handle(now, DatagramReceived(peer, encode(message)))
    assert [(a.is_active, a.agreement_ratio) for a in found if isinstance(a, DisagreementChanged)] == [
        (True, 0.0),
        (False, 1.0),
    ]


def test_another_list_of_peers_lets_some_leave_and_others_come() -> None:
    core = met(1, 2, 4, 5)
    acts = core.handle(2.0, PeersChanged(5, frozenset({2})))
    assert [(a.member, a.after) for a in acts if isinstance(a, MemberChanged)] == [
        (2, MemberState.LEFT),
        (5, MemberState.LEFT),
    ]
    assert core.present_members() == [0, 1, 4] and core.has_quorum()
    core.handle(3.0, said(2, generation=60))  # the new one of that number
    core.handle(3.0, PeersChanged(8))
    assert core.present_members() == [0, 1, 2, 4] and not core.has_quorum()
    same = Membership(Config(), 0, 8, 100, 1, 0.0)
    for member in (1, 2, 4):
        same.handle(1.0, said(member, generation=60 if member == 2 else 50))
    assert same.view.state_hash == core.view.state_hash and same.view.bucket_hashes == core.view.bucket_hashes


# --- whole tiers


def test_a_tier_comes_up_cold_and_a_killed_node_is_known_to_all() -> None:
    tier = world(24, loss_rate=0.1)
    tier.kill(5)
    assert tier.run_until_converged(SOON) < SOON
    tier.run(tier.now + SOON)  # until everybody has heard everybody
    assert all(h.core.agreement_ratio() == 1.0 for h in tier.hosts if h.core is not None)


def test_a_restart_is_not_buried_by_rumours_of_the_life_before() -> None:
    tier = world(12, loss_rate=0.05, duplicate_rate=0.2, late_rate=0.2)
    for _ in range(3):
        tier.kill(4)
        tier.run(tier.now + GENERATION_UNIT_MS + 400)
        tier.start(4)
        tier.run(tier.now + 2500)
    tier.network.late_rate = 0.0
    assert tier.run_until_converged(2 * SOON) < 2 * SOON
    lives = {h.core.view.records[4].generation for h in tier.hosts if h.core is not None}
    assert len(lives) == 1


def test_one_that_leaves_is_left_and_never_comes_back_by_rumour() -> None:
    tier = world(12, loss_rate=0.1, duplicate_rate=0.1, late_rate=0.2)
    begun = tier.now
    tier.leave(7)
    tier.run(begun + 3 * SOON)
    states = {h.core.view.records[7].state for h in tier.hosts if h.core is not None}
    assert states == {MemberState.LEFT} and 7 not in {s.change.member for s in tier.deaths_declared(begun)}
    back = [s for s in tier.observations if s.change.member == 7 and s.change.before is MemberState.LEFT]
    assert back == []


@pytest.mark.parametrize("seed", range(5))
def test_a_planned_restart_beside_a_death_is_told_as_one_and_nobody_suspects(seed: int) -> None:
    tier = world(5, seed)
    tier.run(tier.now + SOON)
    begun = tier.now
    tier.kill(1)
    tier.run(tier.now + 1000)
    tier.leave(3)
    tier.run(tier.now + 800 + 500)
    tier.start(3)
    tier.run(tier.now + SOON)
    for node in (0, 2, 4):
        told = [
            s.change.after
            for s in tier.observations
            if (s.node, s.change.member) == (node, 3) and s.at >= begun
        ]
        assert told == [MemberState.LEFT, MemberState.ALIVE]


def test_a_partition_splits_the_views_and_heals() -> None:
    tier = world(15)
    tier.network.is_cut = lambda a, b: (a % 3 == 0) != (b % 3 == 0)
    tier.run(tier.now + 2 * SOON)
    small, large = tier.hosts[0].core, tier.hosts[1].core
    assert small is not None and large is not None
    assert small.present_members() == [0, 3, 6, 9, 12] and not small.has_quorum() and large.has_quorum()
    tier.network.is_cut = lambda a, b: False
    assert tier.run_until_converged(2 * SOON) < 2 * SOON


def test_a_healed_partition_is_agreed_on_without_a_flood() -> None:
    tier = world(60, loss_rate=0.03)
    tier.run(tier.now + SOON)
    tier.sent_by_node.clear()
    tier.run(tier.now + SOON)
    usual = sum(tier.sent_by_node.values()) / SOON * 1000
    tier.network.is_cut = lambda a, b: (a % 3 == 0) != (b % 3 == 0)
    tier.run(tier.now + 2 * SOON)
    tier.network.is_cut = lambda a, b: False
    tier.sent_by_second.clear()
    assert tier.run_until_converged(5000) <= 5000
    tier.run(tier.now + 5000)
    assert max(tier.sent_by_second.values()) <= 2 * usual


def test_a_node_that_stalls_again_and_again_is_buried_less_and_less() -> None:
    tier = world(20)
    begun = tier.now
    for step in range(12):
        tier.at(begun + 10_000 * step, lambda: tier.stall(2, 2000.0))
    tier.run(begun + 120_000)
    early = [s for s in tier.deaths_declared(begun) if s.at < begun + 40_000]
    late = [s for s in tier.deaths_declared(begun) if s.at >= begun + 80_000]
    assert len(late) < len(early) / 2


def test_a_node_that_only_hears_is_reached_by_way_of_others() -> None:
    tier = world(12)
    begun = tier.now
    tier.network.is_cut = lambda a, b: (a, b) == (3, 8)  # 3 does not reach 8, 8 reaches 3
    tier.run(begun + 3 * SOON)
    assert tier.deaths_declared(begun) == [] and tier.has_converged()


@pytest.mark.parametrize("seed", [1, 5])
def test_a_node_that_hears_little_buries_no_healthy_one(seed: int) -> None:
    tier = world(24, seed, loss_rate=0.05)
    tier.run(tier.now + 5000)
    begun, dice = tier.now, random.Random(seed)
    tier.network.is_cut = lambda a, b: (5 in (a, b) and dice.random() < 0.9) or (a, b) == (3, 8)
    tier.run(begun + 60_000)
    assert [s for s in tier.deaths_declared(begun) if s.change.member != 5 and s.node != 5] == []


def test_nodes_that_stall_do_not_bury_the_healthy() -> None:
    tier = world(20, loss_rate=0.05)
    begun = tier.now
    for step in range(6):
        tier.at(begun + 10_000 * step, lambda: tier.stall(2, 2000.0))
    tier.run(begun + 60_000)
    assert [s for s in tier.deaths_declared(begun) if s.change.member != 2] == []


def test_one_seed_is_one_run() -> None:
    def trace(seed: int) -> list[tuple[float, int, int, MemberState]]:
        tier = world(10, seed, loss_rate=0.1, corrupt_rate=0.02, duplicate_rate=0.1)
        tier.kill(3)
        tier.run(tier.now + SOON)
        return [(s.at, s.node, s.change.member, s.change.after) for s in tier.observations]

    assert trace(5) == trace(5) != trace(6)


def test_what_a_node_sends_does_not_grow_with_the_tier() -> None:
    rates = []
    for count in (10, 60):
        tier = world(count)
        tier.run(tier.now + SOON)
        tier.sent_by_node.clear()
        tier.run(tier.now + SOON)
        rates.append(sum(tier.sent_by_node.values()) / count / SOON * 1000)
    assert rates[1] < 1.3 * rates[0] and rates[1] < 4.0


def test_leaving_is_said_twice_and_answered_for() -> None:
    core = lone()
    core.handle(1.0, said(1))
    told = [a for a in core.handle(2.0, Leave()) if isinstance(a, SendDatagram) and a.node is None]
    told += [a for a in core.handle(300.0, Tick()) if isinstance(a, SendDatagram) and a.node is None]
    assert len(told) == 2
    answers = [
        a
        for a in core.handle(301.0, said(1, MessageKind.PING))
        if isinstance(a, SendDatagram) and a.node == 1
    ]
    assert decode(answers[0].data).kind == MessageKind.ACK
