"""Unit tests of the components of the membership protocol."""

from __future__ import annotations

import math
from collections import Counter

import pytest

from balancer.membership.config import Config
from balancer.membership.dissemination import BroadcastBudget, TransmitLimitedQueue, transmit_limit
from balancer.membership.local_health import MAX_SCORE, LocalHealth
from balancer.membership.local_node import LocalNode
from balancer.membership.messages import DIGEST_BUCKETS, MemberState, Update
from balancer.membership.peer_views import PeerViews
from balancer.membership.suspicion import FlapHistory, Suspicion
from balancer.membership.timers import MAX_TIMERS, TimerQueue
from balancer.membership.view import View
from tests.membership_helpers import alive, dead, suspect


@pytest.fixture
def timers() -> TimerQueue:
    return TimerQueue(0.0, Counter())


def test_timers_run_in_order_of_due_time_and_then_of_scheduling(timers: TimerQueue) -> None:
    ran: list[str] = []
    timers.call_later(20.0, lambda: ran.append("late"))
    timers.call_later(10.0, lambda: ran.append("first"))
    timers.call_later(10.0, lambda: ran.append("second"))
    timers.advance(15.0)
    timers.run_due()
    assert ran == ["first", "second"]
    assert timers.next_due_ms == 20.0


def test_a_timer_may_schedule_another_for_now(timers: TimerQueue) -> None:
    ran: list[float] = []
    timers.call_later(0.0, lambda: timers.call_later(0.0, lambda: ran.append(timers.now_ms)))
    timers.run_due()
    assert ran == [0.0]
    assert timers.next_due_ms == math.inf


def test_the_clock_of_timers_never_goes_back(timers: TimerQueue) -> None:
    timers.advance(10.0)
    timers.advance(5.0)
    assert timers.now_ms == 10.0


def test_timers_beyond_the_limit_are_dropped_and_counted() -> None:
    counts: Counter[str] = Counter()
    timers = TimerQueue(0.0, counts)
    for _ in range(MAX_TIMERS + 1):
        timers.call_later(1.0, lambda: None)
    assert len(timers) == MAX_TIMERS
    assert counts["timers_dropped"] == 1


@pytest.fixture
def queue() -> TransmitLimitedQueue:
    """Return a queue with a limit of two transmissions that holds members 2, 0 and 1."""
    queue = TransmitLimitedQueue(2)
    for member in (2, 0, 1):
        queue.put(member)
    return queue


@pytest.fixture
def four_alive() -> View:
    return View([Update(member, 1, 0, MemberState.ALIVE) for member in range(4)])


def test_the_queue_returns_least_sent_members_first_and_drops_them_at_the_limit(
    queue: TransmitLimitedQueue, four_alive: View
) -> None:
    order = [queue.take(four_alive, 9, None)[0].member for _ in range(5)]
    assert order == [2, 0, 1, 2, 0]
    assert len(queue) == 1


def test_the_queue_skips_an_excluded_member(queue: TransmitLimitedQueue, four_alive: View) -> None:
    for _ in range(5):
        queue.take(four_alive, 9, None)
    queue.put(3)
    assert [update.member for update in queue.take(four_alive, 30, 3)] == [1]


def test_a_resized_queue_keeps_transmission_counts_and_omits_removed_members(
    queue: TransmitLimitedQueue, four_alive: View
) -> None:
    queue.take(four_alive, 9, None)
    resized = queue.resized(4, {0})
    assert resized.transmits == {2: 1, 1: 0}
    assert resized.limit == 4


@pytest.mark.parametrize(("node_count", "limit"), [(1, 4), (9, 4), (10, 8), (1000, 16)])
def test_the_transmit_limit_grows_with_the_logarithm_of_the_tier(node_count: int, limit: int) -> None:
    assert transmit_limit(node_count) == limit


def test_the_broadcast_budget_is_refilled_over_time() -> None:
    budget = BroadcastBudget(2.0, 0.0)
    spent = [budget.spend(0.0, (suspect(1),)) for _ in range(3)]
    assert spent == [True, True, False]
    assert budget.spend(500.0, (suspect(1),))


def test_refutations_have_a_separate_broadcast_budget() -> None:
    budget = BroadcastBudget(1.0, 0.0)
    assert budget.spend(0.0, (dead(1),))
    assert not budget.spend(0.0, (dead(2),))
    assert budget.spend(0.0, (alive(3),))


def test_reserved_broadcasts_are_available_at_once() -> None:
    budget = BroadcastBudget(4.0, 0.0)
    assert [budget.spend(0.0, (dead(1),)) for _ in range(5)][-1] is False
    budget.reserve(2)
    assert [budget.spend(0.0, (dead(1),)) for _ in range(3)] == [True, True, False]


def test_local_health_scales_timeouts_up_to_a_limit() -> None:
    health = LocalHealth(is_enabled=True)
    health.adjust(100)
    assert health.score == MAX_SCORE
    assert health.scale(10.0) == 10.0 * (1 + MAX_SCORE)
    health.adjust(-100)
    assert health.scale(10.0) == 10.0


def test_disabled_local_health_stays_healthy() -> None:
    health = LocalHealth(is_enabled=False)
    health.adjust(3)
    assert health.score == 0


@pytest.mark.parametrize(("accusers", "deadline_ms"), [(1, 3100.0), (4, 700.0), (9, 700.0)])
def test_a_suspicion_ends_sooner_with_confirmations(accusers: int, deadline_ms: float) -> None:
    suspicion = Suspicion(100.0, 600.0, 3000.0, 3, set(range(accusers)))
    assert suspicion.deadline_ms == pytest.approx(deadline_ms)


def test_flaps_expire_with_the_damping_time() -> None:
    config = Config()
    flaps = FlapHistory(config)
    flaps.record_refutation(1, True, 0.0)
    assert flaps.min_timeout_ms(1, config.flap_damping_ms) == 2 * config.min_suspicion_ms
    assert flaps.min_timeout_ms(1, config.flap_damping_ms + 1) == config.min_suspicion_ms


def test_view_hashes_depend_only_on_the_records() -> None:
    one = View.with_unknown_members(4)
    other = View.with_unknown_members(4)
    one.put(alive(1))
    one.put(alive(2))
    other.put(dead(2))
    other.put(alive(2, 1))
    other.put(alive(2))
    other.put(alive(1))
    assert one == other


def test_digests_differ_only_in_the_bucket_of_the_differing_member() -> None:
    one = View.with_unknown_members(DIGEST_BUCKETS)
    other = one.copy()
    other.put(alive(7))
    pairs = zip(one.digest(3), other.digest(3), strict=True)
    assert [bucket for bucket, (own, peer) in enumerate(pairs) if own != peer] == [7]


def test_agreement_counts_recent_reports_of_present_peers_only() -> None:
    node = LocalNode(Config(), 0, 4, 1, 1, 0.0)
    for member in (1, 2):
        node.view.put(alive(member))
    views = PeerViews(node)
    views.record(1, node.view.state_hash)
    views.record(2, 7)
    # Member 3 is not present, so its report must not count.
    views.record(3, 7)
    assert views.agreement_ratio() == 0.5
    node.timers.advance(100_000.0)
    assert views.agreement_ratio() == 1.0
