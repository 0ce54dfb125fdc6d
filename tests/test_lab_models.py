"""Models of backends, clients, discovery and the network, and the validation of experiments."""

from __future__ import annotations

from itertools import pairwise
from pathlib import Path

import msgspec
import numpy as np
import pytest
from hypothesis import given
from hypothesis import strategies as st

from balancer.experiments.errors import ExperimentError
from balancer.experiments.experiment import Experiment
from balancer.experiments.faults import LinkFault, Surge
from balancer.experiments.loading import load_experiment
from balancer.experiments.random_streams import random_stream
from balancer.experiments.selectors import select_parties, split_into_batches
from balancer.experiments.tables import DEFAULT_CLASSES, Backends, Clients, Expectation, Fleet, Load, Rules
from balancer.lab import records
from balancer.lab.figures import MAX_CPU_WAIT_S, expectation_holds, max_cpu_wait_s
from balancer.lab.processes import CpuWait, Usage
from balancer.lab.timeline import Step, timeline
from balancer.models.backend import Backend, Job, Verdict
from balancer.models.client import Operation, Outcome
from balancer.models.connect_delay import CONNECT_DELAY_S, MIN_REST_S, connect_delays
from balancer.models.directory import Directory, ListedEndpoint, Phase, Watch
from balancer.models.load import draw_arrivals
from balancer.models.network import NetworkConditions

BACKENDS = Backends(cores=1, queue_per_core=2, thrash=0.0, cold_capacity_share=0.5, warm_up_s=10.0)


def replace_spec(**overrides: object) -> Backends:
    return msgspec.structs.replace(BACKENDS, **overrides)


def make_backend(started_at: float = -1e12, spec: Backends = BACKENDS, **overrides: object) -> Backend:
    return Backend(spec, Rules(fall_ms=1000.0, **overrides), 1.0, {}, random_stream(1, "b"), started_at)  # type: ignore[arg-type]


def make_job(name: str, work: float = 10.0, **overrides: object) -> Job:
    return Job(name, 0, work, 0.0, **({"gives_up_at": 1e9} | overrides))  # type: ignore[arg-type]


def advance(core: Backend, now: float) -> list[tuple[str, str]]:
    return [(j.ident, j.verdict.value) for j in core.advance(now)]


def test_backend_serves_in_order_and_a_late_call_does_not_delay_it() -> None:
    core = make_backend()
    assert [core.offer(0.0, make_job(n)) for n in "abc"] == [None] * 3
    assert core.offer(0.0, make_job("d")) is Verdict.REJECTED
    assert core.request_counts == (1, 2) and core.next_end == 10.0
    assert advance(core, 29.0) == [("a", "served"), ("b", "served")]
    assert core.next_end == 30.0


def test_queued_request_expires_at_its_deadline_without_execution() -> None:
    core = make_backend()
    core.offer(0.0, make_job("a"))
    core.offer(0.0, make_job("b", gives_up_at=5.0, key="k", key_memory_ms=100.0))
    assert advance(core, 50.0) == [("a", "served"), ("b", "expired")]
    # The expired request was not executed, so that its retry is not a duplicate.
    assert core.offer(60.0, make_job("c", key="k", key_memory_ms=100.0)) is None


def test_duplicate_idempotency_key_is_answered_without_execution_while_remembered() -> None:
    core = make_backend()
    core.offer(0.0, make_job("a", key="k", key_memory_ms=50.0))
    core.advance(10.0)
    assert core.offer(50.0, make_job("b", key="k", key_memory_ms=50.0)) is Verdict.REPEATED
    assert core.offer(51.0, make_job("c", key="k", key_memory_ms=50.0)) is None


def test_cold_backend_is_slower_and_warms_up_by_time_or_by_work() -> None:
    core = make_backend(started_at=0.0)
    core.offer(0.0, make_job("a"))
    assert core.next_end == 20.0
    assert core.warmth(5000.0) == 0.75 and core.warmth(10_000.0) == 1.0
    core.done_work = 8000.0
    assert core.warmth(100.0) == pytest.approx(0.9)


def test_cold_backend_collapses_over_its_budget_and_reports_the_work_by_node() -> None:
    core = make_backend(started_at=0.0, spec=replace_spec(queue_per_core=1000), fall_multiple=2.0)
    sent = 0
    while core.collapse is None:
        core.offer(1.0, make_job(f"j{sent}"))
        sent += 1
    # The budget is twice the work of half a core in a second, plus ten requests.
    assert sent == 111 and core.collapse.work_by_node == {0: 1110.0}
    assert core.offer(2.0, make_job("late")) is Verdict.REJECTED
    core.restart(5.0)
    assert core.collapse is None and core.offer(6.0, make_job("again")) is None


def test_stalled_backend_resumes_with_the_progress_it_had() -> None:
    core = make_backend()
    core.offer(0.0, make_job("a"))
    core.stall(4.0)
    assert core.offer(5.0, make_job("b")) is None and core.next_end is None and core.advance(100.0) == []
    assert core.resume(104.0) == [] and core.next_end == 110.0
    assert advance(core, 130.0) == [("a", "served"), ("b", "served")]


def test_gray_failures_and_resets_affect_the_configured_share() -> None:
    core = make_backend(spec=replace_spec(queue_per_core=10_000))
    core.active_faults.gray = 0.6
    error_count = sum(core.offer(0.0, make_job(str(i))) is Verdict.ERROR for i in range(2000))
    assert 1100 < error_count < 1300
    core.active_faults.gray, core.active_faults.resets = 0.0, 0.2
    done = [verdict for _, verdict in advance(core, 1e9)]
    assert 0.15 < done.count("reset") / len(done) < 0.25


# --- clients

BROWSE, KEYED, ORDER = DEFAULT_CLASSES


@pytest.mark.parametrize(
    ("cls", "end", "is_retried"),
    [
        (BROWSE, Outcome.TIMED_OUT, True), (BROWSE, Outcome.FAILED, True), (BROWSE, Outcome.SERVED, False),
        (BROWSE, Outcome.ABANDONED, False), (ORDER, Outcome.REJECTED, True),
        (ORDER, Outcome.UNREACHABLE, True),
        (ORDER, Outcome.TIMED_OUT, False), (ORDER, Outcome.DISCONNECTED, False),
        (KEYED, Outcome.TIMED_OUT, False),
        (KEYED, Outcome.REJECTED, True),
    ],
)  # fmt: skip
def test_client_retries_only_as_the_request_class_allows(cls: object, end: Outcome, is_retried: bool) -> None:
    operation = Operation(cls, Clients(), 0.0, (1.0,) * 4)  # type: ignore[arg-type]
    operation.begin_attempt(0.0)
    assert (operation.next_attempt_at(100.0, 0.0, end, 0.0) is not None) == is_retried


def test_client_limits_retries_and_waits_for_retry_after() -> None:
    operation = Operation(
        BROWSE, Clients(retries=1, backoff_ms=10.0, retry_after_share=1.0), 0.0, (1.0, 0.0, 0.0, 0.5)
    )
    assert operation.begin_attempt(0.0).deadline == 400.0
    assert operation.next_attempt_at(100.0, 0.0, Outcome.REJECTED, 300.0) == 400.0
    assert operation.begin_attempt(400.0).deadline == 800.0
    assert operation.next_attempt_at(500.0, 400.0, Outcome.REJECTED, 10.0) is None


# --- discovery


@given(st.lists(st.tuples(st.integers(0, 3), st.sampled_from(list(Phase)), st.integers(0, 3)), max_size=30))
def test_watch_that_applies_all_changes_has_the_current_list(
    steps: list[tuple[int, Phase, int]],
) -> None:
    names = [f"s{i}" for i in range(4)]
    core = Directory({n: ListedEndpoint(n, "a", 0) for n in names})
    views: list[dict[str, ListedEndpoint]] = [dict(core.entries) for _ in range(4)]
    watches = [Watch(core.revision, is_first_event=False) for _ in range(4)]
    for now, (which, phase, watcher) in enumerate(steps):
        core.schedule_change(float(now), names[which], phase, float(now))
        core.advance(float(now))
        for entry in (watches[watcher].pending(core) or ((), False))[0]:
            views[watcher].pop(entry.name, None)
            if entry.phase is not Phase.REMOVED:
                views[watcher][entry.name] = entry
        assert views[watcher] == core.entries and watches[watcher].pending(core) is None


def test_watch_from_an_unknown_revision_receives_a_snapshot() -> None:
    core = Directory({"s0": ListedEndpoint("s0", "a", 0)}, revision=7)
    assert core.since(8) is None and core.since(3) is None and core.since(7) == []
    snapshot = ([ListedEndpoint("s0", "a", 0)], True)
    assert Watch(3).pending(core) == snapshot and Watch(7).pending(core) == ([], False)


def test_silent_watch_sends_nothing_and_the_next_watch_sends_the_missed_changes() -> None:
    core = Directory({"s0": ListedEndpoint("s0", "a", 0)}, revision=7)
    watch = Watch(7, is_first_event=False, is_silent=True)
    core.schedule_change(1.0, "s0", Phase.DRAINING)
    changes = core.advance(1.0)
    assert watch.pending(core) is None and watch.sent_revision == 7
    assert Watch(watch.sent_revision).pending(core) == (changes, False)


def test_watch_that_ends_on_change_ends_at_the_first_change_after_its_first_event() -> None:
    core = Directory({"s0": ListedEndpoint("s0", "a", 0)}, revision=7)
    watch = Watch(5, ends_on_change=True)
    assert not watch.should_end(core)
    assert watch.pending(core) is not None and not watch.should_end(core)
    core.schedule_change(1.0, "s0", Phase.DRAINING)
    core.advance(1.0)
    assert watch.should_end(core)
    assert not Watch(7, is_first_event=False).should_end(core)
    assert not Watch(7, is_first_event=False, ends_on_change=True, is_silent=True).should_end(core)


@pytest.mark.parametrize("share", [0.05, 0.2, 0.45])
def test_connect_delays_cover_the_configured_share_and_spare_the_retransmitted_syn(share: float) -> None:
    """Guards against connections that never succeed: a SYN sent again after a second must get through."""
    drawn = [connect_delays(random_stream(seed, "late"), share, 10.0, 110.0) for seed in range(40)]
    assert drawn[0] == connect_delays(random_stream(0, "late"), share, 10.0, 110.0) != drawn[1]
    for row in drawn:
        assert all(a >= 10.0 and b <= 110.0 and b - a == pytest.approx(CONNECT_DELAY_S) for a, b in row)
        assert all(later[0] - earlier[1] >= MIN_REST_S - 1e-9 for earlier, later in pairwise(row))
    assert CONNECT_DELAY_S < 1.0 < MIN_REST_S
    assert sum(map(len, drawn)) * CONNECT_DELAY_S / 4000 == pytest.approx(share, rel=0.1)


# --- load, network, experiments


def test_random_streams_are_independent_and_a_surge_changes_only_its_own_zone() -> None:
    base = Experiment(name="x", load=Load(rate=600.0))
    a, b = draw_arrivals(base, 1, "a"), draw_arrivals(base, 1, "b")
    assert np.array_equal(a.at, draw_arrivals(base, 1, "a").at) and not np.array_equal(a.at[:50], b.at[:50])
    assert not np.array_equal(a.at, draw_arrivals(base, 2, "a").at)
    surge = Experiment(
        name="x", load=Load(rate=600.0), faults=(Surge(at=5.0, duration_s=2.0, factor=3.0, zone="a"),)
    )
    inside = draw_arrivals(surge, 1, "a").at
    assert 1000 < np.sum((inside >= 5000) & (inside < 7000)) < 1400
    assert np.array_equal(draw_arrivals(surge, 1, "b").work[:100], b.work[:100])
    assert a.work.mean() == pytest.approx(20.0, rel=0.05)


def test_link_fault_affects_one_direction_and_ends() -> None:
    fault = LinkFault(
        at=1.0,
        duration_s=1.0,
        source="nodes:0",
        destination="backends:zone=b",
        both=False,
        cut=True,
        loss=0.5,
    )
    network = NetworkConditions(Experiment(name="x", faults=(fault,)), random_stream(1, "w"))
    network.change(fault, True)
    assert network.conditions("n0", "s1").cut and not network.conditions("s1", "n0").cut
    assert (
        not network.conditions("n0", "s0").cut
        and network.datagram_delays_ms(network.conditions("n0", "s1"), 10) == []
    )
    network.change(fault, False)
    assert not network.conditions("n0", "s1").cut


def test_datagrams_are_lost_duplicated_and_reordered_in_the_configured_shares() -> None:
    fault = LinkFault(
        at=0.0, duration_s=1.0, source="nodes", destination="nodes", loss=0.3, duplicate=0.2, reorder=0.1
    )
    network = NetworkConditions(
        Experiment(name="x", fleet=Fleet(nodes=2), faults=(fault,)), random_stream(1, "w")
    )
    network.change(fault, True)
    link = network.conditions("n0", "n1")
    copies = [network.datagram_delays_ms(link, 100) for _ in range(4000)]
    assert 0.27 < sum(not c for c in copies) / 4000 < 0.33
    assert 0.17 < sum(len(c) == 2 for c in copies) / 2800 < 0.23
    late = [x for c in copies for x in c]
    assert 0.08 < sum(x > 9 for x in late) / len(late) < 0.12


def test_selectors_match_parties_and_batches_keep_their_order() -> None:
    spec = Experiment(name="x", fleet=Fleet(nodes=10))
    assert select_parties(spec, "nodes:70%") == ["n0", "n1", "n2", "n4", "n5", "n7", "n8"]
    assert select_parties(spec, "backends:2-4") == ["s2", "s3", "s4"]
    assert select_parties(spec, "nodes:zone=b") == ["n1", "n4", "n7"]
    assert split_into_batches(["a", "b", "c"], 2) == [["a"], ["b", "c"]] and split_into_batches(
        ["a"], 10
    ) == [["a"]]


@pytest.mark.parametrize(
    ("assignment", "field"),
    [
        ("fleet.nodes=0", "fleet.nodes"), ('fleet.nodes="x"', "fleet.nodes"), ("fleet.nodez=1", "fleet"),
        ('faults.0.what="nodes:9"', "faults[0].what"), ('faults.0.kind="zap"', "faults[0].kind"),
        ("faults.0.at=99.0", "faults[0].at"), ("load.rate=-1.0", "load.rate"), ("nonsense", "--set"),
        ('faults.0.what="discovery"', "faults[0].what"), ("faults.7.at=1.0", "--set"),
        ('faults=[{kind="watch-silent", at=1.0, what="backends"}]', "faults[0].what"),
        ('faults=[{kind="late-connect", at=1.0, for=1.0, what="backends", share=0.5}]', "faults[0].share"),
    ],
)  # fmt: skip
def test_invalid_experiment_is_rejected_with_the_name_of_its_field(
    tmp_path: Path, assignment: str, field: str
) -> None:
    path = tmp_path / "x.toml"
    path.write_text(
        'name = "x"\n[[faults]]\nkind = "kill"\nat = 1.0\nwhat = "nodes:0"\nrestart-after = 1.0\n'
    )
    assert [(m.at_s, m.step) for m in timeline(load_experiment(path), 1)] == [
        (1.0, Step.BEGIN),
        (2.0, Step.RESTART),
    ]
    with pytest.raises(ExperimentError) as caught:
        load_experiment(path, [assignment])
    assert str(caught.value).startswith(field) and "\n" not in str(caught.value)


def test_every_experiment_in_the_repository_is_valid() -> None:
    paths = list((Path(__file__).parents[1] / "lab" / "experiments").glob("*.toml"))
    assert len(paths) >= 8 and all(load_experiment(path).name == path.stem for path in paths)


def test_expectation_on_a_missing_figure_does_not_hold() -> None:
    assert not expectation_holds(Expectation(figure="recovery_s", max=3.0), {})
    assert expectation_holds(Expectation(figure="x", min=1.0, max=2.0), {"x": 1.5})
    assert not expectation_holds(Expectation(figure="x", min=1.0), {"x": 0.5})


def test_unfinished_wait_for_a_core_is_measured_and_a_finished_one_counts_once() -> None:
    """Guards against unnoticed starvation: the kernel counts a wait for a core only once it has ended."""

    def run_records(*usages: Usage) -> records.RunRecords:
        waiting, out = CpuWait(), records.RunRecords(processes=[records.ProcessRecord(0, 0, -5000.0)])
        for at, each in enumerate(usages):
            so_far = each.cpu_wait_s + waiting.so_far(float(at), each)
            out.samples.append(records.ProcessSample(1000.0 * at, 0, each.cpu_s, 20.0, 9, cpu_wait_s=so_far))
        return out

    running, starved = Usage(0.3, 20.0, 9, 0.2, True, (300, 7)), Usage(0.3, 20.0, 9, 0.2, True, (310, 8))
    after, idle = Usage(0.3, 20.0, 9, 3.1, True, (320, 9)), Usage(0.3, 20.0, 9, 0.2, False, (310, 8))
    assert [
        s.cpu_wait_s for s in run_records(running, starved, starved, starved, after).samples
    ] == pytest.approx([0.2, 0.2, 1.2, 2.2, 3.1])
    assert (
        max_cpu_wait_s(run_records(running, starved, starved, starved)) == pytest.approx(2.0)
        and MAX_CPU_WAIT_S < 2.0
    )
    for usages in ((running, idle, idle, idle), (running, idle, starved, idle, starved)):
        assert max_cpu_wait_s(run_records(*usages)) == 0.0
