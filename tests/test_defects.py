"""A callback that raises by a defect: others run, chains of timers go on, it is counted and logged once."""

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


class Planted(Exception):
    """The defect."""


def raises(*args: object) -> Any:
    """Fail, whatever is asked."""
    raise Planted("by the test")


async def until(condition: Callable[[], bool]) -> None:
    """Return once the condition holds."""
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.005)


def defect_lines(caplog: pytest.LogCaptureFixture) -> list[str]:
    """Return the log lines of the defect that was planted."""
    return [
        r.getMessage() for r in caplog.records if "DEF01" in r.getMessage() and "Planted" in r.getMessage()
    ]


@pytest.fixture
def sent() -> list[int | None]:
    """To whom datagrams went."""
    return []


@pytest.fixture
async def membership(sent: list[int | None], monkeypatch: pytest.MonkeyPatch) -> Any:
    """The membership of node 0 of six, which has started."""
    port = PeerSocket(ADDRESSES[0], ADDRESSES, ("127.0.0.1", 9))
    monkeypatch.setattr(port, "send", lambda node, data: sent.append(node))
    shell = MembershipShell(Config.with_probe_interval(40.0), 0, port, 1)
    shell.start()
    yield shell
    shell.close()


async def test_membership_goes_on_after_a_timer_that_raises(
    membership: MembershipShell, sent: list[int | None], caplog: pytest.LogCaptureFixture
) -> None:
    """Guards the probes of a node: a timer that raised left none set, and lost what others had to send."""
    assert membership.core is not None
    node = membership.core.node
    ran: list[str] = []
    node.timers.call_later(20.0, raises)
    node.timers.call_later(20.0, lambda: ran.append("beside"))
    node.timers.call_later(60.0, raises)
    node.timers.call_later(80.0, lambda: ran.append("later"))
    before = len(sent)
    await until(lambda: ran == ["beside", "later"])
    await until(lambda: len(sent) > before + 3)
    assert membership.stats()["counts"]["defects"] == 2  # type: ignore[index]
    assert len(defect_lines(caplog)) == 1


async def test_membership_performs_the_other_actions_where_one_raises(
    membership: MembershipShell, sent: list[int | None], caplog: pytest.LogCaptureFixture
) -> None:
    membership.on_view_changed = raises
    handle = membership._receive
    membership.core.handle(0.0, received(1, generation=60))  # type: ignore[union-attr]
    sent.clear()
    handle(2, received(2, generation=60).data)
    await until(lambda: len(sent) > 3)
    assert len(defect_lines(caplog)) == 1


async def test_a_change_of_the_view_is_told_though_its_event_raised(
    membership: MembershipShell, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards recovery's view of who is present: the action went with the exception."""
    views: list[int] = []
    membership.on_view_changed = lambda generations, has_quorum: views.append(len(generations))
    core = membership.core
    assert core is not None
    with monkeypatch.context() as planted:
        planted.setattr(core, "_dispatch", raises)
        membership._receive(1, received(1, generation=60).data)
    await until(lambda: views == [2])


class Host:
    """A node around recovery whose calls may raise."""

    def __init__(self) -> None:
        self.polled = 0
        self.failing: set[str] = set()

    def now(self) -> float:
        """The clock."""
        return asyncio.get_running_loop().time() * 1000

    async def apply_ban(self, backend: str, banned: bool, since: float) -> None:
        """A ban."""

    def set_admission(self, phase: Phase, capacity: object) -> None:
        """The admission."""
        if "admission" in self.failing:
            raise Planted

    def allow_polling(self) -> None:
        """A poll."""
        self.polled += 1

    def restrict_saved_list(self, ids: frozenset[str]) -> None:
        """A restriction."""
        if "list" in self.failing:
            raise Planted


@pytest.mark.parametrize("failing", ["admission", "list"])
async def test_recovery_goes_on_where_the_node_raises(failing: str, caplog: pytest.LogCaptureFixture) -> None:
    """Guards the phases of a return: without its timer a node stays in the phase in which it is."""
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


async def test_a_change_that_raises_fails_its_request_and_no_later_one() -> None:
    """Guards bans: the task that applies them ended, and none was in force any more."""
    applied: list[str] = []

    async def apply(backend: str, banned: bool, since: float) -> None:
        if backend == "a":
            raise Planted
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


async def test_the_counts_line_goes_on_where_the_fleet_raises(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards the line and what hangs on its pulse: demand and learned state."""
    monkeypatch.setattr(counts_log, "LAG_SAMPLE_INTERVAL_S", 0.01)
    pulses: list[float] = []

    def save_learned(export: object, now: float) -> None:
        pulses.append(now)
        raise Planted

    node: Any = SimpleNamespace(
        loop=asyncio.get_running_loop(),
        fleet=SimpleNamespace(save_learned=save_learned),
        balancer=SimpleNamespace(learned_state=None),
        now=lambda: 0.0,
        counts={},
    )
    CountsLog(node).start()
    await until(lambda: len(pulses) > 3)
    assert len(defect_lines(caplog)) == 1
    node.loop = SimpleNamespace(time=node.loop.time, call_at=lambda *args: None)


async def test_slots_are_looked_at_again_where_a_listener_raises(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards an upgrade: a process that no longer looks does not see that the other has ended."""
    monkeypatch.setattr(process_slots, "REFRESH_INTERVAL_S", 0.01)
    slots = ProcessSlots(tmp_path / "node", lambda has_peer: None)
    looks: list[int] = []

    def look() -> None:
        looks.append(1)
        raise Planted

    slots.on_refresh = look
    slots.acquire()
    await until(lambda: len(looks) > 3)
    assert len(defect_lines(caplog)) == 1
    slots.stop()
    slots.release()


async def test_the_file_of_bans_is_read_again_where_a_change_raises(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards the second process of an upgrade: it would follow no ban any more."""
    monkeypatch.setattr(maintenance_file, "REFRESH_INTERVAL_S", 0.01)
    changes: list[str] = []

    def change(backend: str, is_out: bool, since: float) -> None:
        changes.append(backend)
        if backend == "a":
            raise Planted

    reader = MaintenanceFile(tmp_path / "node", change)
    writer = MaintenanceFile(tmp_path / "node", lambda *args: None)
    reader.start(has_peer=False)
    await writer.set_ban("a", True, 1.0, 1000.0)
    await until(lambda: "a" in changes)
    await writer.set_ban("b", True, 1.0, 1000.0)
    await until(lambda: "b" in changes)
    assert len(defect_lines(caplog)) == 1
    reader.stop()


def test_a_node_carries_out_the_other_actions_where_one_raises(caplog: pytest.LogCaptureFixture) -> None:
    """Guards requests beside a defect: the timer of a class, the refusal of another request."""
    done: list[object] = []

    def execute(action: object) -> None:
        if action == "bad":
            raise Planted
        done.append(action)

    abandoned: list[str] = []
    node = object.__new__(Node)
    _plant(node, ["first", "bad", "last"], execute, abandoned.append)
    with caplog.at_level(logging.ERROR):
        node._handle(api.RequestArrived("r1", "read", 1.0))
    assert done == ["first", "last"] and abandoned == ["r1"]


def _plant(
    node: Node, actions: list[str], execute: Callable[[object], None], abandon: Callable[[str], None]
) -> None:
    parts: dict[str, Any] = {
        "balancer": SimpleNamespace(handle=lambda now, event: actions),
        "_clock_offset": 0.0,
        "_execute": execute,
        "requests": SimpleNamespace(abandon=abandon),
    }
    for name, part in parts.items():
        setattr(node, name, part)


async def test_recovery_hears_of_a_peer_list_though_membership_raises(
    membership: MembershipShell, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert membership.core is not None
    with monkeypatch.context() as planted:
        planted.setattr(membership.core, "_change_peers", raises)
        membership.change_peers(PeerListChange(5, frozenset()))
