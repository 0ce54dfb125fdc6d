"""Phases and paths of whole tiers, by survey, discovery and ramp."""

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


def test_a_tier_that_restarts_together_learns_bans_that_one_disk_had() -> None:
    tier = Tier(16, loss=0.1)
    for node in range(16):
        tier.start(node, entries=(BAN,) if node == 3 else (), fresh_disk=node != 3)
        tier.run(10)
    tier.see()
    tier.run(2_100)
    assert tier.paths() == {RecoveryPath.POWER} and tier.phases() == {Phase.LISTED}
    for node in range(16):
        (banned,) = [at for at, act in tier.acts[node] if isinstance(act, ApplyBan)]
        (listed,) = [
            at for at, act in tier.acts[node] if isinstance(act, PhaseEntered) and act.phase > Phase.ASK
        ]
        assert banned <= listed, node


def test_phases_follow_discovery_and_the_ramp() -> None:
    tier = restarted_tier(4)
    told = tier.now
    for node in range(4):
        tier.event(node, ListReceived(5, (told - 1000.0,)))
    assert tier.phases() == {Phase.WARMING}
    assert [e.phase for e in tier.of(0, PhaseEntered)] == [Phase.ASK, Phase.LISTED, Phase.WARMING]
    tier.run(6_990)
    assert all(core.phase is Phase.WARMING for core in tier.nodes.values())
    tier.run(20)
    assert tier.phases() == {Phase.FULL}
    (admit,) = tier.of(3, CapacityGranted)
    assert admit.share == 0.25 and admit.cold_since == tier.nodes[3].context.started_at


def test_without_discovery_and_peers_a_node_is_full_in_the_stated_time_and_says_why() -> None:
    tier = Tier(5)
    tier.start(0)
    tier.run(999)
    assert tier.phases() == {Phase.ASK}
    tier.run(2)
    assert (tier.nodes[0].phase, tier.nodes[0].path) == (Phase.LISTED, RecoveryPath.ALONE)
    tier.run(24_000)
    assert tier.nodes[0].phase is Phase.FULL
    assert "no peer answers" in tier.of(0, PhaseEntered)[1].reason
    assert "discovery does not answer" in tier.of(0, PhaseEntered)[2].reason
    calls = [at for at, act in tier.acts[0] if isinstance(act, RequestList)]
    assert len(calls) > 2 and min(b - a for a, b in itertools.pairwise(calls)) >= 1000
    (admit,) = tier.of(0, CapacityGranted)
    assert admit.share == 0.2


def test_a_crash_among_live_peers_waits_for_two_answers_only() -> None:
    tier = settled_tier(16, entries=(BAN,))
    del tier.nodes[5]
    tier.run(30_000)
    since = tier.now
    core = tier.start(5, 2, entries=(), fresh_disk=True)
    tier.run(30)
    assert (core.phase, core.path) == (Phase.FULL, RecoveryPath.CRASH) and core.register.is_banned("a")
    entered = [(at - since, act) for at, act in tier.acts[5] if isinstance(act, PhaseEntered)]
    assert [act.phase for _, act in entered] == [Phase.ASK, Phase.LISTED, Phase.WARMING, Phase.FULL]
    assert entered[-1][0] < 20 and not tier.of(5, CapacityGranted) and len(tier.of(5, RequestList)) == 1


def test_a_crash_is_classified_though_one_peer_missed_that_the_other_is_full() -> None:
    """Guards against a `split` where a datagram was lost: that peer takes the other for recovering."""
    tier = settled_tier(3)
    del tier.nodes[2]
    old = NodeStatus(1, 100_000.0, Phase.WARMING, 0, StatusFlag(0), 5, 0.0, math.inf, 0, 0b111)
    message = Message(MessageKind.STATUS, 0, tier.nodes[0].register.hash, old)
    tier.event(1, DatagramReceived(0, encode(message, tier.now)))
    core = tier.start(2, 2)
    tier.run(300)
    assert (core.phase, core.path) == (Phase.FULL, RecoveryPath.CRASH)


def test_who_says_full_counts_as_running_and_fewer_than_half_are_no_tier() -> None:
    say = [
        NodeStatus(1, 1e5, Phase.FULL, 0, StatusFlag(0), 5, 0.0, math.inf, young, 0b111) for young in (2, 2)
    ]
    assert established_peers(say[:1], 3) == [] and established_peers(say, 3) == say
    assert established_peers(say, 4) == say and established_peers(say, 5) == []


def test_a_rolling_restart_is_no_power_loss() -> None:
    tier = settled_tier(6)
    for node in range(6):
        core = tier.start(node, 2)
        tier.run(1_500)
        assert (core.phase, core.path) == (Phase.FULL, RecoveryPath.CRASH)


def test_two_survivors_do_not_make_a_power_loss_a_crash() -> None:
    tier = settled_tier(8)
    for node in range(2, 8):
        del tier.nodes[node]
    tier.see()
    tier.run(10_000)
    for node in range(2, 8):
        tier.start(node, 2)
        tier.run(100)
    tier.run(2_100)
    assert all(tier.nodes[node].path in (RecoveryPath.POWER, RecoveryPath.SPLIT) for node in range(2, 8))


def test_halves_that_restart_partitioned_are_split_until_they_meet() -> None:
    tier = Tier(8)
    tier.side = {node: node % 2 for node in range(8)}
    tier.disks = {2: (BAN,)}
    for node in range(8):
        tier.start(node)
    tier.see()
    tier.run(2_100)
    assert tier.paths() == {RecoveryPath.SPLIT}
    assert {core.quota.share for core in tier.nodes.values()} == {1 / 8}
    assert not tier.nodes[1].register.bans()
    tier.side = {}
    tier.see()
    tier.run(8_000)
    assert tier.paths() == {RecoveryPath.POWER} and all(
        core.register.is_banned("a") for core in tier.nodes.values()
    )


def test_a_successor_takes_over_the_phase_and_leaves_it_only_forward() -> None:
    tier = restarted_tier(3, entries=(BAN,))
    old = tier.nodes[0]
    heir = Recovery(RecoveryConfig(), 0, 3, 2, 9, tier.now)
    acts = heir.handle(
        tier.now, StateInherited(old.phase, old.path, old.cold_since, tuple(old.register.entries()))
    )
    assert (heir.phase, heir.path, heir.cold_since) == (Phase.LISTED, RecoveryPath.UPGRADE, old.cold_since)
    assert ApplyBan("a", True, BAN.changed_at) in acts and RequestList() in acts
    heir.handle(tier.now, DiskRead(True, False, entries=(BAN,)))
    heir.handle(tier.now, StateInherited(Phase.LISTED, old.path, old.cold_since))
    heir.handle(tier.now, ListReceived(5, (tier.now - 9_000,)))
    assert heir.phase is Phase.FULL
    asking = Recovery(RecoveryConfig(), 0, 3, 2, 9, tier.now)
    asking.handle(tier.now, StateInherited(Phase.ASK, RecoveryPath.UNDECIDED, 0.0))
    assert asking.phase is Phase.ASK


@given(st.lists(messages, max_size=9), st.integers(0, 3))
def test_no_datagrams_keep_a_node_from_full(what: list[Message], ahead: int) -> None:
    tier = Tier(4)
    core = tier.start(0)
    for message in what:
        sender = message.sender % 3 + 1
        data = encode(Message(message.kind, sender, message.hash, message.body), tier.now)
        tier.event(0, DatagramReceived(sender, data))
        tier.run(300 * ahead)
    tier.run(30_000)
    assert core.phase is Phase.FULL
    assert [e.phase for e in tier.of(0, PhaseEntered)] == sorted(e.phase for e in tier.of(0, PhaseEntered))


def test_a_node_whose_clock_is_off_follows_the_others() -> None:
    tier = restarted_tier(5)
    told = tier.now
    for node in range(5):
        tier.event(node, DemandMeasured(1.0))
    tier.run(400)
    for node, shift in enumerate((0.0, 0.0, 0.0, -600_000.0, 600_000.0)):
        tier.event(node, ListReceived(5, (told + shift,)))
        tier.event(node, DemandMeasured(1.0))
    for _ in range(9):
        tier.run(1_000)
        tier.event(4, ListReceived(5, (told + 600_000.0, told)))
        for node in range(5):
            tier.event(node, DemandMeasured(1.0))
    full = [
        next(at for at, act in tier.acts[node] if isinstance(act, PhaseEntered) and act.phase is Phase.FULL)
        for node in range(5)
    ]
    assert min(full) >= told + 7_900 and max(full) <= told + 9_500


def test_a_crashed_node_waits_for_entries_that_a_peer_is_known_to_have() -> None:
    tier = settled_tier(6)
    tier.nodes[1].register.merge([BAN])
    tier.nodes[1].exchange.register_changed([BAN])
    core = tier.start(5, 2, fresh_disk=True)
    tier.run(1_000)
    (banned,) = [at for at, act in tier.acts[5] if isinstance(act, ApplyBan)]
    assert core.path is RecoveryPath.CRASH
    assert banned <= min(
        at for at, act in tier.acts[5] if isinstance(act, PhaseEntered) and act.phase > Phase.ASK
    )
