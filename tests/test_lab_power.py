"""The lab's power cut: who returns when, what it leaves on disks, its figures, and one with real nodes."""

from __future__ import annotations

import json
import random
from pathlib import Path

import pytest

from balancer.durable.reader import DirectoryContents, read_directory
from balancer.durable.records import BanSet, EndpointListReceived, encode_record
from balancer.durable.state import replay
from balancer.durable.writer import LogWriter
from balancer.experiments.experiment import Experiment
from balancer.experiments.faults import DiskState, LinkFault, PowerLoss
from balancer.experiments.loading import load_experiment
from balancer.experiments.tables import Backends, Fleet, Load
from balancer.lab import power_loss, records
from balancer.lab.power_recovery import count_forgotten_bans, power_recovery_figures
from balancer.lab.programs import Program
from balancer.lab.run import recovery_phases
from balancer.lab.timeline import Step, last_step_at, timeline
from balancer.sim.disk import DiskCall, PowerCutError, SimulatedDirectory, SimulatedDisk, no_fault
from tests.test_lab_run import file, lab

SMALL = Experiment(
    name="x", seconds=20.0, fleet=Fleet(nodes=4, membership=True), backends=Backends(count=2, warm_up_s=5.0),
    load=Load(work_ms=10.0), faults=(PowerLoss(at=5.0, never=("nodes:3",)),),
)  # fmt: skip


def fault(spec: Experiment) -> PowerLoss:
    assert isinstance(spec.faults[0], PowerLoss)
    return spec.faults[0]


def killed(at: int, seed: int) -> tuple[SimulatedDisk, list[str]]:
    """A store whose process dies at its `at`-th call of the disk, and the bans it had said yes to by then."""
    disk, dice, acked = SimulatedDisk(), random.Random(seed), []

    def fail(count: int, call: DiskCall, name: str) -> None:
        if count == at:
            raise PowerCutError

    disk.before_call = fail

    def snapshot(found: DirectoryContents) -> bytes:
        return replay(found.snapshot, found.records).encode_snapshot()

    try:
        store = LogWriter(SimulatedDirectory(disk), "n0", "s", snapshot)
        for number in range(12):
            ban = dice.random() < 0.5
            name = f"b{number}"
            record = BanSet(name, 1.0) if ban else EndpointListReceived(number, True, 1.0, [])
            store.append([encode_record(record)], sync=ban)
            acked += [name] if ban else []
            if number == 7:
                store.rotate(snapshot(read_directory(SimulatedDirectory(disk))))
    except PowerCutError:
        pass
    disk.before_call = no_fault
    return disk, acked


def test_a_cut_takes_nothing_that_was_said_yes_to_and_only_what_a_cut_may_take() -> None:
    shorter = 0
    for at in range(1, 75):
        for seed in range(6):
            disk, acked = killed(at, seed)
            image = disk.image()
            left = power_loss.crash_image(image, random.Random(seed))
            found = read_directory(SimulatedDirectory(SimulatedDisk(left)))
            assert acked == [n for n in replay(found.snapshot, found.records).banned if n in acked], (
                at,
                seed,
            )
            for name, inode in disk.durable_names.items():  # what the disk itself knows to be synced is whole
                alone = name.startswith("snap") and name.replace("snap", "log") not in image
                if disk.files.get(name) is inode and not (alone and name not in left):
                    assert left[name][: inode.durable_bytes] == bytes(inode.data[: inode.durable_bytes]), (
                        at,
                        seed,
                        name,
                    )
            shorter += left != image
    assert shorter > 100  # it does take what it may


def test_disks_are_empty_damaged_old_or_swapped_as_told_and_the_same_for_a_seed() -> None:
    disks = (DiskState(nodes="nodes:0", state="empty"), DiskState(nodes="nodes:1", state="old"),
             DiskState(nodes="nodes:2-3", state="swapped"))  # fmt: skip
    spec, images = SMALL, {f"n{n}": killed(60 + n, n)[0].image() for n in range(4)}
    cut = PowerLoss(at=5.0, disks=disks)
    is_unimpaired = power_loss.images_after(spec, 1, PowerLoss(at=5.0), images, {})
    left = power_loss.images_after(spec, 1, cut, images, {"n1": {"fence": b"of old"}})
    assert left == power_loss.images_after(spec, 1, cut, images, {"n1": {"fence": b"of old"}})
    assert (left["n0"], left["n1"]) == ({}, {"fence": b"of old"})
    assert (left["n2"], left["n3"]) == (is_unimpaired["n3"], is_unimpaired["n2"])
    bad = power_loss.corrupted(is_unimpaired["n2"], random.Random(1))
    assert [n for n in bad if bad[n] != is_unimpaired["n2"][n]] and read_directory(
        SimulatedDirectory(SimulatedDisk(bad))
    ).problems


def test_all_come_back_but_those_that_never_do_and_a_second_cut_keeps_who_had_not_yet() -> None:
    orders = [power_loss.return_times(SMALL, seed, fault(SMALL)) for seed in range(5)]
    assert (
        orders[1] == power_loss.return_times(SMALL, 1, fault(SMALL)) and len({tuple(o) for o in orders}) > 1
    )
    for order in orders:
        assert set(order) == {"n0", "n1", "n2", "s0", "s1", "d"} and order["d"] == 6.0
        assert sorted(order.values())[-1] == 9.0 == last_step_at(SMALL, fault(SMALL))
    again = PowerLoss(at=7.0)
    twice = Experiment(name="x", seconds=20.0, fleet=SMALL.fleet, backends=SMALL.backends,
                       faults=(*SMALL.faults, again))  # fmt: skip
    steps = timeline(twice, 1)
    early = [m for m in steps if m.fault is not again and m.step is Step.RESTART]
    assert 0 < len(early) < 6 and max(m.at_s for m in early) < 7.0
    assert {m.names[0] for m in steps if m.fault is again and m.step is Step.RESTART} >= {"n3", "d"}


def life(node: int, process: int, started: float, ready: float, ended: float = 0.0) -> records.ProcessRecord:
    return records.ProcessRecord(node, process, started, ready, killed_at=ended, ended_at=ended)


def seen(bans: list[records.MaintenanceRecord], attempts: list[tuple[int, float]]) -> records.RunRecords:
    """Three of four nodes are back at 7.0, 8.0 and 9.0 s; both backends have half their work from 6.5 s."""
    out = records.RunRecords(maintenance=bans)
    out.processes += [life(n, 0, -500.0, -100.0, 5000.0) for n in range(4)]
    out.processes += [life(n, 1, 6500.0 + 1000 * n, 7000.0 + 1000 * n) for n in range(3)]
    out.capacities += [records.CapacityRecord(slot, 0.5) for slot in range(65, 200)]
    out.backend_attempts += [
        records.BackendAttemptRecord("", node, 0, "GET", "/", "", at, at, "served", at, 0.0, True)
        for node, at in attempts
    ]
    return out


def test_goodput_is_of_what_returned_backends_bear_and_counts_from_the_median_node() -> None:
    operations = [(10.0 * n, 1.0, 1.0 if n < 500 else 0.0 if n < 900 else 0.25) for n in range(2000)]
    values = power_recovery_figures(SMALL, 1, seen([], []), operations)
    assert values["return_ready_s"] == 2.0  # of n0, n1, n2: n1, 8 s less 6 s
    # 100 wishes a second, 10 ms of work each: 1 ms a ms is asked for, half of it can be had.
    assert values["return_goodput"] == pytest.approx(0.5) and values["return_share"] < 0.25
    assert values["return_to_95_s"] == -1.0


def test_a_ban_counts_from_when_a_node_could_know_it() -> None:
    def count(ban: records.MaintenanceRecord, node: int, at: float, *more: LinkFault,
              disks: tuple[DiskState, ...] = ()) -> int:  # fmt: skip
        spec = Experiment(name="x", seconds=20.0, fleet=SMALL.fleet, backends=SMALL.backends,
                          faults=(PowerLoss(at=5.0, disks=disks), *more))  # fmt: skip
        return count_forgotten_bans(spec, seen([ban], [(node, at)]))

    ban = records.MaintenanceRecord(1, 0, 2000.0, 15_000.0)  # n1 said yes; it is back at 8 s
    assert count(ban, 1, 9000.0) == count(ban, 0, 9000.0) == 1
    assert count(ban, 0, 7900.0) == count(ban, 0, 16_000.0) == 0  # n1 is not back; it was called off
    assert count(ban, 0, 9000.0, disks=(DiskState(nodes="nodes:1", state="empty"),)) == 0
    apart = LinkFault(at=5.0, duration_s=5.0, source="nodes:0", destination="nodes:1", cut=True)
    assert count(ban, 0, 9000.0, apart) == 0 and count(ban, 0, 12_500.0, apart) == 1
    assert count(records.MaintenanceRecord(2, 0, 10_000.0, 0.0), 0, 12_000.0) == 1  # a live peer's


def test_phases_are_read_by_the_clock_that_a_node_had(tmp_path: Path) -> None:
    line = "1970-01-01 00:20:{},500 INFO recovery: phase {}, path power: 3 of 4 heard\n"
    (tmp_path / "n1-2.log").write_text("INFO other\n" + line.format("10", "ask") + line.format("12", "full"))
    found = list(recovery_phases(tmp_path, 0.0, {(1, 2): 1200.0}))
    assert [(p.node, p.phase, p.path, p.reason) for p in found] == [
        (1, "ask", "power", "3 of 4 heard"), (1, "full", "power", "3 of 4 heard")]  # fmt: skip
    assert found[1].at - found[0].at == 2000.0


@pytest.mark.parametrize("package", ["balancer", "dillport"])
def test_a_clock_is_one_more_variant_of_what_is_played(package: str) -> None:
    is_unimpaired = Program("x", Path(), f"exec python -B -m {package}").with_variant("clock--600")
    assert is_unimpaired.endswith(f"variant.py' {package} clock--600")
    assert (
        Program("x", Path(), is_unimpaired)
        .with_variant("alone")
        .endswith(f"variant.py' {package} alone clock--600")
    )


PLAYS = 3  # at most, until one is not void, or all came back in it

REAL = """
name = "cut"
seconds = 8.0
warmup = 0.5
[fleet]
nodes = 3
durable = true
[backends]
count = 3
[load]
rate = 60.0
[[faults]]
kind = "maint"
at = 0.4
for = 3.0
what = "backends:1"
[[faults]]
kind = "power"
at = 1.2
restart-after = 0.2
return-over = 0.4
disks = [{nodes = "nodes:1", state = "empty"}]
clocks = [{nodes = "nodes:2", by = -600.0}]
"""


def test_real_nodes_come_back_with_the_disks_and_clocks_of_the_cut(tmp_path: Path) -> None:
    path = file(tmp_path, REAL)
    for number in range(PLAYS):
        out = tmp_path / f"out{number}"
        done = lab("run", path, "--out", str(out), "--json")
        assert done.returncode in (0, 1, 2) and not done.stderr, done.stderr
        spec, found = load_experiment(tmp_path / "spec.toml"), records.read(out / "records.msgpack")
        lives = {(x.node, x.process): x for x in found.processes}
        if not json.loads(done.stdout)["void"] or all(
            life.ready_at or life.killed_at for life in found.processes
        ):
            break
    assert sorted(lives) == [(n, p) for n in range(3) for p in range(2)]
    assert all(lives[n, 0].killed_at and lives[n, 1].ready_at for n in range(3))
    assert max(lives[n, 0].ended_at for n in range(3)) < min(lives[n, 1].started_at for n in range(3))
    logs = {n: (out / "logs" / f"n{n}-1.log").read_text() for n in range(3)}
    said = {
        ban.node for ban in found.maintenance if ban.banned_at < lives[ban.node, 0].killed_at
    }  # a busy console may not
    kept = {n for n in range(3) if ": 1 backends in maintenance," in logs[n]}
    assert kept == said - {1}  # its disk is empty
    stamps = [logs[n][11:16] for n in (0, 2)]  # HH:MM
    minutes = [int(s[:2]) * 60 + int(s[3:]) for s in stamps]
    assert (minutes[0] - minutes[1]) % 1440 in (9, 10, 11)
    assert found.capacities and last_step_at(spec) == pytest.approx(3.4)
