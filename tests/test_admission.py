"""Tests of the admission to warming endpoints during a recovery, for one node and for a simulated tier."""

from __future__ import annotations

import heapq
import random
from dataclasses import replace

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balancer import interface as api
from balancer.experiments.experiment import Experiment
from balancer.experiments.faults import Surge
from balancer.experiments.tables import Backends, Clients, Fleet, Load, Rules
from balancer.policy import Balancer
from balancer.policy.recovery_admission import USABLE_CAPACITY_FRACTION, RecoveryAdmission
from balancer.sim.service import PowerCut, PowerLossSimulation
from tests.helpers import BASE, answers, entry

NAMES = "ABCDEFGH"
RECOVERING = api.RecoveryProgressed(
    api.RecoveryPhase.LISTED, capacity_share=0.25, cold_since=900.0, tier_requests_per_s=400.0
)


def recovering_node(progress: api.RecoveryProgressed | None = RECOVERING, seed: int = 1) -> Balancer:
    """Return a recovering node whose cached list has a start time long ago for every endpoint."""
    node = Balancer(BASE, seed)
    node.handle(1000.0, api.ListUpdate(api.ListUpdateKind.CACHED, [entry(n) for n in NAMES]))
    if progress is not None:
        node.handle(1000.0, progress)
    return node


def send_at_rate(node: Balancer, duration_s: float, requests_per_s: int) -> tuple[int, int]:
    """Send requests at a constant rate; return how many were sent and how many were rejected.

    Each attempt gets its response after 20 ms.
    """
    end = 1000.0 + duration_s * 1000
    queue: list[tuple[float, int, api.Event]] = []
    for i in range(int(duration_s * requests_per_s)):
        now = 1000.0 + i * 1000 / requests_per_s
        queue.append((now, i, api.RequestArrived(f"r{i}", "read", now + 1000)))
    sent = rejected = 0
    count = len(queue)
    while queue and queue[0][0] <= end:
        now, _, event = heapq.heappop(queue)
        for act in node.handle(now, event):
            count += 1
            if isinstance(act, api.StartAttempt):
                sent += 1
                done = api.AttemptEnded(act.request, 0, act.backend, api.AttemptStatus.OK, 20.0, True)
                heapq.heappush(queue, (now + 20, count, done))
            elif isinstance(act, api.SetTimer):
                heapq.heappush(queue, (act.fires_at, count, api.TimerFired(act.token)))
            rejected += isinstance(act, (api.RejectRequest, api.FailRequest))
    return sent, rejected


@settings(max_examples=40, deadline=None)
@given(
    st.integers(0, 2**32), st.floats(0.01, 1.0), st.floats(10.0, 5000.0),
    st.lists(st.floats(0.1, 1.0), min_size=1, max_size=12),
)  # fmt: skip
def test_no_window_exceeds_the_quota_and_its_burst(
    seed: int, share: float, rate: float, warmth: list[float]
) -> None:
    """A node that sends whenever it may gets its quota plus the burst in any window, but no more."""
    rng, now, taken = random.Random(seed), 0.0, []
    admission = RecoveryAdmission(replace(RECOVERING, capacity_share=share, tier_requests_per_s=rate), now)
    for _ in range(60):
        now += rng.uniform(0, 60)
        if admission.is_due(now):
            admission.fill(now, warmth, len(warmth), BASE)
        while admission.allows(rng.random() < 0.5):
            admission.spend()
            taken.append(now)
    warming = sum(w for w in warmth if w < 1.0) / len(warmth)
    rate_per_ms = USABLE_CAPACITY_FRACTION * BASE.overload_multiple * warming * rate * share / 1000
    max_tokens = max(2.0, rate_per_ms * BASE.overload_window_ms / 4)
    for first in range(0, len(taken), 1 + len(taken) // 20):
        for last in range(first, len(taken), 1 + len(taken) // 20):
            window = taken[last] - taken[first] + 60
            assert last - first + 1 <= rate_per_ms * window + 1.5 * max_tokens + 2


def test_a_cached_list_counts_as_warming_up_until_discovery_sends_one() -> None:
    """While no node knows which endpoints are warm, all are treated as warming and get far less."""
    unlimited, limited = (
        send_at_rate(recovering_node(None), 2.0, 1000),
        send_at_rate(recovering_node(), 2.0, 1000),
    )
    assert limited[0] < 0.3 * unlimited[0]
    node = recovering_node()
    listed = [entry(n, started_at=0.0) for n in NAMES]
    node.handle(1000.0, api.ListUpdate(api.ListUpdateKind.SNAPSHOT, listed, 2))
    node.handle(1000.0, replace(RECOVERING, phase=api.RecoveryPhase.WARMING, cold_since=0.0))
    assert send_at_rate(node, 2.0, 1000)[0] == pytest.approx(unlimited[0], rel=0.1)


def test_a_tier_that_warms_up_as_a_whole_serves_its_capacity() -> None:
    """The rule for a single warming endpoint rejects half of the requests that all could serve together."""
    warming = [entry(n, started_at=900.0) for n in NAMES]
    alone, together = (
        recovering_node(None),
        recovering_node(replace(RECOVERING, cold_since=0.0, capacity_share=1.0)),
    )
    for node in (alone, together):
        node.handle(1000.0, api.ListUpdate(api.ListUpdateKind.SNAPSHOT, warming, 2))
    slow_start_counts, recovery_counts = send_at_rate(alone, 1.0, 100), send_at_rate(together, 1.0, 100)
    assert slow_start_counts[1] > 30 and recovery_counts[1] < 10


def test_high_value_requests_are_the_last_to_be_rejected() -> None:
    """High-value requests may overdraw a bucket that others have emptied, up to the maximum overdraft."""
    admission = RecoveryAdmission(RECOVERING, 0.0)
    admission.fill(100.0, [0.2] * 8, 8, BASE)
    while admission.allows(False):
        admission.spend()
    more = 0
    while admission.allows(True):
        admission.spend()
        more += 1
    assert more >= 1 and admission.tokens >= -admission.max_overdraft - 1


def test_rejected_clients_retry_spread_over_time() -> None:
    """During a recovery, Retry-After is drawn from a far wider range than at other times."""
    expected_ms, spreads_ms = BASE.classes[0].latency_objective_ms / 4, []
    for progress in (None, replace(RECOVERING, tier_requests_per_s=0.001)):
        node = Balancer(replace(BASE, max_retry_after_ms=5000.0), 1)
        node.handle(1000.0, api.ListUpdate(api.ListUpdateKind.CACHED, []))
        if progress is not None:
            node.handle(1000.0, progress)
        done = [node.handle(1000.0, api.RequestArrived(f"r{i}", "read", 2000.0)) for i in range(60)]
        delays_ms = [
            a.retry_after_ms for acts in done for a in answers(acts) if isinstance(a, api.RejectRequest)
        ]
        assert len(delays_ms) == 60 and min(delays_ms) >= expected_ms
        spreads_ms.append(max(delays_ms) - min(delays_ms))
    assert spreads_ms[0] <= expected_ms and spreads_ms[1] > 8 * expected_ms


def test_after_recovery_a_node_decides_as_before() -> None:
    """After the last phase, a node decides like one that never recovered."""
    node = recovering_node()
    node.handle(1000.0, api.RecoveryProgressed(api.RecoveryPhase.FULL, 1.0))
    assert send_at_rate(node, 1.0, 300) == send_at_rate(recovering_node(None), 1.0, 300)


STRESS = Experiment(
    name="many nodes on few backends", seconds=9.0, fleet=Fleet(nodes=40), clients=Clients(retries=2),
    backends=Backends(count=4, cold_capacity_share=0.2), load=Load(utilisation=0.7),
    rules=Rules(cold_share=0.2),
    faults=(Surge(at=2.5, duration_s=4.0, factor=4.0),),
)  # fmt: skip


def test_a_tier_that_recovers_into_a_surge_serves_more() -> None:
    """Without the quota, forty nodes with a lowest limit of two attempts overload four warming endpoints."""
    figures = [
        PowerLossSimulation(STRESS, 3, PowerCut(2.0, start_spread_s=1.0), with_quota).play()
        for with_quota in (False, True)
    ]
    goodput_without, goodput_with_quota = (f.goodput(4.5, 8.5) for f in figures)
    assert figures[1].collapsed == 0
    assert goodput_with_quota > 1.1 * goodput_without


def test_a_small_tier_at_half_load_rejects_little() -> None:
    """A warming tier at low load rejects little; the mean of several seeds limits the influence of chance."""
    spec = msgspec.structs.replace(
        STRESS, fleet=Fleet(nodes=6), faults=(), load=Load(utilisation=0.5), backends=Backends(count=6)
    )
    served: dict[bool, list[float]] = {False: [], True: []}
    for seed in range(1, 9):
        for with_quota in served:
            figures = PowerLossSimulation(spec, seed, PowerCut(2.0, start_spread_s=1.0), with_quota).play()
            served[with_quota].append(figures.goodput(4.5, 8.5))
            assert not with_quota or figures.collapsed == 0
    assert min(served[True]) >= 0.85
    assert sum(served[True]) >= sum(served[False])
