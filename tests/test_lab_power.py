"""Power loss in the lab: return times, states of disks, recovery figures, and a run of real nodes."""

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
from tests.test_lab_run import run_lab, write_experiment

FOUR_NODES = Experiment(
    name="x", seconds=20.0, fleet=Fleet(nodes=4, membership=True), backends=Backends(count=2, warm_up_s=5.0),
    load=Load(work_ms=10.0), faults=(PowerLoss(at=5.0, never=("nodes:3",)),),
)  # fmt: skip


def power_fault(spec: Experiment) -> PowerLoss:
    assert isinstance(spec.faults[0], PowerLoss)
    return spec.faults[0]


def killed_writer(at: int, seed: int) -> tuple[SimulatedDisk, list[str]]:
    """Return the disk of a writer killed at its `at`-th disk call, and the bans it had acknowledged."""
    disk, dice, acknowledged = SimulatedDisk(), random.Random(seed), []

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
            acknowledged += [name] if ban else []
            if number == 7:
                store.rotate(snapshot(read_directory(SimulatedDirectory(disk))))
    except PowerCutError:
        pass
    disk.before_call = no_fault
    return disk, acknowledged


def test_power_loss_keeps_acknowledged_bans_and_synced_bytes() -> None:
    shorter = 0
    for at in range(1, 75):
        for seed in range(6):
            disk, acknowledged = killed_writer(at, seed)
            image = disk.image()
            left = power_loss.crash_image(image, random.Random(seed))
            found = read_directory(SimulatedDirectory(SimulatedDisk(left)))
            assert acknowledged == [
                n for n in replay(found.snapshot, found.records).banned if n in acknowledged
            ], (
                at,
                seed,
            )
            for name, inode in disk.durable_names.items():  # Synced bytes survive.
                alone = name.startswith("snap") and name.replace("snap", "log") not in image
                if disk.files.get(name) is inode and not (alone and name not in left):
                    assert left[name][: inode.durable_bytes] == bytes(inode.data[: inode.durable_bytes]), (
                        at,
                        seed,
                        name,
                    )
            shorter += left != image
    assert shorter > 100  # Many of the 444 power losses remove bytes that were not synced.


def test_disks_after_power_loss_follow_the_fault_and_the_seed() -> None:
    disks = (DiskState(nodes="nodes:0", state="empty"), DiskState(nodes="nodes:1", state="old"),
             DiskState(nodes="nodes:2-3", state="swapped"))  # fmt: skip
    spec, images = FOUR_NODES, {f"n{n}": killed_writer(60 + n, n)[0].image() for n in range(4)}
    cut = PowerLoss(at=5.0, disks=disks)
    default_images = power_loss.images_after(spec, 1, PowerLoss(at=5.0), images, {})
    left = power_loss.images_after(spec, 1, cut, images, {"n1": {"fence": b"of old"}})
    assert left == power_loss.images_after(spec, 1, cut, images, {"n1": {"fence": b"of old"}})
    assert (left["n0"], left["n1"]) == ({}, {"fence": b"of old"})
    assert (left["n2"], left["n3"]) == (default_images["n3"], default_images["n2"])
    bad = power_loss.corrupted(default_images["n2"], random.Random(1))
    assert [n for n in bad if bad[n] != default_images["n2"][n]] and read_directory(
        SimulatedDirectory(SimulatedDisk(bad))
    ).problems


def test_all_but_never_targets_return_and_a_second_loss_delays_those_still_down() -> None:
    orders = [power_loss.return_times(FOUR_NODES, seed, power_fault(FOUR_NODES)) for seed in range(5)]
    assert (
        orders[1] == power_loss.return_times(FOUR_NODES, 1, power_fault(FOUR_NODES))
        and len({tuple(o) for o in orders}) > 1
    )
    for order in orders:
        assert set(order) == {"n0", "n1", "n2", "s0", "s1", "d"} and order["d"] == 6.0
        assert sorted(order.values())[-1] == 9.0 == last_step_at(FOUR_NODES, power_fault(FOUR_NODES))
    again = PowerLoss(at=7.0)
    twice = Experiment(name="x", seconds=20.0, fleet=FOUR_NODES.fleet, backends=FOUR_NODES.backends,
                       faults=(*FOUR_NODES.faults, again))  # fmt: skip
    steps = timeline(twice, 1)
    early = [m for m in steps if m.fault is not again and m.step is Step.RESTART]
    assert 0 < len(early) < 6 and max(m.at_s for m in early) < 7.0
    assert {m.names[0] for m in steps if m.fault is again and m.step is Step.RESTART} >= {"n3", "d"}


def process_record(
    node: int, process: int, started: float, ready: float, ended: float = 0.0
) -> records.ProcessRecord:
    return records.ProcessRecord(node, process, started, ready, killed_at=ended, ended_at=ended)


def recovery_records(
    bans: list[records.MaintenanceRecord], attempts: list[tuple[int, float]]
) -> records.RunRecords:
    """Return records of three of four nodes ready at 7, 8 and 9 s, with 0.5 ms of work per ms from 6.5 s."""
    out = records.RunRecords(maintenance=bans)
    out.processes += [process_record(n, 0, -500.0, -100.0, 5000.0) for n in range(4)]
    out.processes += [process_record(n, 1, 6500.0 + 1000 * n, 7000.0 + 1000 * n) for n in range(3)]
    out.capacities += [records.CapacityRecord(slot, 0.5) for slot in range(65, 200)]
    out.backend_attempts += [
        records.BackendAttemptRecord("", node, 0, "GET", "/", "", at, at, "served", at, 0.0, True)
        for node, at in attempts
    ]
    return out


def test_return_goodput_is_the_served_share_of_capacity_since_the_median_node_is_ready() -> None:
    operations = [(10.0 * n, 1.0, 1.0 if n < 500 else 0.0 if n < 900 else 0.25) for n in range(2000)]
    values = power_recovery_figures(FOUR_NODES, 1, recovery_records([], []), operations)
    assert values["return_ready_s"] == 2.0  # The median node n1 is ready at 8 s, and power returned at 6 s.
    # 100 operations per second with 10 ms of work each need 1 ms per ms; half of that is available.
    assert values["return_goodput"] == pytest.approx(0.5) and values["return_share"] < 0.25
    assert values["return_to_95_s"] == -1.0


def test_forgotten_ban_counts_only_once_the_node_could_know_it() -> None:
    def count(ban: records.MaintenanceRecord, node: int, at: float, *more: LinkFault,
              disks: tuple[DiskState, ...] = ()) -> int:  # fmt: skip
        spec = Experiment(name="x", seconds=20.0, fleet=FOUR_NODES.fleet, backends=FOUR_NODES.backends,
                          faults=(PowerLoss(at=5.0, disks=disks), *more))  # fmt: skip
        return count_forgotten_bans(spec, recovery_records([ban], [(node, at)]))

    # Node n1 acknowledged the ban, and is back at 8 s, 3 s after the power loss.
    ban = records.MaintenanceRecord(1, 0, 2000.0, 15_000.0)
    assert count(ban, 1, 9000.0) == count(ban, 0, 9000.0) == 1
    # At 7.9 s n1 is still down, and at 16 s the ban is lifted.
    assert count(ban, 0, 7900.0) == count(ban, 0, 16_000.0) == 0
    assert count(ban, 0, 9000.0, disks=(DiskState(nodes="nodes:1", state="empty"),)) == 0
    apart = LinkFault(at=5.0, duration_s=5.0, source="nodes:0", destination="nodes:1", cut=True)
    assert count(ban, 0, 9000.0, apart) == 0 and count(ban, 0, 12_500.0, apart) == 1
    # Node n2, which set the second ban after the power loss, is live and knows it.
    assert count(records.MaintenanceRecord(2, 0, 10_000.0, 0.0), 0, 12_000.0) == 1


def test_recovery_phases_are_dated_by_the_clock_of_their_process(tmp_path: Path) -> None:
    line = "1970-01-01 00:20:{},500 INFO recovery: phase {}, path power: 3 of 4 heard\n"
    (tmp_path / "n1-2.log").write_text("INFO other\n" + line.format("10", "ask") + line.format("12", "full"))
    found = list(recovery_phases(tmp_path, 0.0, {(1, 2): 1200.0}))
    assert [(p.node, p.phase, p.path, p.reason) for p in found] == [
        (1, "ask", "power", "3 of 4 heard"), (1, "full", "power", "3 of 4 heard")]  # fmt: skip
    assert found[1].at - found[0].at == 2000.0


@pytest.mark.parametrize("package", ["balancer", "dillport"])
def test_clock_offset_is_added_to_other_variants_of_a_program(package: str) -> None:
    command = Program("x", Path(), f"exec python -B -m {package}").with_variant("clock--600")
    assert command.endswith(f"variant.py' {package} clock--600")
    assert (
        Program("x", Path(), command)
        .with_variant("alone")
        .endswith(f"variant.py' {package} alone clock--600")
    )


MAX_RUNS = 3  # A run is repeated until it is not void or all nodes came back in it.

REAL_NODES = """
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


def test_real_nodes_restart_with_the_disks_and_clocks_of_the_power_loss(tmp_path: Path) -> None:
    path = write_experiment(tmp_path, REAL_NODES)
    for number in range(MAX_RUNS):
        out = tmp_path / f"out{number}"
        done = run_lab("run", path, "--out", str(out), "--json")
        assert done.returncode in (0, 1, 2) and not done.stderr, done.stderr
        spec, found = load_experiment(tmp_path / "spec.toml"), records.read(out / "records.msgpack")
        processes = {(x.node, x.process): x for x in found.processes}
        if not json.loads(done.stdout)["void"] or all(
            life.ready_at or life.killed_at for life in found.processes
        ):
            break
    assert sorted(processes) == [(n, p) for n in range(3) for p in range(2)]
    assert all(processes[n, 0].killed_at and processes[n, 1].ready_at for n in range(3))
    assert max(processes[n, 0].ended_at for n in range(3)) < min(processes[n, 1].started_at for n in range(3))
    logs = {n: (out / "logs" / f"n{n}-1.log").read_text() for n in range(3)}
    # A busy console may acknowledge a ban only after the kill, so not all nodes need to have it.
    acknowledged = {ban.node for ban in found.maintenance if ban.banned_at < processes[ban.node, 0].killed_at}
    kept = {n for n in range(3) if ": 1 backends in maintenance," in logs[n]}
    assert kept == acknowledged - {1}  # Node n1 restarted with an empty disk.
    stamps = [logs[n][11:16] for n in (0, 2)]  # These are the times of day of the first log lines as HH:MM.
    minutes = [int(s[:2]) * 60 + int(s[3:]) for s in stamps]
    assert (minutes[0] - minutes[1]) % 1440 in (9, 10, 11)
    assert found.capacities and last_step_at(spec) == pytest.approx(3.4)
