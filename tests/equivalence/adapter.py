"""Run the jobs of the comparison with the identifiers of this revision; renames must be followed here.

Each function does the same in all revisions. The text and the files that it produces must be equal in all of
them.
"""

from __future__ import annotations

import asyncio
import json
import re
import time
from collections.abc import Iterator
from contextlib import ExitStack
from dataclasses import asdict
from functools import partial
from pathlib import Path
from typing import Any
from unittest import mock

from balancer import interface as api
from balancer import wire
from balancer.durable import records
from balancer.durable.filesystem import SystemDirectory
from balancer.durable.reader import read_directory
from balancer.durable.state import DurableState, replay
from balancer.durable.timestamp import Timestamp
from balancer.durable.writer import LogWriter
from balancer.membership.config import Config as MembershipConfig
from balancer.membership.messages import MemberState
from balancer.net import maintenance_file, recovery_handover, state_handover
from balancer.net.shared_files import shared_path
from balancer.policy import Balancer
from balancer.recovery.ban_register import BanEntry
from balancer.recovery.phases import Phase, RecoveryPath
from balancer.recovery.shell import RecoveryHandover
from balancer.settings import parse_settings_text
from balancer.sim import members, recovery_play, recovery_schedule

PACKAGE = "balancer"
# Unix time at which all files are written.
NOW_S = 1_700_000_000.0
# Maps each reworded reason for a rejected or failed request to its former text.
REASONS: dict[str, str] = {}


class Instance:
    """An instance of the decision module, driven by lines of the extended wire protocol."""

    def __init__(self, seed: int, settings: str) -> None:
        self.settings = self.before = parse_settings_text(settings)
        self.balancer = Balancer(self.settings, seed)

    def handle(self, now: float, line: str, following: Iterator[str]) -> list[str]:
        """Handle an event at the time `now` (ms); `following` yields the ENTRY lines after a list update."""
        word, _, rest = line.partition(" ")
        if word == "X_LEARNED":
            return [f"X_LEARNED {json.dumps(_learned_table(self.balancer.learned_state(now)))}"]
        if word == "X_STATE":
            numbers = sorted(re.findall(r"=([\d.]+)", self.balancer.gauge()))
            unavailable = self.balancer.count_unavailable(now)
            return [f"X_STATE {unavailable} {self.balancer.is_listed(rest)} {' '.join(numbers)}"]
        try:
            actions = self.balancer.handle(now, self._event(word, rest, line, following))
        except api.CallError as err:
            return [f"X_ERROR {err.code}"]
        return [_extended(action) for action in actions]

    def _event(self, word: str, rest: str, line: str, following: Iterator[str]) -> api.Event:
        parts = rest.split(" ")
        match word:
            case "DIRECTORY_UPDATE" | "X_LIST":
                more = word == "X_LIST" and parts.pop() == "1"
                update, count = wire.parse_list_update(" ".join(["DIRECTORY_UPDATE", *parts]))
                update.entries.extend(wire.parse_entry(next(following)) for _ in range(count))
                update.more_follows = more
                return update
            case "X_LIST_FAILED":
                failure = api.DiscoveryFailure(float(parts[0]), parts[1] == "1", parts[2] == "1")
                return api.ListUpdate(api.ListUpdateKind.FAILED, [], failure=failure)
            case "X_SETTINGS":
                self.before, self.settings = self.settings, parse_settings_text(rest)
                return api.Reconfigured(self.settings)
            case "X_BAN":
                return api.MaintenanceChanged(parts[0], parts[1] == "1", float(parts[2]))
            case "X_TAKING_OVER":
                return api.TakeoverStarted()
            case "X_RECOVERING":
                share, since, rate = map(float, parts[1:])
                return api.RecoveryProgressed(api.RecoveryPhase(parts[0]), share, since, rate)
            case "X_RECOVERED":
                age, _, table = rest.partition(" ")
                return api.LearnedStateRestored(_learned(json.loads(table)), float(age))
            case "X_ARRIVAL":
                name, deadline, kind, arriving, before = parts
                under = self.before if before == "1" else None
                return api.RequestArrived(
                    name, kind, float(deadline), body_pending=arriving == "1", settings=under
                )
            case "X_ARRIVED":
                return api.RequestBodyReceived(parts[0], float(parts[1]))
            case "X_RESOLVED":
                event = wire.parse_event(line[2 : line.rindex(" ")], self.settings.load_report_fields)
                assert isinstance(event, api.AttemptEnded)
                event.not_replayable = parts[-1] == "1"
                return event
        return wire.parse_event(line, self.settings.load_report_fields)


def _extended(action: api.Action) -> str:
    """Return the wire line of an action, followed by the fields that the simulator's wire omits."""
    text = wire.format_action(action)
    if isinstance(action, api.StartAttempt):
        return f"{text} before={action.latest_start!r}"
    if isinstance(action, api.RejectRequest | api.FailRequest):
        return f"{text} {REASONS.get(action.reason, action.reason)}"
    return text


def _learned_table(learned: api.LearnedState) -> dict[str, Any]:
    return asdict(learned)


def _learned(table: dict[str, Any]) -> api.LearnedState:
    classes = {name: tuple(row) for name, row in table["classes"].items()}
    backends = {name: tuple(row) for name, row in table["backends"].items()}
    return api.LearnedState(table["limit"], table["trust"], table["lost"], classes, backends)


def membership(seed: int) -> Iterator[str]:
    """Yield the datagrams of a tier whose nodes crash, stall, leave and restart, then the observed states."""
    lossy = members.Network(loss_rate=0.1, duplicate_rate=0.05, late_rate=0.02, corrupt_rate=0.01)
    count = 120 if seed % 10 == 0 else 5 + 4 * (seed % 5)
    network = members.Network() if seed % 2 else lossy
    world = members.MembershipSimulation(count, seed, MembershipConfig(), network)
    sent: list[str] = []
    original = members.MembershipSimulation._send

    def send(self: members.MembershipSimulation, source: int, target: int, data: bytes) -> None:
        sent.append(f"{self.now:.3f} {source} {target} {data.hex()}")
        original(self, source, target, data)

    with mock.patch.object(members.MembershipSimulation, "_send", send):
        for node in range(world.count):
            world.at(world.now + 37.0 * node, partial(world.start, node))
        begin = world.now
        world.at(begin + 6_000, partial(world.kill, 1))
        world.at(begin + 7_000, partial(world.stall, 2, 2_500.0))
        world.at(begin + 9_000, partial(world.leave, 3))
        world.at(begin + 12_000, partial(world.start, 1))
        world.at(begin + 13_000, partial(setattr, world.network, "is_cut", lambda a, b: (a < 2) != (b < 2)))
        world.at(begin + 20_000, partial(setattr, world.network, "is_cut", lambda a, b: False))
        world.run(begin + 30_000)
    yield from sent
    yield from (
        f"{s.at:.3f} {s.node} {s.change.member} {MemberState(s.change.after).value}"
        for s in world.observations
    )


def recovery(seed: int) -> Iterator[str]:
    """Yield the datagrams of a tier under a random schedule of power cuts, then the result of the play."""
    original = members.MembershipSimulation._send
    sent: list[str] = []

    def send(self: members.MembershipSimulation, source: int, target: int, data: bytes) -> None:
        sent.append(f"{self.now:.3f} {source} {target} {data.hex()}")
        original(self, source, target, data)

    with mock.patch.object(members.MembershipSimulation, "_send", send):
        played = recovery_play.play(recovery_schedule.draw(seed))
    yield from sent
    yield (
        f"{played.full_ms:.3f} {played.acknowledged_count} {played.max_budget_use:.6f} "
        f"{len(played.violations)}"
    )
    yield from (f"calls {second} {count}" for second, count in sorted(played.calls.items()))


def write_files(folder: Path) -> None:
    """Write a state directory, a bans file, and the files that a process leaves for its successor."""
    learned = api.LearnedState(7.5, 0.75, 0.125, {"c0": (20.0, 3.0, -0.5)}, {"b1": (5.0, 1.5, 2.0, 3, 250.0)})
    moment = Timestamp(NOW_S * 1000, "boot", 4_000.0)
    flags = [
        records.RegisterRow("b2", 1, 7, 3, True, 900.0),
        records.RegisterRow("b2", 0, 6, 1, False, 800.0),
    ]
    rows = [records.EndpointRow("b1", "10.0.0.1", 80, "a", "m2", 3, 1.5, "up", 5.0),
            records.EndpointRow("b2", "10.0.0.2", 80, "b", "m2", 4, 1.0, "draining", 0.0)]  # fmt: skip
    with ExitStack() as stack:
        stack.enter_context(mock.patch.object(time, "time", lambda: NOW_S))
        files = SystemDirectory(folder / "state")
        files.make()
        store = LogWriter(files, "n0", "fresh", lambda loaded: replay(None, []).encode_snapshot())
        for record in (
            records.IncarnationStarted(7, 1_000.0),
            records.EndpointListReceived(41, True, 1_100.0, rows),
            records.BanSet("b1", 1_200.0),
            records.RegisterRowsChanged(flags),
            records.LearnedSample(moment, learned, 12.5),
            records.BanLifted("b1", 1_300.0),
            records.BanSet("b3", 1_400.0),
        ):
            store.append([records.encode_record(record)], sync=True)
        store.rotate(_kept(folder).encode_snapshot())
        store.append(
            [records.encode_record(records.EndpointListReceived(42, False, 1_500.0, rows[:1]))], sync=True
        )
        store.close()
        stem = shared_path({"TMPDIR": str(folder)}, "n0")
        state_handover.write_learned(stem.with_suffix(state_handover.LEARNED_SUFFIX), learned)
        register = (BanEntry("b2", 1, 7, 3, True, 900.0), BanEntry("b2", 0, 6, 1, False, 800.0))
        left = RecoveryHandover(Phase.WARMING, RecoveryPath.POWER, 77.0, register)
        recovery_handover.write_handover(stem.with_suffix(recovery_handover.HANDOVER_SUFFIX), left, 50.0)
        asyncio.run(_ban(stem))


async def _ban(stem: Path) -> None:
    table = maintenance_file.MaintenanceFile(stem, lambda name, out, since: None)
    table.start(False)
    await table.set_ban("b1", True, 1_000.0, 10_000.0)
    await table.set_ban("b2", True, 2_000.0, 10_000.0)
    await table.set_ban("b1", False, 3_000.0, 10_000.0)
    table.stop()


def _kept(folder: Path) -> DurableState:
    loaded = read_directory(SystemDirectory(folder / "state"), "n0")
    return replay(loaded.snapshot, loaded.records)


def read_files(folder: Path) -> Iterator[str]:
    """Yield the values that this revision reads from files of any revision; reading removes some of them."""
    with mock.patch.object(time, "time", lambda: NOW_S + 1.0):
        loaded = read_directory(SystemDirectory(folder / "state"), "n0")
        kept = replay(loaded.snapshot, loaded.records)
        health = f"{loaded.has_lost_records} {loaded.problems}"
        yield f"{loaded.last_number} {loaded.fence} {loaded.generation} {health}"
        yield kept.encode_snapshot().hex()
        stem = shared_path({"TMPDIR": str(folder)}, "n0")
        record = maintenance_file.parse_record(stem.with_suffix(".bans").read_text("utf-8"))
        yield f"{sorted(record.banned)} {sorted(record.lifted_at_ms.items())}"
        recovered = state_handover.consume_learned(stem.with_suffix(state_handover.LEARNED_SUFFIX))
        assert recovered is not None
        yield f"{json.dumps(_learned_table(recovered.learned))} {recovered.age_ms:.3f}"
        left = recovery_handover.read_handover(stem.with_suffix(recovery_handover.HANDOVER_SUFFIX), 150.0)
        assert left is not None
        yield f"{left.phase.name} {left.path.value} {left.cold_since} {[tuple(row) for row in left.entries]}"
