"""What a node may give to cold backends while its tier returns, and what that is worth to a whole tier."""

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
from balancer.sim.service import PowerCut, World
from tests.helpers import BASE, answers, entry

NAMES = "ABCDEFGH"
BACK = api.RecoveryProgressed(
    api.RecoveryPhase.LISTED, capacity_share=0.25, cold_since=900.0, tier_requests_per_s=400.0
)


def returned(word: api.RecoveryProgressed | None = BACK, seed: int = 1) -> Balancer:
    """A node whose saved list says that all started long ago."""
    out = Balancer(BASE, seed)
    out.handle(1000.0, api.ListUpdate(api.ListUpdateKind.CACHED, [entry(n) for n in NAMES]))
    if word is not None:
        out.handle(1000.0, word)
    return out


def flood(node: Balancer, seconds: float, a_second: int) -> tuple[int, int]:
    """How many of so many requests went out, and how many were refused; each is served after 20 ms."""
    end = 1000.0 + seconds * 1000
    queue: list[tuple[float, int, api.Event]] = []
    for i in range(int(seconds * a_second)):
        now = 1000.0 + i * 1000 / a_second
        queue.append((now, i, api.RequestArrived(f"r{i}", "read", now + 1000)))
    out = refused = 0
    count = len(queue)
    while queue and queue[0][0] <= end:
        now, _, event = heapq.heappop(queue)
        for act in node.handle(now, event):
            count += 1
            if isinstance(act, api.StartAttempt):
                out += 1
                done = api.AttemptEnded(act.request, 0, act.backend, api.AttemptStatus.OK, 20.0, True)
                heapq.heappush(queue, (now + 20, count, done))
            elif isinstance(act, api.SetTimer):
                heapq.heappush(queue, (act.fires_at, count, api.TimerFired(act.token)))
            refused += isinstance(act, (api.RejectRequest, api.FailRequest))
    return out, refused


@settings(max_examples=40, deadline=None)
@given(
    st.integers(0, 2**32), st.floats(0.01, 1.0), st.floats(10.0, 5000.0),
    st.lists(st.floats(0.1, 1.0), min_size=1, max_size=12),
)  # fmt: skip
def test_no_window_exceeds_the_quota_and_its_burst(
    seed: int, share: float, rate: float, warmth: list[float]
) -> None:
    """Whoever asks as often as he can gets the share, and what may be saved up, in any window."""
    dice, now, taken = random.Random(seed), 0.0, []
    admission = RecoveryAdmission(replace(BACK, capacity_share=share, tier_requests_per_s=rate), now)
    for _ in range(60):
        now += dice.uniform(0, 60)
        if admission.is_due(now):
            admission.fill(now, warmth, len(warmth), BASE)
        while admission.allows(dice.random() < 0.5):
            admission.spend()
            taken.append(now)
    cold = sum(w for w in warmth if w < 1.0) / len(warmth)
    part = USABLE_CAPACITY_FRACTION * BASE.overload_multiple * cold * rate * share / 1000
    spare = max(2.0, part * BASE.overload_window_ms / 4)
    for first in range(0, len(taken), 1 + len(taken) // 20):
        for last in range(first, len(taken), 1 + len(taken) // 20):
            window = taken[last] - taken[first] + 60
            assert last - first + 1 <= part * window + 1.5 * spare + 2


def test_a_cached_list_counts_as_warming_up_until_discovery_sends_one() -> None:
    """Nobody knows better: what is sent stays within the budget, far below what a warm tier gets."""
    free, bound = flood(returned(None), 2.0, 1000), flood(returned(), 2.0, 1000)
    assert bound[0] < 0.3 * free[0]
    node = returned()
    told = [entry(n, started_at=0.0) for n in NAMES]
    node.handle(1000.0, api.ListUpdate(api.ListUpdateKind.SNAPSHOT, told, 2))
    node.handle(1000.0, replace(BACK, phase=api.RecoveryPhase.WARMING, cold_since=0.0))
    assert flood(node, 2.0, 1000)[0] == pytest.approx(free[0], rel=0.1)


def test_a_tier_that_warms_up_as_a_whole_serves_its_capacity() -> None:
    """The rule for a single cold backend refuses half of what all can bear together."""
    cold = [entry(n, started_at=900.0) for n in NAMES]
    alone, together = returned(None), returned(replace(BACK, cold_since=0.0, capacity_share=1.0))
    for node in (alone, together):
        node.handle(1000.0, api.ListUpdate(api.ListUpdateKind.SNAPSHOT, cold, 2))
    by_rule, by_share = flood(alone, 1.0, 100), flood(together, 1.0, 100)
    assert by_rule[1] > 30 and by_share[1] < 10


def test_high_value_requests_are_the_last_to_be_rejected() -> None:
    """They overdraw what the others have used up, and no further."""
    admission = RecoveryAdmission(BACK, 0.0)
    admission.fill(100.0, [0.2] * 8, 8, BASE)
    while admission.allows(False):
        admission.spend()
    more = 0
    while admission.allows(True):
        admission.spend()
        more += 1
    assert more >= 1 and admission.tokens >= -admission.max_overdraft - 1


def test_rejected_clients_retry_spread_over_time() -> None:
    """They are told to stay away for times that differ far more than at other times."""
    usual, spread = BASE.classes[0].latency_objective_ms / 4, []
    for word in (None, replace(BACK, tier_requests_per_s=0.001)):
        node = Balancer(replace(BASE, max_retry_after_ms=5000.0), 1)
        node.handle(1000.0, api.ListUpdate(api.ListUpdateKind.CACHED, []))
        if word is not None:
            node.handle(1000.0, word)
        done = [node.handle(1000.0, api.RequestArrived(f"r{i}", "read", 2000.0)) for i in range(60)]
        away = [a.retry_after_ms for acts in done for a in answers(acts) if isinstance(a, api.RejectRequest)]
        assert len(away) == 60 and min(away) >= usual
        spread.append(max(away) - min(away))
    assert spread[0] <= usual and spread[1] > 8 * usual


def test_after_recovery_a_node_decides_as_before() -> None:
    """After the last phase the node decides as one that never heard of a return."""
    node = returned()
    node.handle(1000.0, api.RecoveryProgressed(api.RecoveryPhase.FULL, 1.0))
    assert flood(node, 1.0, 300) == flood(returned(None), 1.0, 300)


STRESS = Experiment(
    name="many nodes on few backends", seconds=9.0, fleet=Fleet(nodes=40), clients=Clients(retries=2),
    backends=Backends(count=4, cold_capacity_share=0.2), load=Load(utilisation=0.7),
    rules=Rules(cold_share=0.2),
    faults=(Surge(at=2.5, duration_s=4.0, factor=4.0),),
)  # fmt: skip


def test_a_tier_that_recovers_into_a_surge_serves_more() -> None:
    """Forty nodes with a floor of two sends each would swamp four cold backends."""
    figures = [World(STRESS, 3, PowerCut(2.0, over=1.0), room).play() for room in (False, True)]
    without, with_room = (f.goodput(4.5, 8.5) for f in figures)
    assert figures[1].collapsed == 0
    assert with_room > 1.1 * without


def test_a_small_tier_at_half_load_rejects_little() -> None:
    """Where little is wanted of it, a cold tier refuses little: on the mean of seeds, as one is a draw."""
    spec = msgspec.structs.replace(
        STRESS, fleet=Fleet(nodes=6), faults=(), load=Load(utilisation=0.5), backends=Backends(count=6)
    )
    served: dict[bool, list[float]] = {False: [], True: []}
    for seed in range(1, 9):
        for room in served:
            figures = World(spec, seed, PowerCut(2.0, over=1.0), room).play()
            served[room].append(figures.goodput(4.5, 8.5))
            assert not room or figures.collapsed == 0
    assert min(served[True]) >= 0.85
    assert sum(served[True]) >= sum(served[False])
