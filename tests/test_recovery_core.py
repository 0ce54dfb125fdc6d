"""Recovery core: saved endpoint list, polls of discovery, capacity shares."""

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

FLOAT_SUM_TOLERANCE = 1e-9


def test_filters_of_peers_restrict_at_most_half_of_a_saved_list() -> None:
    tier = restarted_tier(3, revision=4)
    tier.handle_event(0, SavedListLoaded(("a", "b", "c", "d")))
    tier.handle_event(1, SavedListLoaded(("a", "w", "x", "y")))
    tier.handle_event(2, ListReceived(5, (0.0,), ("a", "b", "c", "new")))
    for node in (0, 1):
        # A node in shutdown still serves, so it must get the filter too.
        tier.handle_event(node, ShutdownStarted())
    message = Message(MessageKind.STATUS, 0, 0, tier.nodes[0].status(StatusFlag.REPLY))
    tier.handle_event(2, DatagramReceived(0, encode(message, tier.now)))
    tier.run(5_000)
    assert tier.actions_of(0, RestrictSavedList) == [RestrictSavedList(frozenset("d"))]
    assert not tier.actions_of(1, RestrictSavedList)
    tier.handle_event(0, ListReceived(4, (0.0,), ("a",)))
    assert tier.actions_of(0, RestrictSavedList)[-1] == RestrictSavedList(frozenset())


def test_nodes_poll_discovery_in_separate_slots() -> None:
    tier = restarted_tier(40, spread=0)
    tier.run(2_000)
    first_polls = [
        next(at for at, action in actions if isinstance(action, RequestList))
        for actions in tier.actions.values()
    ]
    assert max(sum(at <= other < at + 1000 for other in first_polls) for at in first_polls) <= 41
    assert max(first_polls) - min(first_polls) <= 40 * 25 + 300


@pytest.mark.parametrize("duration_ms", [0.0, 2_000.0, 3_050.0])
@pytest.mark.parametrize("count", [10, 80, 200])
def test_failed_poll_keeps_its_slot_regardless_of_its_duration(count: int, duration_ms: float) -> None:
    """Limits the time between polls: a node must have the list 6 s after discovery is available again."""
    polls = list[float]()
    for node in range(count):
        schedule = PollSchedule(node, 25.0)
        schedule.schedule_first(0.0, range(count))
        own_polls = list[float]()
        while (now := schedule.next_poll_at) < 40_000.0:
            own_polls.append(now)
            schedule.poll_started(now, count)
            schedule.poll_failed(now + duration_ms, count)
        intervals = [b - a for a, b in itertools.pairwise(own_polls)]
        assert 1_000.0 <= min(intervals) <= max(intervals) <= 5_000.0
        polls += own_polls
    assert max(sum(at <= other < at + 1_000.0 for other in polls) for at in polls[:: count // 10]) <= 40


def test_same_events_result_in_same_actions() -> None:
    one, two = (restarted_tier(9, loss=0.2, entries=(BAN,)) for _ in range(2))
    assert one.actions == two.actions


def test_capacity_share_follows_demand() -> None:
    tier = restarted_tier(4)
    for demand in (30.0, 30.0):
        for node in range(4):
            tier.handle_event(node, DemandMeasured(demand if node else 9 * demand))
        tier.run(1_000)
    shares = [tier.nodes[node].quota.share for node in range(4)]
    assert shares == [pytest.approx(0.8 * 9 / 12 + 0.05), *[pytest.approx(0.8 / 12 + 0.05)] * 3]
    assert tier.actions_of(0, CapacityGranted)[-1].share == pytest.approx(shares[0], rel=0.05)


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
def test_share_counts_unknown_demand_as_the_mean_and_limits_the_largest_peer(
    own_demand: float, peer_demands: list[float], share: float
) -> None:
    assert demand_weighted_share(own_demand, peer_demands) == pytest.approx(share)


@pytest.mark.parametrize("demands", [(0.0, 0.04, 0.02), (0.04, 0.04, 0.04), (0.0, 0.3, 0.04)])
def test_nodes_with_little_demand_do_not_exceed_the_shared_budget(demands: tuple[float, ...]) -> None:
    """Guards against shares by unequal numbers: a node must round its own demand as peers receive it."""
    tier = restarted_tier(3)
    for _ in range(3):
        for node, demand in enumerate(demands):
            tier.handle_event(node, DemandMeasured(demand))
        tier.run(1_000)
    shares = [tier.actions_of(node, CapacityGranted)[-1].share for node in range(3)]
    assert sum(shares) <= 1.16 + FLOAT_SUM_TOLERANCE
