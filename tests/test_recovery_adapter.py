"""What a node's recovery does with its list and with requests to discovery, without sockets."""

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

HERE = ("127.0.0.1", 1)


class Watcher:
    """Records what is asked of discovery."""

    def __init__(self) -> None:
        self.calls: list[str] = []

    def watch(self, on: bool) -> None:
        """The watch."""
        self.calls.append(f"watch {on}")

    def fetch(self) -> None:
        """The whole list."""
        self.calls.append("fetch")


@dataclass
class ListSent:
    """A list that the balancer was sent."""

    kind: api.ListUpdateKind
    phases: dict[str, api.EndpointPhase]  # by backend


def news(revision: int, *names: str) -> EndpointUpdate:
    """Return a list of backends that are in service."""
    return EndpointUpdate(revision, True, tuple(member(entry(name), "127.0.0.1:1") for name in names))


@dataclass
class Setup:
    """The adapter of a tier's only node, with a saved list of three backends, and what surrounds it."""

    adapter: RecoveryAdapter
    watcher: Watcher
    lists: list[ListSent]


@pytest.fixture
async def setup() -> AsyncIterator[Setup]:
    """An adapter that has not started."""
    lists: list[ListSent] = []

    def take(update: EndpointUpdate, kind: api.ListUpdateKind) -> None:
        lists.append(ListSent(kind, {m.backend: m.phase for m in update.members}))

    node: Any = SimpleNamespace(
        settings=BASE,
        shared_path=Path("unused"),
        config=SimpleNamespace(seed=1),
        now=lambda: 1000.0,
        update_endpoints=take,
        handle_event=lambda event: None,
    )
    watcher = Watcher()
    port = PeerSocket(HERE, [HERE], HERE)
    adapter = RecoveryAdapter(cast(Node, node), watcher, news(41, "a", "b", "c"), port, 1, None)
    yield Setup(adapter, watcher, lists)
    adapter.shell.close()


async def test_discovery_is_polled_in_the_slot(setup: Setup) -> None:
    adapter = setup.adapter
    watcher = setup.watcher
    adapter.watch(True)
    adapter.fetch()
    assert watcher.calls == []
    adapter.shell.start(adapter.saved_state)
    assert adapter.shell.core.phase is Phase.LISTED
    assert watcher.calls == ["watch True", "fetch"]


async def test_a_failed_request_waits_for_the_next_slot(setup: Setup) -> None:
    adapter = setup.adapter
    watcher = setup.watcher
    adapter.shell.start(adapter.saved_state)
    adapter.list_request_failed()
    adapter.watch(True)
    assert watcher.calls == ["watch True", "watch False"]
    assert adapter.shell.core.context.counts["list_failed"] == 1
    adapter.allow_polling()
    assert watcher.calls[2:] == ["watch True"]


async def test_a_request_that_fails_once_the_list_was_sent_is_left_to_the_watcher(setup: Setup) -> None:
    adapter = setup.adapter
    watcher = setup.watcher
    adapter.shell.start(adapter.saved_state)
    adapter.list_received(news(42, "a"), api.ListUpdateKind.SNAPSHOT)
    adapter.list_request_failed()
    assert watcher.calls == ["watch True"]
    assert adapter.shell.core.context.counts["list_failed"] == 0


async def test_a_restriction_only_takes_away_and_ends_with_the_list_that_discovery_sends(
    setup: Setup,
) -> None:
    adapter = setup.adapter
    up = api.EndpointPhase.IN_SERVICE
    draining = api.EndpointPhase.DRAINING
    adapter.restrict_saved_list(frozenset({"a", "b", "x"}))
    assert setup.lists == [ListSent(api.ListUpdateKind.CACHED, {"a": draining, "b": draining, "c": up})]
    gone = member(entry("a", phase=api.EndpointPhase.REMOVED), "127.0.0.1:1")
    adapter.list_received(EndpointUpdate(42, False, (gone,)), api.ListUpdateKind.DELTA)
    adapter.restrict_saved_list(frozenset())
    assert setup.lists[1:] == [ListSent(api.ListUpdateKind.DELTA, {"b": up})]


async def test_a_defect_of_recovery_leaves_a_node_that_serves(setup: Setup) -> None:
    adapter = setup.adapter

    def broken(now: float, event: object) -> list[Any]:
        raise ZeroDivisionError

    adapter.shell.core.handle = broken  # type: ignore[method-assign]
    adapter.shell.start(adapter.saved_state)
    await adapter.shell.wait_until_serving()
    assert adapter.shell.has_failed
    assert setup.watcher.calls == ["watch True"]
    with pytest.raises(BanRequestError, match="failed"):
        await adapter.request_ban("a", True)
