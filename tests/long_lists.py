"""Simulate in virtual time a node that receives long lists; low limits make short lists count as long."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Iterator
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest

from balancer import interface as api
from balancer.interface import EndpointPhase, ListUpdateKind
from balancer.net import config, endpoint_updater, json_stream, list_layout
from balancer.net.discovery import DiscoveryClient
from balancer.net.endpoint_decoder import PHASES
from balancer.net.endpoints import EndpointUpdate, Member
from balancer.net.node import Node
from balancer.net.node_ports import FleetServices
from balancer.policy import Balancer
from tests.helpers import member as member_at
from tests.virtual_discovery import DiscoverySimulation

IN_SERVICE = EndpointPhase.IN_SERVICE
DRAINING = EndpointPhase.DRAINING
REMOVED = EndpointPhase.REMOVED
PHASE_NAMES = {phase: name for name, phase in PHASES.items()}
# Updates of up to MAX_SHORT_ENTRIES entries are applied at once; longer ones are applied in batches.
MAX_SHORT_ENTRIES = 4
BATCH_ENTRIES = 2


@pytest.fixture
def small_limits(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Lower the limits so that a list of a few entries counts as long."""
    monkeypatch.setattr(json_stream, "LONG_OBJECT_BYTES", 100)
    monkeypatch.setattr(list_layout, "MIN_RUN_BYTES", 100)
    monkeypatch.setattr(list_layout, "ROWS_PER_MATCH", 2)
    monkeypatch.setattr(list_layout, "RUNS_PER_SLICE", 1)
    monkeypatch.setattr(endpoint_updater, "MAX_SHORT_UPDATE_ENTRIES", MAX_SHORT_ENTRIES)
    monkeypatch.setattr(endpoint_updater, "BATCH_ENTRIES", BATCH_ENTRIES)
    monkeypatch.setattr(endpoint_updater, "ENTRIES_COMPARED_PER_SLICE", 5)
    yield


class FakeModule:
    """Stands in for the decision module and records the updates that it receives."""

    def __init__(self) -> None:
        self.phases: dict[str, EndpointPhase] = {}
        self.entries: dict[str, api.Endpoint] = {}
        self.updates = list[tuple[ListUpdateKind, dict[str, EndpointPhase]]]()
        # Called after each update with the number of updates so far.
        self.on_update: Callable[[int], None] = lambda count: None

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.ListUpdate) and event.kind is not ListUpdateKind.FAILED:
            phases_by_id = {entry.backend: entry.phase for entry in event.entries}
            if event.kind is not ListUpdateKind.DELTA:
                self.phases = dict.fromkeys(self.phases, REMOVED)
            self.phases |= phases_by_id
            self.entries |= {entry.backend: entry for entry in event.entries}
            self.updates.append((event.kind, phases_by_id))
            self.on_update(len(self.updates))
        return []

    @property
    def in_force(self) -> dict[str, EndpointPhase]:
        return {name: phase for name, phase in self.phases.items() if phase is not REMOVED}


def member(name: str, phase: EndpointPhase = IN_SERVICE, **over: Any) -> Member:
    port = over.pop("port", 9)
    entry = replace(api.Endpoint(name, "a", 0, 1.0, phase, 0.0), **over)
    return member_at(entry, f"127.0.0.1:{port}")


def complete_list(revision: int, number: int, **phases: EndpointPhase) -> EndpointUpdate:
    """Return a complete list of b0, b1, ..., in service except for the given phases."""
    phases_by_id = dict.fromkeys((f"b{i}" for i in range(number)), IN_SERVICE) | phases
    return EndpointUpdate(
        revision, True, tuple(member(*one) for one in phases_by_id.items() if one[1] is not REMOVED)
    )


def delta(revision: int, **phases: EndpointPhase) -> EndpointUpdate:
    """Return a watch event that changes the phases of some members."""
    return EndpointUpdate(revision, False, tuple(member(name, phase) for name, phase in phases.items()))


def encode(update: EndpointUpdate) -> bytes:
    """Return an update as JSON, as discovery sends it."""
    members = [
        {"id": m.backend, "host_port": f"{m.address[0]}:{m.address[1]}", "phase": PHASE_NAMES[m.phase],
         "locality": m.zone} for m in update.members
    ]  # fmt: skip
    table = {"revision": update.revision, "complete": update.complete, "members": members}
    return json.dumps(table).encode() + b"\n"


class LongListSimulation(DiscoverySimulation):
    """A node with a fake decision module, and a discovery that sends the updates of the test."""

    def __init__(self, path: Path, *behaviours: str) -> None:
        super().__init__(path, False, *(behaviours or ("headers_only",)))
        self.module = FakeModule()
        # The revisions in the order in which they came into force, and -1 for each confirmation.
        self.applied = list[int]()
        self.task: asyncio.Task[None] | None = None

    def node(self, node_config: config.Config) -> Node:
        node = super().node(node_config)
        node.balancer = cast(Balancer, self.module)
        self.module.updates.clear()
        fleet = SimpleNamespace(
            list_request_failed=lambda: None, list_confirmed=lambda: self.applied.append(-1),
            list_received=lambda update, kind: self.applied.append(update.revision),
        )  # fmt: skip
        node.fleet = cast(FleetServices, fleet)
        return node

    def run_steps(self, *steps: Callable[[Node, DiscoveryClient], None], seconds: float = 1.0) -> Node:
        """Run the steps at intervals of 1 s, then continue for a number of seconds."""

        def begin(discovery: DiscoveryClient) -> None:
            for i, step in enumerate(steps):
                self.loop.call_at(0.1 + i, step, discovery.node, discovery)

        return self.run(0.1 + len(steps) + seconds, begin)

    def send(self, *updates: EndpointUpdate, call: int = 0) -> Callable[[Node, DiscoveryClient], None]:
        return lambda node, _: self.connections[call].send_chunk(b"".join(map(encode, updates)), first=False)


def batches(sim: LongListSimulation) -> list[dict[str, EndpointPhase]]:
    """Return the batches that the decision module has received, as maps from id to phase."""
    return [phases_by_id for _, phases_by_id in sim.module.updates]


class FakeCpuClock:
    """A fake CPU clock that advances by a fixed step at each reading."""

    def __init__(self, step_s: float) -> None:
        self.step_s = step_s
        self.used = 0.0

    def __call__(self) -> float:
        self.used += self.step_s
        return self.used
