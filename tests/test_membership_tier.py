"""Simulations of whole tiers that run the membership protocol in virtual time, with seeded faults."""

from __future__ import annotations

import random

import pytest

from balancer.membership.config import Config
from balancer.membership.core import Membership
from balancer.membership.messages import MemberState
from balancer.sim.member_schedule import explore
from balancer.sim.members import GENERATION_UNIT_MS, MembershipSimulation, Network

# Upper bound on the time that a small tier takes to converge.
CONVERGENCE_LIMIT_MS = 15_000.0
# Time between a node's announcement that it leaves and its end.
SHUTDOWN_MS = 800


def converged(count: int, seed: int = 1, network: Network | None = None) -> MembershipSimulation:
    """Return a simulated tier whose nodes have all started and converged."""
    tier = MembershipSimulation(count, seed, network=network)
    for node in range(count):
        tier.start(node)
    assert tier.run_until_converged(CONVERGENCE_LIMIT_MS) < CONVERGENCE_LIMIT_MS
    return tier


def running(tier: MembershipSimulation) -> list[Membership]:
    """Return the protocol instances of all running nodes."""
    return [host.core for host in tier.hosts if host.core is not None]


def is_cut_by_thirds(source: int, target: int) -> bool:
    """Return whether a link crosses a partition that separates every third node from the others."""
    return (source % 3 == 0) != (target % 3 == 0)


def is_never_cut(source: int, target: int) -> bool:
    """Return False for every link, so that no datagram is dropped by a partition."""
    return False


def stall_repeatedly(tier: MembershipSimulation, node: int, times: int) -> float:
    """Schedule one stall of 2 s every 10 s; return the time of the first."""
    begin = tier.now
    for number in range(times):
        tier.at(begin + 10_000 * number, lambda: tier.stall(node, 2000.0))
    return begin


def test_a_cold_started_tier_converges_again_after_a_node_is_killed() -> None:
    tier = converged(24, network=Network(loss_rate=0.1))
    tier.kill(5)
    assert tier.run_until_converged(CONVERGENCE_LIMIT_MS) < CONVERGENCE_LIMIT_MS
    # Every node hears from every other one in the meantime, so that views can be compared.
    tier.run(tier.now + CONVERGENCE_LIMIT_MS)
    assert all(core.agreement_ratio() == 1.0 for core in running(tier))


def test_a_restarted_node_is_not_declared_dead_by_late_updates_on_its_earlier_generation() -> None:
    tier = converged(12, network=Network(loss_rate=0.05, duplicate_rate=0.2, late_rate=0.2))
    for _ in range(3):
        tier.kill(4)
        tier.run(tier.now + GENERATION_UNIT_MS + 400)
        tier.start(4)
        tier.run(tier.now + 2500)
    tier.network.late_rate = 0.0
    assert tier.run_until_converged(2 * CONVERGENCE_LIMIT_MS) < 2 * CONVERGENCE_LIMIT_MS
    assert len({core.view.records[4].generation for core in running(tier)}) == 1


def test_a_node_that_left_is_never_revived_or_declared_dead_by_late_updates() -> None:
    tier = converged(12, network=Network(loss_rate=0.1, duplicate_rate=0.1, late_rate=0.2))
    begin = tier.now
    tier.leave(7)
    tier.run(begin + 3 * CONVERGENCE_LIMIT_MS)
    assert {core.view.records[7].state for core in running(tier)} == {MemberState.LEFT}
    assert 7 not in {death.change.member for death in tier.deaths_declared(begin)}
    changes = [seen.change for seen in tier.observations if seen.change.member == 7]
    assert [change for change in changes if change.before is MemberState.LEFT] == []


@pytest.mark.parametrize("seed", range(5))
def test_a_planned_restart_during_a_death_is_seen_as_leaving_and_never_suspected(seed: int) -> None:
    tier = converged(5, seed)
    tier.run(tier.now + CONVERGENCE_LIMIT_MS)
    begin = tier.now
    tier.kill(1)
    tier.run(tier.now + 1000)
    tier.leave(3)
    tier.run(tier.now + SHUTDOWN_MS + 500)
    tier.start(3)
    tier.run(tier.now + CONVERGENCE_LIMIT_MS)
    for node in (0, 2, 4):
        states = [
            seen.change.after
            for seen in tier.observations
            if (seen.node, seen.change.member) == (node, 3) and seen.at >= begin
        ]
        assert states == [MemberState.LEFT, MemberState.ALIVE]


def test_a_partition_splits_the_views_and_heals() -> None:
    tier = converged(15)
    tier.network.is_cut = is_cut_by_thirds
    tier.run(tier.now + 2 * CONVERGENCE_LIMIT_MS)
    minority = tier.hosts[0].core
    majority = tier.hosts[1].core
    assert minority is not None
    assert majority is not None
    assert minority.present_members() == [0, 3, 6, 9, 12]
    assert not minority.has_quorum()
    assert majority.has_quorum()
    tier.network.is_cut = is_never_cut
    assert tier.run_until_converged(2 * CONVERGENCE_LIMIT_MS) < 2 * CONVERGENCE_LIMIT_MS


def test_a_healed_partition_converges_without_a_burst_of_datagrams() -> None:
    tier = converged(60, network=Network(loss_rate=0.03))
    tier.run(tier.now + CONVERGENCE_LIMIT_MS)
    tier.sent_by_node.clear()
    tier.run(tier.now + CONVERGENCE_LIMIT_MS)
    usual_per_s = sum(tier.sent_by_node.values()) / CONVERGENCE_LIMIT_MS * 1000
    tier.network.is_cut = is_cut_by_thirds
    tier.run(tier.now + 2 * CONVERGENCE_LIMIT_MS)
    tier.network.is_cut = is_never_cut
    tier.sent_by_second.clear()
    assert tier.run_until_converged(5000) <= 5000
    tier.run(tier.now + 5000)
    assert max(tier.sent_by_second.values()) <= 2 * usual_per_s


def test_a_node_that_stalls_repeatedly_is_declared_dead_less_often_over_time() -> None:
    tier = converged(20)
    begin = stall_repeatedly(tier, 2, 12)
    tier.run(begin + 120_000)
    deaths = tier.deaths_declared(begin)
    early = [death for death in deaths if death.at < begin + 40_000]
    late = [death for death in deaths if death.at >= begin + 80_000]
    assert len(late) < len(early) / 2


def test_a_node_unreachable_over_one_link_is_probed_indirectly() -> None:
    tier = converged(12)
    begin = tier.now
    tier.network.is_cut = lambda source, target: (source, target) == (3, 8)
    tier.run(begin + 3 * CONVERGENCE_LIMIT_MS)
    assert tier.deaths_declared(begin) == []
    assert tier.has_converged()


@pytest.mark.parametrize("seed", [1, 5])
def test_a_node_that_loses_most_datagrams_declares_no_healthy_node_dead(seed: int) -> None:
    tier = converged(24, seed, Network(loss_rate=0.05))
    tier.run(tier.now + 5000)
    begin = tier.now
    draws = random.Random(seed)
    tier.network.is_cut = lambda a, b: (5 in (a, b) and draws.random() < 0.9) or (a, b) == (3, 8)
    tier.run(begin + 60_000)
    deaths = tier.deaths_declared(begin)
    assert [death for death in deaths if death.change.member != 5 and death.node != 5] == []


def test_stalling_nodes_declare_no_healthy_node_dead() -> None:
    tier = converged(20, network=Network(loss_rate=0.05))
    begin = stall_repeatedly(tier, 2, 6)
    tier.run(begin + 60_000)
    assert [death for death in tier.deaths_declared(begin) if death.change.member != 2] == []


def test_tiers_with_changing_peer_lists_converge_without_violations() -> None:
    assert explore(range(25)) == []


def test_equal_seeds_give_equal_runs() -> None:
    def trace(seed: int) -> list[tuple[float, int, int, MemberState]]:
        tier = converged(10, seed, Network(loss_rate=0.1, corrupt_rate=0.02, duplicate_rate=0.1))
        tier.kill(3)
        tier.run(tier.now + CONVERGENCE_LIMIT_MS)
        return [(seen.at, seen.node, seen.change.member, seen.change.after) for seen in tier.observations]

    assert trace(5) == trace(5) != trace(6)


def test_the_send_rate_of_a_node_does_not_grow_with_the_tier() -> None:
    rates_per_s = []
    for count in (10, 60):
        tier = converged(count)
        tier.run(tier.now + CONVERGENCE_LIMIT_MS)
        tier.sent_by_node.clear()
        tier.run(tier.now + CONVERGENCE_LIMIT_MS)
        rates_per_s.append(sum(tier.sent_by_node.values()) / count / CONVERGENCE_LIMIT_MS * 1000)
    small, large = rates_per_s
    assert large < 1.3 * small
    assert large < 4.0


def test_plain_swim_detects_a_death_without_broadcasts() -> None:
    tier = MembershipSimulation(12, 1, Config.plain_swim())
    for node in range(tier.count):
        tier.start(node)
    assert tier.run_until_converged(4 * CONVERGENCE_LIMIT_MS) < 4 * CONVERGENCE_LIMIT_MS
    tier.kill(5)
    assert tier.run_until_converged(4 * CONVERGENCE_LIMIT_MS) < 4 * CONVERGENCE_LIMIT_MS
    assert all(core.node.counts["broadcasts"] == 0 for core in running(tier))


def test_the_timers_of_a_stalled_process_run_again_after_the_stall() -> None:
    """Guards against a simulated process whose timers run only on received datagrams after a stall."""
    tier = converged(6)
    tier.stall(2, 6_000.0)
    tier.run(tier.now + 6_100.0)
    # Without this partition, received datagrams would run the timers of the node.
    tier.network.is_cut = lambda source, target: True
    tier.run(tier.now + 20_000.0)
    host = tier.hosts[2]
    assert host.core is not None
    assert host.core.next_wakeup_ms > tier.now + host.clock_offset
    tier.network.is_cut = is_never_cut
    assert tier.run_until_converged(2 * CONVERGENCE_LIMIT_MS) < 2 * CONVERGENCE_LIMIT_MS


def test_a_shorter_second_stall_does_not_end_the_first() -> None:
    tier = converged(6)
    tier.stall(2, 6_000.0)
    tier.run(tier.now + 100.0)
    tier.stall(2, 500.0)
    tier.run(tier.now + 3_000.0)
    assert tier.hosts[2].inbox
