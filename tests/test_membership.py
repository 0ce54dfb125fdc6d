"""Tests of the membership protocol of one node: arbitrary datagrams, then each reaction by itself."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balancer.membership.config import Config
from balancer.membership.core import Membership
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
from balancer.membership.timers import MAX_TIMERS
from tests.membership_helpers import (
    NODE_COUNT,
    OWN_GENERATION,
    alive,
    dead,
    membership,
    received,
    sent,
    suspect,
)

CLAIMED_STATES = [MemberState.ALIVE, MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT]
uint32 = st.integers(0, 2**32 - 1)
incarnations = st.integers(0, LEFT_INCARNATION)
updates = st.builds(
    Update,
    st.integers(0, NODE_COUNT + 1),
    uint32,
    incarnations,
    st.sampled_from(CLAIMED_STATES),
    st.integers(0, NODE_COUNT),
)
messages = st.builds(
    Message,
    st.integers(1, 9),
    st.integers(0, NODE_COUNT),
    uint32,
    incarnations,
    uint32,
    uint32,
    st.integers(0, NODE_COUNT + 1) | st.just(NO_MEMBER),
    st.binary(max_size=140),
    st.lists(updates, max_size=8).map(tuple),
)
# A step is a time to wait in ms, a source node, and the message or the raw bytes that the node sends.
steps = st.tuples(st.floats(0, 3000), st.integers(0, NODE_COUNT), messages | st.binary(max_size=300))


@given(messages)
def test_a_decoded_datagram_equals_the_encoded_message(message: Message) -> None:
    try:
        data = encode(message)
    except MessageError:
        return
    decoded = decode(data)
    assert len(data) <= MAX_DATAGRAM_BYTES
    assert [update.key for update in decoded.updates] == [update.key for update in message.updates]
    assert (decoded.kind, decoded.sender, decoded.extra, decoded.subject) == (
        message.kind,
        message.sender,
        message.extra,
        message.subject,
    )


@given(messages, st.integers(0, MAX_DATAGRAM_BYTES * 8 - 1))
def test_a_flipped_bit_or_a_truncation_is_detected(message: Message, bit: int) -> None:
    try:
        data = bytearray(encode(message))
    except MessageError:
        return
    bit %= len(data) * 8
    data[bit // 8] ^= 1 << bit % 8
    for corrupted in (bytes(data), bytes(data[:-1])):
        with pytest.raises(MessageError):
            decode(corrupted)


@settings(max_examples=150, deadline=None)
@given(st.lists(steps, max_size=40))
def test_any_datagrams_only_raise_keys_and_keep_the_node_alive(
    received_steps: list[tuple[float, int, Message | bytes]],
) -> None:
    core = membership()
    now_ms = 0.0
    before = [record.key for record in core.view.records]
    for wait_ms, source, content in received_steps:
        now_ms += wait_ms
        try:
            data = content if isinstance(content, bytes) else encode(content)
        except MessageError:
            continue
        for action in core.handle(now_ms, DatagramReceived(source, data)):
            assert not isinstance(action, SendDatagram) or len(action.data) <= MAX_DATAGRAM_BYTES
        after = [record.key for record in core.view.records]
        assert all(new >= old for old, new in zip(before, after, strict=True))
        own = core.view.records[0]
        assert own.state is MemberState.ALIVE
        assert own.key >= (core.node.generation, core.node.incarnation, MemberState.ALIVE)
        assert len(core.sender.queue) <= NODE_COUNT
        assert len(core.node.timers) <= MAX_TIMERS == 4096
        before = after


def test_a_wrong_sender_is_counted_and_dropped() -> None:
    core = membership()
    core.handle(0.5, Tick())
    message = Message(MessageKind.PING, 2, 50, 0, 1, 0, 0)
    assert core.handle(1.0, DatagramReceived(3, encode(message))) == []
    assert core.node.counts["wrong_sender"] == 1
    assert core.present_members() == [0]


@pytest.fixture
def suspected() -> Membership:
    """Return a node that has refuted one suspicion of itself."""
    core = membership()
    core.handle(1.0, received(1, suspect(0, generation=OWN_GENERATION)))
    return core


def test_a_suspicion_of_this_node_raises_its_incarnation(suspected: Membership) -> None:
    assert suspected.node.incarnation == 1


def test_a_claim_about_a_former_generation_is_ignored(suspected: Membership) -> None:
    assert suspected.handle(2.0, received(1, dead(0, 5, generation=99))) == []
    assert (suspected.node.generation, suspected.node.incarnation) == (100, 1)


def test_a_generation_that_was_too_low_is_raised(suspected: Membership) -> None:
    suspected.handle(3.0, received(1, Update(0, 200, 5, MemberState.LEFT)))
    assert (suspected.node.generation, suspected.node.incarnation) == (201, 0)


def test_a_claim_that_cannot_be_refuted_is_counted(suspected: Membership) -> None:
    suspected.handle(3.0, received(1, Update(0, 200, 5, MemberState.LEFT)))
    suspected.handle(4.0, received(1, dead(0, 5, generation=MAX_GENERATION)))
    node = suspected.node
    assert (node.generation, node.incarnation, node.counts["outbid"]) == (201, 0, 1)


def test_a_refuted_suspicion_never_becomes_a_death() -> None:
    core = membership()
    core.handle(1.0, received(1, suspect(2, generation=9)))
    assert core.view.records[2].state is MemberState.SUSPECT
    core.handle(500.0, received(1, alive(2, 1, generation=9)))
    actions: list[Action] = []
    for now_ms in range(600, 20_000, 100):
        actions += core.handle(float(now_ms), Tick())
    deaths = [
        action
        for action in actions
        if isinstance(action, MemberChanged)
        and (action.member, action.after, action.generation) == (2, MemberState.DEAD, 9)
    ]
    assert not deaths or core.view.records[2].incarnation != 0
    core.handle(20_000.0, received(1, suspect(2, accuser=3, generation=9)))
    assert core.view.records[2].key >= (9, 1, MemberState.ALIVE)


def test_confirmations_shorten_a_suspicion() -> None:
    unconfirmed = membership(5, 1, 2, 3, 4)
    confirmed = membership(5, 1, 2, 3, 4)
    unconfirmed.handle(2.0, received(1, suspect(5)))
    for accuser in (1, 2, 3, 4):
        confirmed.handle(2.0, received(accuser, suspect(5, accuser=accuser)))
    latest_ms = 2.0 + Config().max_suspicion_ms
    assert confirmed.suspicions.active[5].deadline_ms < latest_ms
    assert unconfirmed.suspicions.active[5].deadline_ms == latest_ms


@pytest.mark.parametrize(("peers", "has_quorum"), [((), False), ((1, 2), False), ((1, 2, 3), True)])
def test_a_quorum_is_more_than_half_of_the_tier(peers: tuple[int, ...], has_quorum: bool) -> None:
    assert membership(*peers).has_quorum() is has_quorum


def test_a_false_death_starts_a_liveness_query_and_the_answers_are_broadcast() -> None:
    core = membership(1, 2, 3)
    core.handle(2.0, received(1, dead(2), dead(3), subject=NO_MEMBER))
    actions = core.handle(3.0, received(1, alive(2, 1)))
    for step in range(40):
        actions += core.handle(3.0 + 100 * step, Tick())
    queries = sent(actions, MessageKind.LIVENESS_QUERY)
    assert [[update.member for update in query.updates] for query in queries] == [[3]]
    assert sent(actions, MessageKind.BULK_UPDATE)


def test_a_queried_node_answers_only_the_sender_and_ignores_deaths_of_others() -> None:
    core = membership(1, 2)
    query = received(1, dead(0, generation=OWN_GENERATION), dead(2), kind=MessageKind.LIVENESS_QUERY)
    actions = core.handle(2.0, query)
    assert core.node.incarnation == 1
    assert core.view.records[2].state is MemberState.ALIVE
    answers = [(a.node, decode(a.data).kind) for a in actions if isinstance(a, SendDatagram)]
    assert answers == [(1, MessageKind.ACK)]


def test_an_update_received_in_bulk_is_suppressed() -> None:
    core = membership(1, 2)
    core.handle(2.0, received(1, alive(3)))
    before = core.sender.queue.transmits[3]
    core.handle(3.0, received(2, alive(3), kind=MessageKind.BULK_UPDATE, subject=NO_MEMBER))
    assert core.sender.queue.transmits[3] >= before + 2


@pytest.fixture
def flapping() -> tuple[Membership, list[float]]:
    """Return a node that has seen three false deaths of member 3, and the minimum suspicion timeouts."""
    core = membership(1, 2, 3)
    timeouts_ms = []
    for turn in range(3):
        core.handle(10.0 + turn, received(1, suspect(3, turn)))
        timeouts_ms.append(core.suspicions.active[3].min_timeout_ms)
        core.handle(10.2 + turn, received(1, dead(3, turn)))
        core.handle(10.4 + turn, received(1, alive(3, turn + 1)))
    return core, timeouts_ms


def test_each_false_death_doubles_the_minimum_suspicion(flapping: tuple[Membership, list[float]]) -> None:
    _, timeouts_ms = flapping
    base_ms = Config().min_suspicion_ms
    assert timeouts_ms == [base_ms, 2 * base_ms, 4 * base_ms]


def test_a_new_generation_ends_flap_damping(flapping: tuple[Membership, list[float]]) -> None:
    core, _ = flapping
    core.handle(20.0, received(3, generation=51))
    core.handle(20.1, received(1, suspect(3, generation=51)))
    assert core.suspicions.active[3].min_timeout_ms == Config().min_suspicion_ms


def test_a_view_change_is_reported_as_one_action_with_a_reason() -> None:
    core = membership()
    core.handle(0.5, Tick())
    actions = core.handle(1.0, received(1, alive(2, generation=9)))
    changes = [action for action in actions if isinstance(action, ViewChanged)]
    assert [(change.present_count, change.has_quorum, change.reason) for change in changes] == [
        (3, False, "node 1 alive and 1 more")
    ]


def test_a_suspicion_is_not_reported_as_a_view_change() -> None:
    core = membership()
    core.handle(0.5, Tick())
    core.handle(1.0, received(1, alive(2, generation=9)))
    actions = core.handle(2.0, received(1, suspect(2, generation=9)))
    assert not [action for action in actions if isinstance(action, ViewChanged)]


def test_lasting_disagreement_is_reported_once_and_so_is_its_end() -> None:
    core = membership(1, 2)
    actions: list[Action] = []
    for step in range(60):
        view = core.view.state_hash if step >= 40 else 7
        for peer in (1, 2):
            message = Message(MessageKind.NACK, peer, 50, 0, 0, view)
            actions += core.handle(10.0 + 500 * step, DatagramReceived(peer, encode(message)))
    reports = [action for action in actions if isinstance(action, DisagreementChanged)]
    assert [(report.is_active, report.agreement_ratio) for report in reports] == [(True, 0.0), (False, 1.0)]


def test_members_missing_from_a_new_peer_list_are_marked_as_left() -> None:
    core = membership(1, 2, 4, 5)
    actions = core.handle(2.0, PeersChanged(5, frozenset({2})))
    changes = [action for action in actions if isinstance(action, MemberChanged)]
    assert [(change.member, change.after) for change in changes] == [
        (2, MemberState.LEFT),
        (5, MemberState.LEFT),
    ]
    assert core.present_members() == [0, 1, 4]
    assert core.has_quorum()


def test_members_new_in_a_peer_list_are_unknown_until_heard() -> None:
    core = membership(1, 2, 4, 5)
    core.handle(2.0, PeersChanged(5, frozenset({2})))
    # The datagram comes from the node that has replaced node 2.
    core.handle(3.0, received(2, generation=60))
    core.handle(3.0, PeersChanged(8))
    assert core.present_members() == [0, 1, 2, 4]
    assert not core.has_quorum()


def test_hashes_after_a_new_peer_list_equal_those_of_a_fresh_node() -> None:
    core = membership(1, 2, 4, 5)
    core.handle(2.0, PeersChanged(5, frozenset({2})))
    core.handle(3.0, received(2, generation=60))
    core.handle(3.0, PeersChanged(8))
    fresh = Membership(Config(), 0, 8, OWN_GENERATION, 1, 0.0)
    for member in (1, 2, 4):
        fresh.handle(1.0, received(member, generation=60 if member == 2 else 50))
    assert fresh.view.state_hash == core.view.state_hash
    assert fresh.view.bucket_hashes == core.view.bucket_hashes


@pytest.fixture
def leaving() -> tuple[Membership, list[Action]]:
    """Return a node that is leaving, and its actions up to 300 ms."""
    core = membership(1)
    actions = core.handle(2.0, Leave())
    actions += core.handle(300.0, Tick())
    return core, actions


def test_a_leaving_node_broadcasts_that_twice(leaving: tuple[Membership, list[Action]]) -> None:
    _, actions = leaving
    broadcasts = [action for action in actions if isinstance(action, SendDatagram) and action.node is None]
    assert len(broadcasts) == 2


def test_a_leaving_node_still_answers_pings(leaving: tuple[Membership, list[Action]]) -> None:
    core, _ = leaving
    actions = core.handle(301.0, received(1, kind=MessageKind.PING))
    answers = [action for action in actions if isinstance(action, SendDatagram) and action.node == 1]
    assert decode(answers[0].data).kind == MessageKind.ACK


def test_plain_swim_also_broadcasts_twice_that_a_node_leaves() -> None:
    """Guards against a broadcast rate of 0 that discards reserved tokens.

    Peers then learned only from failed probes that a node had left.
    """
    core = Membership(Config.plain_swim(), 0, NODE_COUNT, OWN_GENERATION, 1, 0.0)
    actions = core.handle(2.0, Leave())
    actions += core.handle(300.0, Tick())
    broadcasts = [action for action in actions if isinstance(action, SendDatagram) and action.node is None]
    assert len(broadcasts) == 2
