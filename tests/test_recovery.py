"""Nodes that are killed, stopped and restarted on one directory of durable state."""

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
class Home:
    """A node's files: settings, durable directory, and a `$TMPDIR` for each process."""

    folder: Path
    discovery: FakeDiscovery
    starts: int = 0

    @property
    def state(self) -> Path:
        """Return the durable directory."""
        return self.folder / "state"

    def kept(self) -> DurableState:
        """Return what is in it now."""
        loaded = read_directory(SystemDirectory(self.state))
        return replay(loaded.snapshot, loaded.records)

    def kept_number(self) -> int:
        """Return how many records are in it."""
        with contextlib.suppress(OSError):  # a generation may go while it is read
            return read_directory(SystemDirectory(self.state)).last_number
        return 0

    async def has_kept(self, number: int) -> bool:
        """Return whether so many records are in it."""
        return self.kept_number() >= number

    @contextlib.asynccontextmanager
    async def up(self, fresh_tmp: bool = True) -> AsyncIterator[Rig]:
        """Run a process of the node; `$TMPDIR` is empty unless `fresh_tmp` is false."""
        self.starts += fresh_tmp
        tmp = self.folder / f"tmp-{self.starts}"
        tmp.mkdir(exist_ok=True)
        env = {"TMPDIR": str(tmp), "PROXY_FLEET": str(self.folder / "fleet.toml")}
        async with started_node(self.folder / "config.json", self.discovery, **env) as rig:
            yield rig


@contextlib.asynccontextmanager
async def new_home(folder: Path) -> AsyncIterator[Home]:
    """Provide backends, discovery and the files of one node."""
    discovery = FakeDiscovery()
    backends = [Backend(name) for name in BACKENDS]
    await discovery.start()
    for backend in backends:
        await backend.start()
    members = [b.list_entry() for b in backends]
    (folder / "config.json").write_text(json.dumps(node_config(members, discovery.port, console=CONSOLE)))
    (folder / "fleet.toml").write_text(f"[durable]\ndirectory = {json.dumps(str(folder / 'state'))}\n")
    try:
        yield Home(folder, discovery)
    finally:
        assert discovery.server is not None
        discovery.server.close()
        for backend in backends:
            backend.stop()


async def test_a_ban_outlasts_kill_nine_and_a_lost_tmpdir(tmp_path: Path) -> None:
    async with new_home(tmp_path) as home:
        async with home.up() as rig:
            assert (await rig.call_console("/backends/b1/maint", "POST")).status == 200
            assert (await rig.call_console("/backends/b2/maint", "POST")).status == 200
            assert (await rig.call_console("/backends/b2/ready", "POST")).status == 200
            rig.process.kill()
        async with home.up() as rig:
            assert (await rig.stats())["members_unavailable"] == 1
            client = await rig.connect()
            served = {(await client.request("/read")).body.split()[0] for _ in range(40)}
            assert b"b1" not in served and len(served) >= 2
            assert (await rig.call_console("/backends/b1/ready", "POST")).status == 200
            rig.process.kill()
        async with home.up() as rig:
            assert (await rig.stats())["members_unavailable"] == 0


async def operate(rig: Rig, dice: random.Random, acknowledged: dict[str, bool]) -> None:
    """Request bans and lifts until the node is dead; `acknowledged` has what succeeded."""
    with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
        while True:
            name = dice.choice(BACKENDS)
            out = dice.random() < 0.5
            before = acknowledged.pop(name, None)  # until the answer nobody knows
            if (
                await rig.call_console(f"/backends/{name}/{'maint' if out else 'ready'}", "POST")
            ).status == 200:
                acknowledged[name] = out
            elif before is not None:
                acknowledged[name] = before


async def test_kill_nine_at_any_moment_loses_no_acknowledged_ban(tmp_path: Path) -> None:
    async with new_home(tmp_path) as home:
        dice = random.Random(7)
        acknowledged = dict[str, bool]()
        for _ in range(6):
            async with home.up() as rig:
                calls = asyncio.create_task(operate(rig, dice, acknowledged))
                target = dice.randint(1, 60)  # so many records, then the power of the process is cut
                await wait_until_async(partial(home.has_kept, home.kept_number() + target), 0.001)
                rig.process.kill()
                await calls
            kept = home.kept()
            for name, out in acknowledged.items():
                assert (name in kept.banned) == out, (name, out)


async def test_a_process_that_sleeps_through_the_handover_cannot_undo_it(tmp_path: Path) -> None:
    async def news(discovery: FakeDiscovery) -> None:
        await discovery.watch_targets.get()
        discovery.send_update(42)

    async with new_home(tmp_path) as home, home.up() as old:
        await home.discovery.watch_targets.get()
        assert (await old.call_console("/backends/b0/maint", "POST")).status == 200
        old.process.send_signal(signal.SIGSTOP)
        told = asyncio.create_task(news(home.discovery))
        async with home.up(fresh_tmp=False) as new:
            await told
            assert (await new.stats())["members_unavailable"] == 1
            assert (await new.call_console("/backends/b1/maint", "POST")).status == 200
            old.process.send_signal(signal.SIGCONT)
            assert (await old.call_console("/backends/b2/maint", "POST")).status == 503
            assert set(home.kept().banned) == {"b0", "b1"}
            new.process.kill()
        await old.wait_for_log("is out")

        async def taken_out() -> bool:
            return (await old.call_console("/backends/b3/maint", "POST")).status == 200

        await wait_until_async(taken_out)  # the successor is gone: the old one keeps the state again
        assert {"b0", "b1", "b3"} <= set(home.kept().banned)


def test_no_subsystem_is_imported_that_the_fleet_file_does_not_name() -> None:
    subsystems = ("durable", "membership", "recovery", "lab", "sim", "cli")
    code = f"import sys, balancer.net.fleet; print([m for m in sys.modules if m.split('.')[1:2] and " \
           f"m.split('.')[1] in {subsystems}], 'google_crc32c' in sys.modules)"  # fmt: skip
    done = subprocess.run([sys.executable, "-B", "-c", code], cwd=ROOT, capture_output=True, text=True,
                          check=True)  # fmt: skip
    assert done.stdout.strip() == "[] False"


# --- learned state


def learned_state() -> tuple[api.LearnedState, float]:
    """Return what a node has learned with a wide limit and an ejected backend, and the time then."""
    one = node(replace(BASE, load_report_mode=api.LoadReportMode.NONE), ["x", "y"])
    one.limit.limit = 20.0
    one.classes.by_name["read"].expected_ms = 37.0
    one.index.records["x"].slowness = 2.0
    one.index.records["x"].min_response_ms = 5.0
    one.ejection.eject(one.index.records["y"], one.now)
    return one.learned_state(1000.0), 1000.0


@pytest.mark.parametrize(("age", "limit"), [(0.0, 20.0), (10_000.0, 12.0), (1e6, 4.0)])
def test_what_was_learned_fades_to_the_cold_defaults(age: float, limit: float) -> None:
    learned, _ = learned_state()
    heir = node(BASE, ["x", "y"])
    heir.handle(1000.0, api.LearnedStateRestored(learned, age))
    assert heir.limit.limit == pytest.approx(limit)
    cold = SAFE.latency_objective_ms / 4
    assert heir.classes.by_name["read"].expected_ms == pytest.approx(
        cold + (37.0 - cold) * 0.5 ** (age / 10_000.0)
    )
    x = heir.index.records["x"]
    assert 1.0 <= x.slowness <= 2.0 and x.min_response_ms >= 5.0
    assert (heir.index.records["y"].ejected_until > 1000.0) == (age == 0)
    assert [b.estimate for b in heir.index.records.values()] == [0, 0]  # the sends are gone with the process


def test_a_backend_started_since_is_a_new_one_and_a_ban_holds() -> None:
    learned, _ = learned_state()
    heir = node(BASE, ["y"])
    heir.handle(1000.0, api.ListUpdate(api.ListUpdateKind.DELTA, [entry("x", started_at=900.0)]))
    heir.handle(1000.0, api.MaintenanceChanged("y", True))
    heir.handle(1000.0, api.LearnedStateRestored(learned, 0.0))
    x = heir.index.records["x"]
    assert x.slowness == 1.0 and heir.slow_start.warmth(x.entry, heir.now) < 1.0
    assert heir.maintenance.banned == {"y"} and list(heir.index.order) == ["x"]
