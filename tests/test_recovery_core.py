"""The core of recovery: saved list, polls of discovery, quotas."""

from __future__ import annotations

import itertools
import math

import pytest

from balancer.recovery.actions import (
    CapacityGranted,
    RequestList,
    RestrictSavedList,
)
from balancer.recovery.demand_share import demand_weighted_share
from balancer.recovery.events import (
    DatagramReceived,
    DemandMeasured,
    ListReceived,
    SavedListLoaded,
    ShutdownStarted,
)
from balancer.recovery.messages import (
    Message,
    MessageKind,
    StatusFlag,
    encode,
)
from balancer.recovery.poll_schedule import PollSchedule
from tests.recovery_tier import BAN, restarted_tier

ROUNDING = 1e-9  # of a sum of floats


def test_peers_only_restrict_a_saved_list_and_half_of_it_at_most() -> None:
    tier = restarted_tier(3, revision=4)
    tier.event(0, SavedListLoaded(("a", "b", "c", "d")))
    tier.event(1, SavedListLoaded(("a", "w", "x", "y")))
    tier.event(2, ListReceived(5, (0.0,), ("a", "b", "c", "new")))
    for node in (0, 1):
        tier.event(node, ShutdownStarted())  # as it serves on, it is told all the same
    message = Message(MessageKind.STATUS, 0, 0, tier.nodes[0].status(StatusFlag.REPLY))
    tier.event(2, DatagramReceived(0, encode(message, tier.now)))
    tier.run(5_000)
    assert tier.of(0, RestrictSavedList) == [RestrictSavedList(frozenset("d"))]
    assert not tier.of(1, RestrictSavedList)
    tier.event(0, ListReceived(4, (0.0,), ("a",)))
    assert tier.of(0, RestrictSavedList)[-1] == RestrictSavedList(frozenset())


def test_discovery_is_polled_in_slots() -> None:
    tier = restarted_tier(40, spread=0)
    tier.run(2_000)
    first = [next(at for at, act in acts if isinstance(act, RequestList)) for acts in tier.acts.values()]
    assert max(sum(at <= other < at + 1000 for other in first) for at in first) <= 41
    assert max(first) - min(first) <= 40 * 25 + 300


@pytest.mark.parametrize("took", [0.0, 2_000.0, 3_050.0])
@pytest.mark.parametrize("count", [10, 80, 200])
def test_a_failed_poll_keeps_its_slot_however_long_it_took(count: int, took: float) -> None:
    """From one poll to the next: what discovery has by then is due 6 s after it is back."""
    polls = list[float]()
    for node in range(count):
        schedule = PollSchedule(node, 25.0)
        schedule.schedule_first(0.0, range(count))
        own = list[float]()
        while (now := schedule.next_poll_at) < 40_000.0:
            own.append(now)
            schedule.poll_started(now, count)
            schedule.poll_failed(now + took, count)
        steps = [b - a for a, b in itertools.pairwise(own)]
        assert 1_000.0 <= min(steps) <= max(steps) <= 5_000.0
        polls += own
    assert max(sum(at <= other < at + 1_000.0 for other in polls) for at in polls[:: count // 10]) <= 40


def test_the_same_events_bring_the_same_actions() -> None:
    one, two = (restarted_tier(9, loss=0.2, entries=(BAN,)) for _ in range(2))
    assert one.acts == two.acts


def test_the_share_follows_demand() -> None:
    tier = restarted_tier(4)
    for demand in (30.0, 30.0):
        for node in range(4):
            tier.event(node, DemandMeasured(demand if node else 9 * demand))
        tier.run(1_000)
    shares = [tier.nodes[node].quota.share for node in range(4)]
    assert shares == [pytest.approx(0.8 * 9 / 12 + 0.05), *[pytest.approx(0.8 / 12 + 0.05)] * 3]
    assert tier.of(0, CapacityGranted)[-1].share == pytest.approx(shares[0], rel=0.05)


@pytest.mark.parametrize(
    ("own_demand", "peer_demands", "share"),
    [
        (1.0, [1e9], 0.26),
        (0.0, [0.0, 0.0], 1 / 3),
        (0.0, [5.0], 0.26),
        (0.0, [5.0, 0.0], 0.8 * 0.2 / 2 + 0.2 / 3),
        (math.inf, [2.0, math.inf], 1 / 3),
        (5.0, [], 1.0),
    ],
)
def test_a_share_counts_unknown_demand_as_the_mean_and_limits_the_largest_peer(
    own_demand: float, peer_demands: list[float], share: float
) -> None:
    assert demand_weighted_share(own_demand, peer_demands) == pytest.approx(share)


@pytest.mark.parametrize("demands", [(0.0, 0.04, 0.02), (0.04, 0.04, 0.04), (0.0, 0.3, 0.04)])
def test_nodes_with_hardly_any_demand_do_not_each_take_all_of_a_budget(demands: tuple[float, ...]) -> None:
    """Guards against a node that counts its own demand to the last digit, and that of its peers rounded."""
    tier = restarted_tier(3)
    for _ in range(3):
        for node, demand in enumerate(demands):
            tier.event(node, DemandMeasured(demand))
        tier.run(1_000)
    shares = [tier.of(node, CapacityGranted)[-1].share for node in range(3)]
    assert sum(shares) <= 1.16 + ROUNDING
