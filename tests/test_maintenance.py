"""Tests of maintenance bans: in the policy, in the file shared by a node's processes, and over sockets."""

from __future__ import annotations

import fcntl
import json
import os
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace
from typing import cast

import pytest

from balancer import interface as api
from balancer.interface import AttemptStatus, Settings
from balancer.net import maintenance_file
from balancer.net.connection_pool import ConnectionPool
from balancer.net.maintenance_file import MaintenanceError, MaintenanceFile, MaintenanceRecord
from balancer.net.node import Node
from balancer.net.shared_files import shared_path
from balancer.net.statistics import RequestStatistics
from balancer.net.stream import StreamMemory
from balancer.policy import Balancer
from tests.helpers import BASE, entry, node, sends
from tests.sockets import Backend, running_node
from tests.test_console import CONSOLE
from tests.test_node import READ_CLASS, _endpoint_update, _start_attempt

BAN, LIFT = api.MaintenanceChanged("b0", True), api.MaintenanceChanged("b0", False, 5000.0)


def backends_of_requests(balancer: Balancer, now: float, count: int = 60) -> set[str]:
    """Send requests in sequence, each to its end, and return the backends that got them."""
    out = set()
    for i in range(count):
        name = f"{now}-{i}"
        for send in sends(balancer.handle(now, api.RequestArrived(name, "read", now + 900.0))):
            out.add(send.backend)
            balancer.handle(now, api.AttemptEnded(name, 0, send.backend, AttemptStatus.OK, 20.0, True))
    return out


def test_a_ban_persists_across_list_updates_until_it_is_lifted() -> None:
    balancer = node(BASE, ["b0", "b1"])
    balancer.handle(1001.0, BAN)
    assert backends_of_requests(balancer, 1002.0) == {"b1"}
    for kind in (api.ListUpdateKind.DELTA, api.ListUpdateKind.SNAPSHOT):
        balancer.handle(1003.0, api.ListUpdate(kind, [entry("b0", started_at=1003.0), entry("b1")]))
        assert backends_of_requests(balancer, 1004.0) == {"b1"}
    assert balancer.count_unavailable(1004.0) == 1
    balancer.handle(1005.0, BAN)  # Repeating a ban has no effect.
    balancer.handle(5000.0, LIFT)
    assert backends_of_requests(balancer, 60_000.0) == {"b0", "b1"}


def test_a_ban_applies_to_a_backend_that_is_listed_later() -> None:
    balancer = node(BASE, ["b1"])
    balancer.handle(1001.0, BAN)
    balancer.handle(1002.0, api.ListUpdate(api.ListUpdateKind.DELTA, [entry("b0")]))
    assert backends_of_requests(balancer, 1003.0) == {"b1"}


def test_a_backend_whose_ban_is_lifted_warms_up_and_is_no_longer_ejected() -> None:
    balancer = node(BASE, ["b0", "b1"])
    b = balancer.index.records["b0"]
    b.ejected_until, b.busy_until, b.consecutive_failures = 90_000.0, 90_000.0, 5
    assert balancer.slow_start.warmth(b.entry, balancer.now) == 1.0
    balancer.handle(4000.0, BAN)
    balancer.handle(5000.0, LIFT)
    assert balancer.slow_start.warmth(b.entry, balancer.now) == BASE.cold_capacity_fraction
    assert (b.ejected_until, b.busy_until, b.consecutive_failures) == (0.0, 0.0, 0)
    balancer.handle(5000.0 + BASE.slow_start_ms, api.TimerFired(0))
    assert balancer.slow_start.warmth(b.entry, balancer.now) == 1.0


def test_a_backend_returns_to_the_subsets_that_it_was_in_before_the_ban() -> None:
    names = [f"b{i}" for i in range(200)]
    settings = replace(BASE, node_count=200, load_report_mode=api.LoadReportMode.NONE)
    for seed in range(20):
        balancer = node(settings, names, seed)
        subset = balancer.index.order.window(0, balancer.subsetting.subset_size)
        balancer.handle(1001.0, api.MaintenanceChanged(subset[1], True))
        assert subset[1] not in balancer.index.order
        balancer.handle(2000.0, api.MaintenanceChanged(subset[1], False, 2000.0))
        assert balancer.index.order.window(0, balancer.subsetting.subset_size) == subset


async def test_an_attempt_that_waits_for_a_connection_is_not_started_once_its_backend_is_banned() -> None:
    backend = Backend("b0")
    await backend.start()
    pool = ConnectionPool(
        Settings(classes=(READ_CLASS,), connection_idle_ms=1000.0),
        10,
        RequestStatistics(),
        StreamMemory(64.0),
    )
    pool.update(_endpoint_update("b0", backend.port), True)
    assert (
        await _start_attempt(pool, b"x", lambda: pool.set_maintenance("b0", True))
    ).status is AttemptStatus.NOT_STARTED
    pool.update(_endpoint_update("b0", backend.port), False)
    assert (
        not pool.endpoints["b0"].accepts_requests and pool.connection_count == 0 and backend.requests.empty()
    )
    pool.update(_endpoint_update("b1", backend.port), True)
    pool.update(_endpoint_update("b0", backend.port), True)
    assert not pool.endpoint("b0").accepts_requests
    backend.stop()


async def test_both_processes_of_a_node_follow_the_shared_file(tmp_path: Path) -> None:
    changes: list[tuple[str, bool, float]] = []
    path = shared_path({"TMPDIR": str(tmp_path)}, "127.0.0.1:1")
    first_process = MaintenanceFile(path, lambda *_: None)
    second_process = MaintenanceFile(path, lambda *change: changes.append(change))
    first_process.start(False)
    await first_process.set_ban("a/../b", True, 1000.0, 500.0)
    await first_process.set_ban("c", True, 1100.0, 500.0)
    second_process.start(True)
    assert changes == [("a/../b", True, 0.0), ("c", True, 0.0)]
    await second_process.set_ban("c", False, 1200.0, 500.0)
    assert changes[2:] == [("c", False, 1200.0)]
    first_process.refresh()
    assert first_process.record == MaintenanceRecord(frozenset({"a/../b"}), {"c": 1200.0})
    await first_process.set_ban("a/../b", False, 1800.0, 500.0)
    # The time of `c` is dropped, as its slow start has ended.
    assert first_process.record == MaintenanceRecord(frozenset(), {"a/../b": 1800.0})
    assert sorted(p.suffix for p in tmp_path.iterdir()) == [".bans", ".lock"]
    first_process.stop()
    second_process.stop()


INVALID = ["", '{"out": ["a"', "[]", '{"out": [1], "back": {}}', '{"out": [], "back": {"a": "x"}}']


@pytest.mark.parametrize("text", INVALID)
async def test_an_invalid_file_causes_one_warning_and_changes_nothing(
    tmp_path: Path, text: str, caplog: pytest.LogCaptureFixture
) -> None:
    bans = MaintenanceFile(shared_path({"TMPDIR": str(tmp_path)}, "x"), lambda *_: None)
    bans.start(False)
    await bans.set_ban("a", True, 1000.0, 500.0)
    bans.path.write_text(text)
    bans.refresh()
    bans.refresh()
    assert len(caplog.records) == 1 and bans.is_known("a")
    await bans.set_ban("b", True, 1000.0, 500.0)
    assert json.loads(bans.path.read_text())["out"] == ["a", "b"]
    bans.path.unlink()
    bans.refresh()
    bans.refresh()
    assert len(caplog.records) == 2 and bans.is_known("a")
    bans.stop()


async def test_a_ban_that_cannot_be_written_or_locked_changes_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    changes: list[tuple[str, bool, float]] = []
    unwritable = MaintenanceFile(
        shared_path({"TMPDIR": str(tmp_path / "none")}, "x"), lambda *change: changes.append(change)
    )
    unwritable.start(False)
    with pytest.raises(MaintenanceError):
        await unwritable.set_ban("a", True, 1000.0, 500.0)
    monkeypatch.setattr(maintenance_file, "LOCK_TIMEOUT_S", 0.0)
    locked = MaintenanceFile(
        shared_path({"TMPDIR": str(tmp_path)}, "x"), lambda *change: changes.append(change)
    )
    locked.start(False)
    fd = os.open(locked.lock_path, os.O_RDWR | os.O_CREAT)
    fcntl.flock(fd, fcntl.LOCK_EX)
    with pytest.raises(MaintenanceError):
        await locked.set_ban("a", True, 1000.0, 500.0)
    os.close(fd)
    assert changes == [] and not locked.is_known("a")
    unwritable.stop()
    locked.stop()


async def test_operators_ban_a_backend_and_lift_the_ban_over_the_console(tmp_path: Path) -> None:
    first, second = Backend("b 0/x"), Backend("b1")
    rules = {"drain-grace": 0, "cold-share": 1.0, "ramp-time": 1}
    async with running_node(tmp_path, first, second, console=CONSOLE, rules=rules) as rig:
        client = await rig.connect()
        while first.requests.empty():
            assert (await client.request("/read")).status == 200
        for _ in range(2):
            assert (await rig.call_console("/backends/b%200%2Fx/maint", "POST")).status == 200
        while not first.requests.empty():
            first.requests.get_nowait()
        await rig.discovery.watch_targets.get()
        rig.discovery.send_update(42, first.list_entry(), second.list_entry())
        for _ in range(20):
            assert (await client.request("/read")).status == 200
        assert first.requests.empty() and (await rig.stats())["members_unavailable"] == 1
        assert (await rig.call_console("/backends/b%200%2Fx/ready", "POST")).status == 200
        while first.requests.empty():
            assert (await client.request("/read")).status == 200
        for path in ("/backends/none/maint", "/backends/none/ready", "/backends/b1", "/backends/b1/kill"):
            assert (await rig.call_console(path, "POST")).status == 404
        assert (await rig.call_console("/backends/b1/maint")).status == 405


async def test_a_console_call_whose_ban_cannot_be_stored_gets_status_503(tmp_path: Path) -> None:
    async with running_node(tmp_path, Backend("b0"), console=CONSOLE) as rig:
        # A directory in place of the lock file fails for root as well, unlike missing permissions.
        next(tmp_path.glob("*.bans")).with_suffix(".lock").mkdir()
        assert (await rig.call_console("/backends/b0/maint", "POST")).status == 503
        assert (await rig.stats())["members_unavailable"] == 0


def test_a_backend_whose_ban_is_lifted_gets_one_request_at_once() -> None:
    """Guards against a remote, warming backend that gets no request for seconds after the lift."""
    settings = replace(BASE, charges=api.Charges(cross_zone=0.5), load_report_mode=api.LoadReportMode.NONE)
    balancer = node(settings, ["b1", "b2"])
    balancer.handle(1000.0, api.ListUpdate(api.ListUpdateKind.DELTA, [entry("b0", zone="z")]))
    assert backends_of_requests(balancer, 1001.0) == {"b1", "b2"}
    balancer.handle(1002.0, BAN)
    assert backends_of_requests(balancer, 1003.0) == {"b1", "b2"}
    balancer.handle(5000.0, LIFT)
    removed = entry("b0", zone="z", phase=api.EndpointPhase.REMOVED)
    balancer.handle(5001.0, api.ListUpdate(api.ListUpdateKind.DELTA, [removed]))
    assert backends_of_requests(balancer, 5002.0) == {"b1", "b2"}  # An unlisted backend gets no requests.
    balancer.handle(5003.0, api.ListUpdate(api.ListUpdateKind.DELTA, [entry("b0", zone="z")]))
    assert backends_of_requests(balancer, 5004.0, 1) == {"b0"}
    assert backends_of_requests(balancer, 5005.0) == {"b1", "b2"}


@pytest.mark.parametrize("is_out", [True, False])
async def test_a_console_call_does_not_undo_a_later_change_by_a_peer(tmp_path: Path, is_out: bool) -> None:
    """Guards against applying a recorded lift a second time, after a peer has banned the backend again."""
    changes: list[bool] = []
    file = MaintenanceFile(tmp_path / "node", lambda backend, is_out, since: changes.append(is_out))
    file.start(has_peer=False)
    await file.set_ban("a", not is_out, 1.0, 1000.0)

    async def record_maintenance(backend: str, is_out: bool, at: float, is_change: bool) -> None:
        # The register applies the entry of the call itself, and then a later entry of a peer.
        await file.apply_fleet_change(backend, is_out, 2.0, 1000.0)
        await file.apply_fleet_change(backend, not is_out, 3.0, 1000.0)

    fleet = SimpleNamespace(
        record_maintenance=record_maintenance, confirms=lambda backend, wanted: wanted is not is_out
    )
    parts = SimpleNamespace(
        balancer=SimpleNamespace(is_listed=lambda backend: True),
        maintenance=file,
        now=lambda: 4.0,
        settings=BASE,
        fleet=fleet,
    )
    assert await Node.set_maintenance(cast(Node, parts), "a", is_out)
    assert ("a" in file.record.banned) is not is_out and changes[-1] is not is_out
    file.stop()
