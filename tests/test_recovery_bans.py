"""Bans in a tier: operators' requests, peers, disks."""

from __future__ import annotations

import math

import pytest

from balancer.recovery.actions import (
    ApplyBan,
    PersistEntries,
    SendDatagram,
)
from balancer.recovery.ban_register import BanEntry
from balancer.recovery.config import RecoveryConfig
from balancer.recovery.events import (
    BanRequested,
    DatagramReceived,
    MembershipChanged,
    PeersChanged,
    WriteCompleted,
)
from balancer.recovery.phases import Phase
from tests.recovery_tier import BAN, Tier, register_of, restarted_tier, settled_tier


def test_a_ban_is_sent_to_peers_once_it_is_on_the_disk() -> None:
    tier = settled_tier(3)
    core = tier.nodes[0]
    (keep,) = core.handle(tier.now, BanRequested("a", True, tier.now, 7))
    assert isinstance(keep, PersistEntries) and keep.token == 7 and not core.register.bans()
    acts = core.handle(tier.now, WriteCompleted(7, True))
    (tell,) = [act for act in acts if isinstance(act, SendDatagram)]
    assert tell.node is None and ApplyBan("a", True, tier.now) in acts
    tier.event(1, DatagramReceived(0, tell.data))
    assert tier.of(1, ApplyBan)[-1].banned and tier.of(1, PersistEntries)[-1].token is None
    tier.run(400)
    assert core.stats().counts["sent_rows"] == 2 and tier.nodes[2].register.is_banned("a")
    tier.event(2, BanRequested("a", False, tier.now, 1))
    tier.run(10)
    assert not any(node.register.bans() for node in tier.nodes.values())
    assert tier.of(0, ApplyBan)[-1] == ApplyBan("a", False, tier.now - 9)  # it took a millisecond


@pytest.mark.parametrize("out", [True, False])
def test_a_request_whose_write_fails_leaves_nothing_behind(out: bool) -> None:
    tier = settled_tier(3, entries=() if out else (BAN,))
    core = tier.nodes[0]
    before = core.register.bans()
    (keep,) = core.handle(tier.now, BanRequested("a", out, tier.now, 7))
    acts = core.handle(tier.now, WriteCompleted(7, False))
    assert core.register.bans() == before and not [act for act in acts if isinstance(act, ApplyBan)]
    assert isinstance(keep, PersistEntries)
    disk = register_of([*(() if out else (BAN,)), *keep.entries])  # it got there all the same
    disk.merge([row for act in acts if isinstance(act, PersistEntries) for row in act.entries])
    assert disk.bans().keys() == before.keys()


def test_ids_too_long_for_a_datagram_are_banned_here_alone() -> None:
    tier = settled_tier(3)
    tier.event(0, BanRequested("x" * 97, True, tier.now, 1))
    tier.run(6_000)
    assert tier.nodes[0].register.bans() and not tier.nodes[1].register.bans()
    assert tier.nodes[0].stats().counts["ids_not_shared"] == 1
    assert tier.nodes[0].register.hash == tier.nodes[1].register.hash


def test_a_peer_from_a_month_ago_changes_nothing_and_learns() -> None:
    tier = settled_tier(5, entries=(BAN,))
    tier.event(0, BanRequested("a", False, tier.now, 1))
    tier.event(0, BanRequested("b", True, tier.now, 2))
    del tier.nodes[4]
    tier.run(1_000)
    old = tier.start(4, 2, entries=(BAN, BanEntry("b", 0, 1, 0, False, -math.inf)), age_ms=30 * 86_400_000.0)
    tier.run(300)
    assert {tuple(core.register.bans()) for core in tier.nodes.values()} == {("b",)}
    assert old.phase is Phase.FULL


def test_large_registers_agree_by_digests_under_loss_and_the_budget() -> None:
    tier = Tier(8, loss=0.1)
    for node in range(8):
        own = tuple(BanEntry(f"{node}-{i}", node, 1, i, bool(i % 3), 0.0) for i in range(20))
        tier.start(node, entries=own)
    tier.see()
    tier.run(20_000)
    assert {len(core.register) for core in tier.nodes.values()} == {160}
    for node, acts in tier.acts.items():
        sent = [at for at, act in acts if isinstance(act, SendDatagram)]
        worst = max(sum(at <= other < at + 1000 for other in sent) for at in sent)
        assert worst <= RecoveryConfig().burst_datagrams + RecoveryConfig().datagrams_per_s, node


def test_changed_peers_are_forgotten_but_no_bans() -> None:
    tier = restarted_tier(5, entries=(BAN,))
    core = tier.nodes[0]
    core.handle(tier.now, PeersChanged(3, frozenset({2})))
    core.handle(tier.now, MembershipChanged({0: 1, 1: 1}, True))
    assert core.stats().reported_peers == 1 and core.register.is_banned("a") and core.quota.share == 1 / 2


def test_a_ban_that_crosses_the_write_of_a_lift_holds_everywhere() -> None:
    """Guards against a ban that was answered with yes and that a lift, requested before it, covers."""
    tier = settled_tier(3)
    tier.event(0, BanRequested("a", True, tier.now, 1))
    tier.run(1_000)
    waiting = tier.nodes[1]
    (keep,) = waiting.handle(tier.now, BanRequested("a", False, tier.now, 1))
    assert isinstance(keep, PersistEntries)
    tier.event(0, BanRequested("a", True, tier.now, 2))
    tier.run(20)
    tier.event(1, WriteCompleted(1, True))
    assert tier.of(1, ApplyBan)[-1].banned  # what the lift is answered with
    tier.run(6_000)
    assert all(core.register.is_banned("a") for core in tier.nodes.values())
    assert len({core.register.hash for core in tier.nodes.values()}) == 1


def test_registers_agree_after_peer_lists_have_changed_and_datagrams_were_lost() -> None:
    """The membership tells who is present: without it a node that hears nobody for 10 s sends to nobody."""
    tier = settled_tier(8)
    tier.loss = 0.1
    for round_number in range(6):
        node = round_number % 7
        tier.event(node, PeersChanged(7, frozenset({6})))
        tier.event(node, BanRequested("ab"[round_number % 2], round_number % 3 > 0, tier.now, round_number))
        tier.run(300)
    for node in range(8):
        tier.event(node, PeersChanged(8))
    tier.see()
    tier.run(20_000)
    assert len({core.register.hash for core in tier.nodes.values()}) == 1
