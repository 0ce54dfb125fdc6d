"""Propagation of bans through a tier: operator requests, entries of peers, saved entries."""

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
from tests.recovery_tier import BAN, Tier, merged_register, restarted_tier, settled_tier


def test_ban_is_sent_to_peers_after_it_is_on_disk() -> None:
    tier = settled_tier(3)
    core = tier.nodes[0]
    (write,) = core.handle(tier.now, BanRequested("a", True, tier.now, 7))
    assert isinstance(write, PersistEntries) and write.token == 7 and not core.register.bans()
    actions = core.handle(tier.now, WriteCompleted(7, True))
    (datagram,) = [action for action in actions if isinstance(action, SendDatagram)]
    assert datagram.node is None and ApplyBan("a", True, tier.now) in actions
    tier.handle_event(1, DatagramReceived(0, datagram.data))
    assert tier.actions_of(1, ApplyBan)[-1].banned and tier.actions_of(1, PersistEntries)[-1].token is None
    tier.run(400)
    assert core.stats().counts["sent_rows"] == 2 and tier.nodes[2].register.is_banned("a")
    tier.handle_event(2, BanRequested("a", False, tier.now, 1))
    tier.run(10)
    assert not any(node.register.bans() for node in tier.nodes.values())
    # The datagram arrived after 1 ms, 9 ms ago.
    assert tier.actions_of(0, ApplyBan)[-1] == ApplyBan("a", False, tier.now - 9)


@pytest.mark.parametrize("banned", [True, False])
def test_request_with_a_failed_write_changes_nothing(banned: bool) -> None:
    tier = settled_tier(3, entries=() if banned else (BAN,))
    core = tier.nodes[0]
    before = core.register.bans()
    (write,) = core.handle(tier.now, BanRequested("a", banned, tier.now, 7))
    actions = core.handle(tier.now, WriteCompleted(7, False))
    assert core.register.bans() == before and not [
        action for action in actions if isinstance(action, ApplyBan)
    ]
    assert isinstance(write, PersistEntries)
    # The entries reached the disk although the write reported a failure.
    disk = merged_register([*(() if banned else (BAN,)), *write.entries])
    disk.merge(
        [entry for action in actions if isinstance(action, PersistEntries) for entry in action.entries]
    )
    assert disk.bans().keys() == before.keys()


def test_ban_of_an_id_too_long_for_a_datagram_applies_at_its_node_only() -> None:
    tier = settled_tier(3)
    tier.handle_event(0, BanRequested("x" * 97, True, tier.now, 1))
    tier.run(6_000)
    assert tier.nodes[0].register.bans() and not tier.nodes[1].register.bans()
    assert tier.nodes[0].stats().counts["ids_not_shared"] == 1
    assert tier.nodes[0].register.hash == tier.nodes[1].register.hash


def test_node_with_a_month_old_disk_adopts_the_current_bans() -> None:
    tier = settled_tier(5, entries=(BAN,))
    tier.handle_event(0, BanRequested("a", False, tier.now, 1))
    tier.handle_event(0, BanRequested("b", True, tier.now, 2))
    del tier.nodes[4]
    tier.run(1_000)
    restarted = tier.start(
        4, 2, entries=(BAN, BanEntry("b", 0, 1, 0, False, -math.inf)), age_ms=30 * 86_400_000.0
    )
    tier.run(300)
    assert {tuple(core.register.bans()) for core in tier.nodes.values()} == {("b",)}
    assert restarted.phase is Phase.FULL


def test_large_registers_converge_by_digests_within_the_rate_limit_despite_loss() -> None:
    tier = Tier(8, loss=0.1)
    for node in range(8):
        own = tuple(BanEntry(f"{node}-{i}", node, 1, i, bool(i % 3), 0.0) for i in range(20))
        tier.start(node, entries=own)
    tier.update_membership()
    tier.run(20_000)
    assert {len(core.register) for core in tier.nodes.values()} == {160}
    for node, actions in tier.actions.items():
        sent = [at for at, action in actions if isinstance(action, SendDatagram)]
        peak_count = max(sum(at <= other < at + 1000 for other in sent) for at in sent)
        assert peak_count <= RecoveryConfig().burst_datagrams + RecoveryConfig().datagrams_per_s, node


def test_removed_peers_are_forgotten_but_bans_stay() -> None:
    tier = restarted_tier(5, entries=(BAN,))
    core = tier.nodes[0]
    core.handle(tier.now, PeersChanged(3, frozenset({2})))
    core.handle(tier.now, MembershipChanged({0: 1, 1: 1}, True))
    assert core.stats().reported_peers == 1 and core.register.is_banned("a") and core.quota.share == 1 / 2


def test_ban_requested_during_the_write_of_a_lift_stays_in_force_on_all_nodes() -> None:
    """Guards against a lift that cancels a ban which was acknowledged while the lift was being written."""
    tier = settled_tier(3)
    tier.handle_event(0, BanRequested("a", True, tier.now, 1))
    tier.run(1_000)
    lifting = tier.nodes[1]
    (write,) = lifting.handle(tier.now, BanRequested("a", False, tier.now, 1))
    assert isinstance(write, PersistEntries)
    tier.handle_event(0, BanRequested("a", True, tier.now, 2))
    tier.run(20)
    tier.handle_event(1, WriteCompleted(1, True))
    # The request to lift the ban is answered with the newer ban, which is still in force.
    assert tier.actions_of(1, ApplyBan)[-1].banned
    tier.run(6_000)
    assert all(core.register.is_banned("a") for core in tier.nodes.values())
    assert len({core.register.hash for core in tier.nodes.values()}) == 1


def test_registers_converge_after_changes_of_the_peer_list_and_lost_datagrams() -> None:
    """Needs membership's view: without it a node that hears no peer for 10 s sends to no peer."""
    tier = settled_tier(8)
    tier.loss = 0.1
    for round_number in range(6):
        node = round_number % 7
        tier.handle_event(node, PeersChanged(7, frozenset({6})))
        tier.handle_event(
            node, BanRequested("ab"[round_number % 2], round_number % 3 > 0, tier.now, round_number)
        )
        tier.run(300)
    for node in range(8):
        tier.handle_event(node, PeersChanged(8))
    tier.update_membership()
    tier.run(20_000)
    assert len({core.register.hash for core in tier.nodes.values()}) == 1
