"""Backends that the operators take out and put back: in the module, in the shared file, over sockets."""

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

OUT, BACK = api.MaintenanceChanged("b0", True), api.MaintenanceChanged("b0", False, 5000.0)


def sent_to(balancer: Balancer, now: float, count: int = 60) -> set[str]:
    """Where this many requests go, each over before the next comes."""
    out = set()
    for i in range(count):
        name = f"{now}-{i}"
        for send in sends(balancer.handle(now, api.RequestArrived(name, "read", now + 900.0))):
            out.add(send.backend)
            balancer.handle(now, api.AttemptEnded(name, 0, send.backend, AttemptStatus.OK, 20.0, True))
    return out


def test_a_ban_holds_whatever_the_list_says() -> None:
    balancer = node(BASE, ["b0", "b1"])
    balancer.handle(1001.0, OUT)
    assert sent_to(balancer, 1002.0) == {"b1"}
    for kind in (api.ListUpdateKind.DELTA, api.ListUpdateKind.SNAPSHOT):
        balancer.handle(1003.0, api.ListUpdate(kind, [entry("b0", started_at=1003.0), entry("b1")]))
        assert sent_to(balancer, 1004.0) == {"b1"}
    assert balancer.count_unavailable(1004.0) == 1
    balancer.handle(1005.0, OUT)  # once more is harmless
    balancer.handle(5000.0, BACK)
    assert sent_to(balancer, 60_000.0) == {"b0", "b1"}


def test_a_ban_by_id_comes_before_the_list_that_names_it() -> None:
    balancer = node(BASE, ["b1"])
    balancer.handle(1001.0, OUT)
    balancer.handle(1002.0, api.ListUpdate(api.ListUpdateKind.DELTA, [entry("b0")]))
    assert sent_to(balancer, 1003.0) == {"b1"}


def test_a_backend_that_is_put_back_is_cold_and_its_ejections_are_forgotten() -> None:
    balancer = node(BASE, ["b0", "b1"])
    b = balancer.index.records["b0"]
    b.ejected_until, b.busy_until, b.consecutive_failures = 90_000.0, 90_000.0, 5
    assert balancer.slow_start.warmth(b.entry, balancer.now) == 1.0
    balancer.handle(4000.0, OUT)
    balancer.handle(5000.0, BACK)
    assert balancer.slow_start.warmth(b.entry, balancer.now) == BASE.cold_capacity_fraction
    assert (b.ejected_until, b.busy_until, b.consecutive_failures) == (0.0, 0.0, 0)
    balancer.handle(5000.0 + BASE.slow_start_ms, api.TimerFired(0))
    assert balancer.slow_start.warmth(b.entry, balancer.now) == 1.0


def test_a_node_that_fed_a_backend_feeds_it_again() -> None:
    names = [f"b{i}" for i in range(200)]
    settings = replace(BASE, node_count=200, load_report_mode=api.LoadReportMode.NONE)
    for seed in range(20):
        balancer = node(settings, names, seed)
        subset = balancer.index.order.window(0, balancer.subsetting.subset_size)
        balancer.handle(1001.0, api.MaintenanceChanged(subset[1], True))
        assert subset[1] not in balancer.index.order
        balancer.handle(2000.0, api.MaintenanceChanged(subset[1], False, 2000.0))
        assert balancer.index.order.window(0, balancer.subsetting.subset_size) == subset


async def test_what_waits_for_a_connection_is_moot_once_its_backend_is_out() -> None:
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


async def test_both_processes_follow_the_file(tmp_path: Path) -> None:
    told: list[tuple[str, bool, float]] = []
    where = shared_path({"TMPDIR": str(tmp_path)}, "127.0.0.1:1")
    one = MaintenanceFile(where, lambda *_: None)
    two = MaintenanceFile(where, lambda *change: told.append(change))
    one.start(False)
    await one.set_ban("a/../b", True, 1000.0, 500.0)
    await one.set_ban("c", True, 1100.0, 500.0)
    two.start(True)
    assert told == [("a/../b", True, 0.0), ("c", True, 0.0)]
    await two.set_ban("c", False, 1200.0, 500.0)
    assert told[2:] == [("c", False, 1200.0)]
    one.refresh()
    assert one.record == MaintenanceRecord(frozenset({"a/../b"}), {"c": 1200.0})
    await one.set_ban("a/../b", False, 1800.0, 500.0)
    assert one.record == MaintenanceRecord(frozenset(), {"a/../b": 1800.0})  # c has been warm for long
    assert sorted(p.suffix for p in tmp_path.iterdir()) == [".bans", ".lock"]
    one.stop()
    two.stop()


SPOILT = ["", '{"out": ["a"', "[]", '{"out": [1], "back": {}}', '{"out": [], "back": {"a": "x"}}']


@pytest.mark.parametrize("text", SPOILT)
async def test_a_spoilt_file_costs_one_warning_and_changes_nothing(
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


async def test_a_call_that_cannot_be_written_or_locked_changes_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    told: list[tuple[str, bool, float]] = []
    nowhere = MaintenanceFile(
        shared_path({"TMPDIR": str(tmp_path / "none")}, "x"), lambda *change: told.append(change)
    )
    nowhere.start(False)
    with pytest.raises(MaintenanceError):
        await nowhere.set_ban("a", True, 1000.0, 500.0)
    monkeypatch.setattr(maintenance_file, "LOCK_TIMEOUT_S", 0.0)
    locked = MaintenanceFile(shared_path({"TMPDIR": str(tmp_path)}, "x"), lambda *change: told.append(change))
    locked.start(False)
    fd = os.open(locked.lock_path, os.O_RDWR | os.O_CREAT)
    fcntl.flock(fd, fcntl.LOCK_EX)
    with pytest.raises(MaintenanceError):
        await locked.set_ban("a", True, 1000.0, 500.0)
    os.close(fd)
    assert told == [] and not locked.is_known("a")
    nowhere.stop()
    locked.stop()


async def test_operators_take_a_backend_out_and_put_it_back(tmp_path: Path) -> None:
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


async def test_a_call_that_cannot_be_kept_gets_a_no(tmp_path: Path) -> None:
    async with running_node(tmp_path, Backend("b0"), console=CONSOLE) as rig:
        next(tmp_path.glob("*.bans")).with_suffix(".lock").mkdir()  # root may write anywhere else
        assert (await rig.call_console("/backends/b0/maint", "POST")).status == 503
        assert (await rig.stats())["members_unavailable"] == 0


def test_a_backend_that_is_put_back_gets_one_request_at_once() -> None:
    """Guards against a far and cold one that the draw passes over for seconds."""
    far = replace(BASE, charges=api.Charges(cross_zone=0.5), load_report_mode=api.LoadReportMode.NONE)
    balancer = node(far, ["b1", "b2"])
    balancer.handle(1000.0, api.ListUpdate(api.ListUpdateKind.DELTA, [entry("b0", zone="z")]))
    assert sent_to(balancer, 1001.0) == {"b1", "b2"}
    balancer.handle(1002.0, OUT)
    assert sent_to(balancer, 1003.0) == {"b1", "b2"}
    balancer.handle(5000.0, BACK)
    gone = entry("b0", zone="z", phase=api.EndpointPhase.REMOVED)
    balancer.handle(5001.0, api.ListUpdate(api.ListUpdateKind.DELTA, [gone]))
    assert sent_to(balancer, 5002.0) == {"b1", "b2"}  # not while the list lacks it
    balancer.handle(5003.0, api.ListUpdate(api.ListUpdateKind.DELTA, [entry("b0", zone="z")]))
    assert sent_to(balancer, 5004.0, 1) == {"b0"}
    assert sent_to(balancer, 5005.0) == {"b1", "b2"}


@pytest.mark.parametrize("is_out", [True, False])
async def test_a_call_does_not_undo_what_the_tier_has_changed_right_after_it(
    tmp_path: Path, is_out: bool
) -> None:
    """Guards a ban by another node: a lift that was recorded before it was applied once more behind it."""
    changes: list[bool] = []
    file = MaintenanceFile(tmp_path / "node", lambda backend, is_out, since: changes.append(is_out))
    file.start(has_peer=False)
    await file.set_ban("a", not is_out, 1.0, 1000.0)

    async def record_maintenance(backend: str, is_out: bool, at: float, is_change: bool) -> None:
        await file.apply_fleet_change(
            backend, is_out, 2.0, 1000.0
        )  # the call's own entry, as the register has it
        await file.apply_fleet_change(backend, not is_out, 3.0, 1000.0)  # a peer's entry that came behind it

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
