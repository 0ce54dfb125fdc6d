"""Recovery adapter of a node: endpoint list and requests to discovery, without sockets."""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest

from balancer import interface as api
from balancer.membership.peer_socket import PeerSocket
from balancer.net.endpoints import EndpointUpdate
from balancer.net.node import Node
from balancer.net.recovery_adapter import RecoveryAdapter
from balancer.recovery.ban_requests import BanRequestError
from balancer.recovery.phases import Phase
from tests.helpers import BASE, entry, member

PEER_ADDRESS = ("127.0.0.1", 1)


class RecordingWatcher:
    """Record the calls to discovery."""

    def __init__(self) -> None:
        self.calls: list[str] = []

    def watch(self, on: bool) -> None:
        """Record that the watch is started or stopped."""
        self.calls.append(f"watch {on}")

    def fetch(self) -> None:
        """Record a request for the complete list."""
        self.calls.append("fetch")

    def read_unread(self) -> None:
        """Record that unread updates are read."""
        self.calls.append("read")


@dataclass
class SentList:
    """Endpoint list that the adapter has sent to the balancer."""

    kind: api.ListUpdateKind
    # Maps the name of each backend to its phase.
    phases: dict[str, api.EndpointPhase]


def endpoint_update(revision: int, *names: str) -> EndpointUpdate:
    """Return a complete list of backends that are in service."""
    return EndpointUpdate(revision, True, tuple(member(entry(name), "127.0.0.1:1") for name in names))


@dataclass
class AdapterSetup:
    """Adapter of a tier's only node with a saved list of three backends, and records of its calls."""

    adapter: RecoveryAdapter
    watcher: RecordingWatcher
    lists: list[SentList]


@pytest.fixture
async def setup() -> AsyncIterator[AdapterSetup]:
    """Provide an adapter whose recovery has not started."""
    lists: list[SentList] = []

    def record_update(update: EndpointUpdate, kind: api.ListUpdateKind) -> None:
        lists.append(SentList(kind, {m.backend: m.phase for m in update.members}))

    node: Any = SimpleNamespace(
        settings=BASE,
        shared_path=Path("unused"),
        config=SimpleNamespace(seed=1),
        now=lambda: 1000.0,
        update_endpoints=record_update,
        handle_event=lambda event: None,
    )
    watcher = RecordingWatcher()
    port = PeerSocket(PEER_ADDRESS, [PEER_ADDRESS], PEER_ADDRESS)
    adapter = RecoveryAdapter(cast(Node, node), watcher, endpoint_update(41, "a", "b", "c"), port, 1, None)
    yield AdapterSetup(adapter, watcher, lists)
    adapter.shell.close()


async def test_requests_to_discovery_wait_for_the_poll_slot(setup: AdapterSetup) -> None:
    adapter = setup.adapter
    watcher = setup.watcher
    adapter.watch(True)
    adapter.fetch()
    assert watcher.calls == []
    adapter.shell.start(adapter.saved_state)
    assert adapter.shell.core.phase is Phase.LISTED
    assert watcher.calls == ["watch True", "fetch"]


async def test_watch_stops_after_a_failed_request_until_the_next_slot(setup: AdapterSetup) -> None:
    adapter = setup.adapter
    watcher = setup.watcher
    adapter.shell.start(adapter.saved_state)
    adapter.list_request_failed()
    adapter.watch(True)
    assert watcher.calls == ["watch True", "watch False"]
    assert adapter.shell.core.context.counts["list_failed"] == 1
    adapter.allow_polling()
    assert watcher.calls[2:] == ["watch True"]


async def test_failure_after_the_first_list_is_left_to_the_watcher(setup: AdapterSetup) -> None:
    adapter = setup.adapter
    watcher = setup.watcher
    adapter.shell.start(adapter.saved_state)
    adapter.list_received(endpoint_update(42, "a"), api.ListUpdateKind.SNAPSHOT)
    adapter.list_request_failed()
    assert watcher.calls == ["watch True"]
    assert adapter.shell.core.context.counts["list_failed"] == 0


async def test_restriction_drains_saved_backends_until_discovery_sends_a_list(
    setup: AdapterSetup,
) -> None:
    adapter = setup.adapter
    in_service = api.EndpointPhase.IN_SERVICE
    draining = api.EndpointPhase.DRAINING
    adapter.restrict_saved_list(frozenset({"a", "b", "x"}))
    assert setup.lists == [
        SentList(api.ListUpdateKind.CACHED, {"a": draining, "b": draining, "c": in_service})
    ]
    gone = member(entry("a", phase=api.EndpointPhase.REMOVED), "127.0.0.1:1")
    adapter.list_received(EndpointUpdate(42, False, (gone,)), api.ListUpdateKind.DELTA)
    adapter.restrict_saved_list(frozenset())
    assert setup.lists[1:] == [SentList(api.ListUpdateKind.DELTA, {"b": in_service})]


async def test_node_serves_after_an_exception_in_recovery(setup: AdapterSetup) -> None:
    adapter = setup.adapter

    def fail(now: float, event: object) -> list[Any]:
        raise ZeroDivisionError

    adapter.shell.core.handle = fail  # type: ignore[method-assign]
    adapter.shell.start(adapter.saved_state)
    await adapter.shell.wait_until_serving()
    assert adapter.shell.has_failed
    assert setup.watcher.calls == ["watch True"]
    with pytest.raises(BanRequestError, match="failed"):
        await adapter.request_ban("a", True)
