"""Phases and recovery paths of whole tiers: survey, discovery and warm-up."""

from __future__ import annotations

import itertools
import math

from hypothesis import given
from hypothesis import strategies as st

from balancer.recovery.actions import (
    ApplyBan,
    CapacityGranted,
    PhaseEntered,
    RequestList,
)
from balancer.recovery.config import RecoveryConfig
from balancer.recovery.core import Recovery
from balancer.recovery.events import (
    DatagramReceived,
    DemandMeasured,
    DiskRead,
    ListReceived,
    StateInherited,
)
from balancer.recovery.messages import (
    Message,
    MessageKind,
    NodeStatus,
    StatusFlag,
    encode,
)
from balancer.recovery.phases import Phase, RecoveryPath, established_peers
from tests.recovery_strategies import messages
from tests.recovery_tier import BAN, Tier, restarted_tier, settled_tier


def test_tier_that_restarts_together_adopts_the_bans_of_one_disk() -> None:
    tier = Tier(16, loss=0.1)
    for node in range(16):
        tier.start(node, entries=(BAN,) if node == 3 else (), fresh_disk=node != 3)
        tier.run(10)
    tier.update_membership()
    tier.run(2_100)
    assert tier.paths() == {RecoveryPath.POWER} and tier.phases() == {Phase.LISTED}
    for node in range(16):
        (banned,) = [at for at, action in tier.actions[node] if isinstance(action, ApplyBan)]
        (listed,) = [
            at
            for at, action in tier.actions[node]
            if isinstance(action, PhaseEntered) and action.phase > Phase.ASK
        ]
        assert banned <= listed, node


def test_phases_follow_discovery_and_warm_up_of_backends() -> None:
    tier = restarted_tier(4)
    listed_at = tier.now
    for node in range(4):
        tier.handle_event(node, ListReceived(5, (listed_at - 1000.0,)))
    assert tier.phases() == {Phase.WARMING}
    assert [e.phase for e in tier.actions_of(0, PhaseEntered)] == [Phase.ASK, Phase.LISTED, Phase.WARMING]
    tier.run(6_990)
    assert all(core.phase is Phase.WARMING for core in tier.nodes.values())
    tier.run(20)
    assert tier.phases() == {Phase.FULL}
    (granted,) = tier.actions_of(3, CapacityGranted)
    assert granted.share == 0.25 and granted.cold_since == tier.nodes[3].context.started_at


def test_node_without_discovery_and_peers_reaches_full_in_time_and_reports_the_reasons() -> None:
    tier = Tier(5)
    tier.start(0)
    tier.run(999)
    assert tier.phases() == {Phase.ASK}
    tier.run(2)
    assert (tier.nodes[0].phase, tier.nodes[0].path) == (Phase.LISTED, RecoveryPath.ALONE)
    tier.run(24_000)
    assert tier.nodes[0].phase is Phase.FULL
    assert "no peer answers" in tier.actions_of(0, PhaseEntered)[1].reason
    assert "discovery does not answer" in tier.actions_of(0, PhaseEntered)[2].reason
    polls = [at for at, action in tier.actions[0] if isinstance(action, RequestList)]
    assert len(polls) > 2 and min(b - a for a, b in itertools.pairwise(polls)) >= 1000
    (granted,) = tier.actions_of(0, CapacityGranted)
    assert granted.share == 0.2


def test_crashed_node_among_running_peers_waits_for_two_answers_only() -> None:
    tier = settled_tier(16, entries=(BAN,))
    del tier.nodes[5]
    tier.run(30_000)
    since = tier.now
    core = tier.start(5, 2, entries=(), fresh_disk=True)
    tier.run(30)
    assert (core.phase, core.path) == (Phase.FULL, RecoveryPath.CRASH) and core.register.is_banned("a")
    entered = [(at - since, action) for at, action in tier.actions[5] if isinstance(action, PhaseEntered)]
    assert [action.phase for _, action in entered] == [Phase.ASK, Phase.LISTED, Phase.WARMING, Phase.FULL]
    assert (
        entered[-1][0] < 20
        and not tier.actions_of(5, CapacityGranted)
        and len(tier.actions_of(5, RequestList)) == 1
    )


def test_crash_is_recognized_although_a_peer_missed_that_another_one_is_full() -> None:
    """Guards against the path SPLIT after a lost datagram: one peer still counts another as recovering."""
    tier = settled_tier(3)
    del tier.nodes[2]
    outdated_status = NodeStatus(1, 100_000.0, Phase.WARMING, 0, StatusFlag(0), 5, 0.0, math.inf, 0, 0b111)
    message = Message(MessageKind.STATUS, 0, tier.nodes[0].register.hash, outdated_status)
    tier.handle_event(1, DatagramReceived(0, encode(message, tier.now)))
    core = tier.start(2, 2)
    tier.run(300)
    assert (core.phase, core.path) == (Phase.FULL, RecoveryPath.CRASH)


def test_peers_that_report_full_count_as_running_and_need_half_of_the_tier() -> None:
    full_statuses = [
        NodeStatus(1, 1e5, Phase.FULL, 0, StatusFlag(0), 5, 0.0, math.inf, recovering, 0b111)
        for recovering in (2, 2)
    ]
    assert (
        established_peers(full_statuses[:1], 3) == [] and established_peers(full_statuses, 3) == full_statuses
    )
    assert established_peers(full_statuses, 4) == full_statuses and established_peers(full_statuses, 5) == []


def test_rolling_restart_is_not_classified_as_power_loss() -> None:
    tier = settled_tier(6)
    for node in range(6):
        core = tier.start(node, 2)
        tier.run(1_500)
        assert (core.phase, core.path) == (Phase.FULL, RecoveryPath.CRASH)


def test_power_loss_with_two_survivors_is_not_classified_as_crash() -> None:
    tier = settled_tier(8)
    for node in range(2, 8):
        del tier.nodes[node]
    tier.update_membership()
    tier.run(10_000)
    for node in range(2, 8):
        tier.start(node, 2)
        tier.run(100)
    tier.run(2_100)
    assert all(tier.nodes[node].path in (RecoveryPath.POWER, RecoveryPath.SPLIT) for node in range(2, 8))


def test_partitioned_halves_are_split_until_the_partition_heals() -> None:
    tier = Tier(8)
    tier.partition_by_node = {node: node % 2 for node in range(8)}
    tier.disks = {2: (BAN,)}
    for node in range(8):
        tier.start(node)
    tier.update_membership()
    tier.run(2_100)
    assert tier.paths() == {RecoveryPath.SPLIT}
    assert {core.quota.share for core in tier.nodes.values()} == {1 / 8}
    assert not tier.nodes[1].register.bans()
    tier.partition_by_node = {}
    tier.update_membership()
    tier.run(8_000)
    assert tier.paths() == {RecoveryPath.POWER} and all(
        core.register.is_banned("a") for core in tier.nodes.values()
    )


def test_successor_takes_over_the_phase_and_only_advances() -> None:
    tier = restarted_tier(3, entries=(BAN,))
    predecessor = tier.nodes[0]
    successor = Recovery(RecoveryConfig(), 0, 3, 2, 9, tier.now)
    actions = successor.handle(
        tier.now,
        StateInherited(
            predecessor.phase, predecessor.path, predecessor.cold_since, tuple(predecessor.register.entries())
        ),
    )
    assert (successor.phase, successor.path, successor.cold_since) == (
        Phase.LISTED,
        RecoveryPath.UPGRADE,
        predecessor.cold_since,
    )
    assert ApplyBan("a", True, BAN.changed_at) in actions and RequestList() in actions
    successor.handle(tier.now, DiskRead(True, False, entries=(BAN,)))
    successor.handle(tier.now, StateInherited(Phase.LISTED, predecessor.path, predecessor.cold_since))
    successor.handle(tier.now, ListReceived(5, (tier.now - 9_000,)))
    assert successor.phase is Phase.FULL
    surveying = Recovery(RecoveryConfig(), 0, 3, 2, 9, tier.now)
    surveying.handle(tier.now, StateInherited(Phase.ASK, RecoveryPath.UNDECIDED, 0.0))
    assert surveying.phase is Phase.ASK


@given(st.lists(messages, max_size=9), st.integers(0, 3))
def test_no_sequence_of_datagrams_keeps_a_node_from_full(received: list[Message], delay_steps: int) -> None:
    tier = Tier(4)
    core = tier.start(0)
    for message in received:
        sender = message.sender % 3 + 1
        data = encode(Message(message.kind, sender, message.hash, message.body), tier.now)
        tier.handle_event(0, DatagramReceived(sender, data))
        tier.run(300 * delay_steps)
    tier.run(30_000)
    assert core.phase is Phase.FULL
    assert [e.phase for e in tier.actions_of(0, PhaseEntered)] == sorted(
        e.phase for e in tier.actions_of(0, PhaseEntered)
    )


def test_node_with_a_wrong_clock_follows_the_other_nodes() -> None:
    tier = restarted_tier(5)
    listed_at = tier.now
    for node in range(5):
        tier.handle_event(node, DemandMeasured(1.0))
    tier.run(400)
    for node, shift in enumerate((0.0, 0.0, 0.0, -600_000.0, 600_000.0)):
        tier.handle_event(node, ListReceived(5, (listed_at + shift,)))
        tier.handle_event(node, DemandMeasured(1.0))
    for _ in range(9):
        tier.run(1_000)
        tier.handle_event(4, ListReceived(5, (listed_at + 600_000.0, listed_at)))
        for node in range(5):
            tier.handle_event(node, DemandMeasured(1.0))
    full_at = [
        next(
            at
            for at, action in tier.actions[node]
            if isinstance(action, PhaseEntered) and action.phase is Phase.FULL
        )
        for node in range(5)
    ]
    assert min(full_at) >= listed_at + 7_900 and max(full_at) <= listed_at + 9_500


def test_crashed_node_waits_for_entries_that_a_peer_is_known_to_have() -> None:
    tier = settled_tier(6)
    tier.nodes[1].register.merge([BAN])
    tier.nodes[1].exchange.register_changed([BAN])
    core = tier.start(5, 2, fresh_disk=True)
    tier.run(1_000)
    (banned,) = [at for at, action in tier.actions[5] if isinstance(action, ApplyBan)]
    assert core.path is RecoveryPath.CRASH
    assert banned <= min(
        at for at, action in tier.actions[5] if isinstance(action, PhaseEntered) and action.phase > Phase.ASK
    )
