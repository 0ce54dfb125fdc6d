"""Durable and learned state across kills, pauses and restarts of a node's processes."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import signal
import subprocess
import sys
from collections.abc import AsyncIterator
from dataclasses import dataclass, replace
from functools import partial
from pathlib import Path

import pytest

from balancer import interface as api
from balancer.durable.filesystem import SystemDirectory
from balancer.durable.reader import read_directory
from balancer.durable.state import DurableState, replay
from balancer.lab.programs import ROOT
from tests.helpers import BASE, SAFE, entry, node
from tests.sockets import Backend, FakeDiscovery, Rig, node_config, started_node, wait_until_async
from tests.test_console import CONSOLE

BACKENDS = ["b0", "b1", "b2", "b3"]


@dataclass
class NodeFiles:
    """Files of a node: settings, durable directory, and a `$TMPDIR` for each start."""

    folder: Path
    discovery: FakeDiscovery
    starts: int = 0

    @property
    def state(self) -> Path:
        """Return the durable directory."""
        return self.folder / "state"

    def read_state(self) -> DurableState:
        """Return the state in the durable directory."""
        loaded = read_directory(SystemDirectory(self.state))
        return replay(loaded.snapshot, loaded.records)

    def last_record_number(self) -> int:
        """Return the number of the last record in the durable directory."""
        with contextlib.suppress(OSError):  # A process may delete a generation of files during the read.
            return read_directory(SystemDirectory(self.state)).last_number
        return 0

    async def has_records(self, number: int) -> bool:
        """Return whether the durable directory has records up to a number."""
        return self.last_record_number() >= number

    @contextlib.asynccontextmanager
    async def run_process(self, fresh_tmp: bool = True) -> AsyncIterator[Rig]:
        """Run a process of the node; `$TMPDIR` is empty unless `fresh_tmp` is false."""
        self.starts += fresh_tmp
        tmp = self.folder / f"tmp-{self.starts}"
        tmp.mkdir(exist_ok=True)
        env = {"TMPDIR": str(tmp), "PROXY_FLEET": str(self.folder / "fleet.toml")}
        async with started_node(self.folder / "config.json", self.discovery, **env) as rig:
            yield rig


@contextlib.asynccontextmanager
async def node_files(folder: Path) -> AsyncIterator[NodeFiles]:
    """Provide backends, discovery and the files of one node."""
    discovery = FakeDiscovery()
    backends = [Backend(backend) for backend in BACKENDS]
    await discovery.start()
    for backend in backends:
        await backend.start()
    members = [b.list_entry() for b in backends]
    (folder / "config.json").write_text(json.dumps(node_config(members, discovery.port, console=CONSOLE)))
    (folder / "fleet.toml").write_text(f"[durable]\ndirectory = {json.dumps(str(folder / 'state'))}\n")
    try:
        yield NodeFiles(folder, discovery)
    finally:
        assert discovery.server is not None
        discovery.server.close()
        for backend in backends:
            backend.stop()


async def test_ban_survives_sigkill_and_a_lost_tmpdir(tmp_path: Path) -> None:
    async with node_files(tmp_path) as files:
        async with files.run_process() as rig:
            assert (await rig.call_console("/backends/b1/maint", "POST")).status == 200
            assert (await rig.call_console("/backends/b2/maint", "POST")).status == 200
            assert (await rig.call_console("/backends/b2/ready", "POST")).status == 200
            rig.process.kill()
        async with files.run_process() as rig:
            assert (await rig.stats())["members_unavailable"] == 1
            client = await rig.connect()
            serving_backends = {(await client.request("/read")).body.split()[0] for _ in range(40)}
            assert b"b1" not in serving_backends and len(serving_backends) >= 2
            assert (await rig.call_console("/backends/b1/ready", "POST")).status == 200
            rig.process.kill()
        async with files.run_process() as rig:
            assert (await rig.stats())["members_unavailable"] == 0


async def send_random_requests(rig: Rig, generator: random.Random, acknowledged: dict[str, bool]) -> None:
    """Request bans and lifts until the node is killed; record the acknowledged ones in `acknowledged`."""
    with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
        while True:
            backend = generator.choice(BACKENDS)
            banned = generator.random() < 0.5
            # The effect of a request is unknown until it is answered.
            previous = acknowledged.pop(backend, None)
            if (
                await rig.call_console(f"/backends/{backend}/{'maint' if banned else 'ready'}", "POST")
            ).status == 200:
                acknowledged[backend] = banned
            elif previous is not None:
                acknowledged[backend] = previous


async def test_sigkill_at_any_time_loses_no_acknowledged_request(tmp_path: Path) -> None:
    async with node_files(tmp_path) as files:
        generator = random.Random(7)
        acknowledged = dict[str, bool]()
        for _ in range(6):
            async with files.run_process() as rig:
                requests = asyncio.create_task(send_random_requests(rig, generator, acknowledged))
                target = generator.randint(1, 60)  # The process is killed after 1 to 60 new records.
                await wait_until_async(partial(files.has_records, files.last_record_number() + target), 0.001)
                rig.process.kill()
                await requests
            state = files.read_state()
            for backend, banned in acknowledged.items():
                assert (backend in state.banned) == banned, (backend, banned)


async def test_process_paused_during_a_handover_cannot_overwrite_its_successor(tmp_path: Path) -> None:
    async def send_list(discovery: FakeDiscovery) -> None:
        await discovery.watch_targets.get()
        discovery.send_update(42)

    async with node_files(tmp_path) as files, files.run_process() as predecessor:
        await files.discovery.watch_targets.get()
        assert (await predecessor.call_console("/backends/b0/maint", "POST")).status == 200
        predecessor.process.send_signal(signal.SIGSTOP)
        list_sent = asyncio.create_task(send_list(files.discovery))
        async with files.run_process(fresh_tmp=False) as successor:
            await list_sent
            assert (await successor.stats())["members_unavailable"] == 1
            assert (await successor.call_console("/backends/b1/maint", "POST")).status == 200
            predecessor.process.send_signal(signal.SIGCONT)
            assert (await predecessor.call_console("/backends/b2/maint", "POST")).status == 503
            assert set(files.read_state().banned) == {"b0", "b1"}
            successor.process.kill()
        await predecessor.wait_for_log("is banned")

        async def can_ban() -> bool:
            return (await predecessor.call_console("/backends/b3/maint", "POST")).status == 200

        await wait_until_async(can_ban)  # After the successor's end the predecessor writes the state again.
        assert {"b0", "b1", "b3"} <= set(files.read_state().banned)


def test_subsystems_are_not_imported_unless_the_fleet_file_names_them() -> None:
    subsystems = ("durable", "membership", "recovery", "lab", "sim", "cli")
    code = f"import sys, balancer.net.fleet; print([m for m in sys.modules if m.split('.')[1:2] and " \
           f"m.split('.')[1] in {subsystems}], 'google_crc32c' in sys.modules)"  # fmt: skip
    completed = subprocess.run([sys.executable, "-B", "-c", code], cwd=ROOT, capture_output=True, text=True,
                          check=True)  # fmt: skip
    assert completed.stdout.strip() == "[] False"


def learned_state() -> tuple[api.LearnedState, float]:
    """Return the learned state of a node with a high limit and an ejected backend, and its time."""
    source = node(replace(BASE, load_report_mode=api.LoadReportMode.NONE), ["x", "y"])
    source.limit.limit = 20.0
    source.classes.by_name["read"].expected_ms = 37.0
    source.index.records["x"].slowness = 2.0
    source.index.records["x"].min_response_ms = 5.0
    source.ejection.eject(source.index.records["y"], source.now)
    return source.learned_state(1000.0), 1000.0


@pytest.mark.parametrize(("age", "limit"), [(0.0, 20.0), (10_000.0, 12.0), (1e6, 4.0)])
def test_learned_state_decays_to_the_cold_defaults(age: float, limit: float) -> None:
    learned, _ = learned_state()
    successor = node(BASE, ["x", "y"])
    successor.handle(1000.0, api.LearnedStateRestored(learned, age))
    assert successor.limit.limit == pytest.approx(limit)
    cold = SAFE.latency_objective_ms / 4
    assert successor.classes.by_name["read"].expected_ms == pytest.approx(
        cold + (37.0 - cold) * 0.5 ** (age / 10_000.0)
    )
    x = successor.index.records["x"]
    assert 1.0 <= x.slowness <= 2.0 and x.min_response_ms >= 5.0
    assert (successor.index.records["y"].ejected_until > 1000.0) == (age == 0)
    # Attempts in flight end with the process.
    assert [b.estimate for b in successor.index.records.values()] == [0, 0]


def test_restored_state_ignores_a_restarted_backend_and_keeps_a_ban() -> None:
    learned, _ = learned_state()
    successor = node(BASE, ["y"])
    successor.handle(1000.0, api.ListUpdate(api.ListUpdateKind.DELTA, [entry("x", started_at=900.0)]))
    successor.handle(1000.0, api.MaintenanceChanged("y", True))
    successor.handle(1000.0, api.LearnedStateRestored(learned, 0.0))
    x = successor.index.records["x"]
    assert x.slowness == 1.0 and successor.slow_start.warmth(x.entry, successor.now) < 1.0
    assert successor.maintenance.banned == {"y"} and list(successor.index.order) == ["x"]
