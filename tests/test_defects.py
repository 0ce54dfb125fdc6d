"""Unexpected exceptions in callbacks: other callbacks and timers continue, each kind is logged once."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest

from balancer import interface as api
from balancer.defects import DefectLog
from balancer.durable.state import DurableState
from balancer.errors import BalancerError
from balancer.membership.config import Config
from balancer.membership.peer_socket import PeerListChange, PeerSocket
from balancer.membership.shell import MembershipShell
from balancer.net import counts_log, maintenance_file, process_slots
from balancer.net.counts_log import CountsLog
from balancer.net.maintenance_file import MaintenanceFile
from balancer.net.node import Node
from balancer.net.process_slots import ProcessSlots
from balancer.recovery.ban_requests import BanRequests
from balancer.recovery.config import RecoveryConfig
from balancer.recovery.events import ListReceived, SavedListLoaded
from balancer.recovery.phases import Phase
from balancer.recovery.shell import RecoveryShell
from tests.membership_helpers import received

ADDRESSES = [("127.0.0.1", port) for port in range(1, 7)]
WAIT_S = 10.0


class InjectedError(Exception):
    """The exception that tests inject as a defect."""


def raises(*args: object) -> Any:
    """Raise the injected defect, whatever the arguments are."""
    raise InjectedError("injected by the test")


async def until(condition: Callable[[], bool]) -> None:
    """Wait until the condition holds, for at most `WAIT_S`."""
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.005)


def defect_lines(caplog: pytest.LogCaptureFixture) -> list[str]:
    """Return the log lines that report the injected defect."""
    return [
        r.getMessage()
        for r in caplog.records
        if "DEF01" in r.getMessage() and "InjectedError" in r.getMessage()
    ]


@pytest.fixture
def sent() -> list[int | None]:
    """Return the list that collects the target node of each sent datagram; None is a broadcast."""
    return []


@pytest.fixture
async def membership(sent: list[int | None], monkeypatch: pytest.MonkeyPatch) -> Any:
    """Yield the running membership of node 0 in a tier of six nodes."""
    port = PeerSocket(ADDRESSES[0], ADDRESSES, ("127.0.0.1", 9))
    monkeypatch.setattr(port, "send", lambda node, data: sent.append(node))
    shell = MembershipShell(Config.with_probe_interval(40.0), 0, port, 1)
    shell.start()
    yield shell
    shell.close()


async def test_membership_continues_after_a_timer_callback_raises(
    membership: MembershipShell, sent: list[int | None], caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against probes that stop after a timer callback has raised.

    No timer was set again, and the datagrams of other callbacks that were due were lost.
    """
    assert membership.core is not None
    node = membership.core.node
    ran: list[str] = []
    node.timers.call_later(20.0, raises)
    node.timers.call_later(20.0, lambda: ran.append("concurrent"))
    node.timers.call_later(60.0, raises)
    node.timers.call_later(80.0, lambda: ran.append("later"))
    before = len(sent)
    await until(lambda: ran == ["concurrent", "later"])
    await until(lambda: len(sent) > before + 3)
    assert membership.stats()["counts"]["defects"] == 2  # type: ignore[index]
    assert len(defect_lines(caplog)) == 1


async def test_membership_performs_the_remaining_actions_if_one_raises(
    membership: MembershipShell, sent: list[int | None], caplog: pytest.LogCaptureFixture
) -> None:
    membership.on_view_changed = raises
    handle = membership._receive
    membership.core.handle(0.0, received(1, generation=60))  # type: ignore[union-attr]
    sent.clear()
    handle(2, received(2, generation=60).data)
    await until(lambda: len(sent) > 3)
    assert len(defect_lines(caplog)) == 1


async def test_a_view_change_is_reported_even_if_its_event_raises(
    membership: MembershipShell, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a view change that recovery never learns of, as the exception discarded the action."""
    views: list[int] = []
    membership.on_view_changed = lambda generations, has_quorum: views.append(len(generations))
    core = membership.core
    assert core is not None
    with monkeypatch.context() as patch:
        patch.setattr(core, "_dispatch", raises)
        membership._receive(1, received(1, generation=60).data)
    await until(lambda: views == [2])


class Host:
    """Stand-in for the node that recovery calls; selected calls raise."""

    def __init__(self) -> None:
        self.polled = 0
        self.failing: set[str] = set()

    def now(self) -> float:
        """Return the event loop's time in ms."""
        return asyncio.get_running_loop().time() * 1000

    async def apply_ban(self, backend: str, banned: bool, since: float) -> None:
        """Accept a ban without any effect."""

    def set_admission(self, phase: Phase, capacity: object) -> None:
        """Accept the admission limit, or raise if `failing` contains 'admission'."""
        if "admission" in self.failing:
            raise InjectedError

    def allow_polling(self) -> None:
        """Count the permission to poll discovery."""
        self.polled += 1

    def restrict_saved_list(self, ids: frozenset[str]) -> None:
        """Accept a restriction of the saved list, or raise if `failing` contains 'list'."""
        if "list" in self.failing:
            raise InjectedError


@pytest.mark.parametrize("failing", ["admission", "list"])
async def test_recovery_continues_if_a_call_of_the_node_raises(
    failing: str, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a recovery that stays in its phase because its timer was not set again."""
    host = Host()
    host.failing = {failing}
    config = RecoveryConfig(
        ramp_time_ms=60.0, survey_interval_ms=20.0, max_survey_ms=100.0, isolation_timeout_ms=50.0
    )
    port = PeerSocket(ADDRESSES[0], ADDRESSES[:3], ("127.0.0.1", 9))
    shell = RecoveryShell(config, 0, 1, 1, port, cast(Any, host), None)
    shell.handle(SavedListLoaded(("a", "b")))
    shell.start(DurableState())
    await until(lambda: shell.core.phase >= Phase.LISTED and host.polled > 0)
    shell.handle(ListReceived(3, (0.0,), ("a",)))
    await until(lambda: shell.core.phase is Phase.FULL)
    assert not shell.has_failed and shell.serving.is_set()
    if failing == "admission":
        assert len(defect_lines(caplog)) == 1
        assert shell.stats()["counts"]["defects"] >= 1  # type: ignore[index]
    shell.close()


async def test_a_ban_change_that_raises_fails_its_request_and_no_later_one() -> None:
    """Guards against an end of the task that applies bans, after which no ban took effect."""
    applied: list[str] = []

    async def apply(backend: str, banned: bool, since: float) -> None:
        if backend == "a":
            raise InjectedError
        applied.append(backend)

    from balancer.recovery import actions, events

    def handle(event: object, request: Any) -> None:
        if isinstance(event, events.BanRequested):
            requests.apply(actions.ApplyBan(event.backend, True, 0.0), requests._pending[event.token])

    defects = DefectLog(logging.getLogger("bans"), "bans")
    requests = BanRequests(None, apply, handle, lambda backend: True, defects)
    first = requests.start("a", True, 0.0)
    with pytest.raises(BalancerError):
        await asyncio.wait_for(requests.result(first), WAIT_S)
    second = requests.start("b", True, 0.0)
    assert await asyncio.wait_for(requests.result(second), WAIT_S)
    await asyncio.wait_for(requests.applied(), WAIT_S)
    assert applied == ["b"]
    requests.close()


async def test_the_counts_line_is_still_logged_if_the_fleet_raises(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a counts timer that stops, and with it the counts line, demand and learned state."""
    monkeypatch.setattr(counts_log, "STATE_SAVE_INTERVAL_S", 0.01)
    saved_at: list[float] = []

    def save_learned(export: object, now: float) -> None:
        saved_at.append(now)
        raise InjectedError

    node: Any = SimpleNamespace(
        loop=asyncio.get_running_loop(),
        fleet=SimpleNamespace(save_learned=save_learned),
        balancer=SimpleNamespace(learned_state=None),
        now=lambda: 0.0,
        counts={},
    )
    CountsLog(node).start()
    await until(lambda: len(saved_at) > 3)
    assert len(defect_lines(caplog)) == 1
    node.loop = SimpleNamespace(time=node.loop.time, call_at=lambda *args: None)


async def test_process_slots_are_still_refreshed_if_a_listener_raises(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against an upgrade in which a process does not notice that the other process has ended."""
    monkeypatch.setattr(process_slots, "REFRESH_INTERVAL_S", 0.01)
    slots = ProcessSlots(tmp_path / "node", lambda has_peer: None)
    refreshes: list[int] = []

    def refresh() -> None:
        refreshes.append(1)
        raise InjectedError

    slots.on_refresh = refresh
    slots.acquire()
    await until(lambda: len(refreshes) > 3)
    assert len(defect_lines(caplog)) == 1
    slots.stop()
    slots.release()


async def test_the_maintenance_file_is_still_read_if_a_change_raises(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a second process in an upgrade that follows no further bans."""
    monkeypatch.setattr(maintenance_file, "REFRESH_INTERVAL_S", 0.01)
    changes: list[str] = []

    def change(backend: str, is_out: bool, since: float) -> None:
        changes.append(backend)
        if backend == "a":
            raise InjectedError

    reader = MaintenanceFile(tmp_path / "node", change)
    writer = MaintenanceFile(tmp_path / "node", lambda *args: None)
    reader.start(has_peer=False)
    await writer.set_ban("a", True, 1.0, 1000.0)
    await until(lambda: "a" in changes)
    await writer.set_ban("b", True, 1.0, 1000.0)
    await until(lambda: "b" in changes)
    assert len(defect_lines(caplog)) == 1
    reader.stop()


def test_a_node_executes_the_remaining_actions_if_one_raises(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a failing action that discards the actions for other requests, such as timers."""
    done: list[object] = []

    def execute(action: object) -> None:
        if action == "bad":
            raise InjectedError
        done.append(action)

    abandoned: list[str] = []
    node = object.__new__(Node)
    _replace_components(node, ["first", "bad", "last"], execute, abandoned.append)
    with caplog.at_level(logging.ERROR):
        node._dispatch(api.RequestArrived("r1", "read", 1.0))
    assert done == ["first", "last"] and abandoned == ["r1"]


def _replace_components(
    node: Node, actions: list[str], execute: Callable[[object], None], abandon: Callable[[str], None]
) -> None:
    components: dict[str, Any] = {
        "balancer": SimpleNamespace(handle=lambda now, event: actions),
        "_clock_offset": 0.0,
        "_execute": execute,
        "requests": SimpleNamespace(abandon=abandon),
    }
    for name, component in components.items():
        setattr(node, name, component)


async def test_recovery_is_notified_of_a_peer_list_change_if_membership_raises(
    membership: MembershipShell, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert membership.core is not None
    with monkeypatch.context() as patch:
        patch.setattr(membership.core, "_change_peers", raises)
        membership.change_peers(PeerListChange(5, frozenset()))
