"""What the room of a return does with the node's list and with discovery's calls, without sockets."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator
from types import SimpleNamespace
from typing import Any, cast

import pytest

from balancer import interface as api
from balancer.membership.port import Port
from balancer.net.endpoints import EndpointUpdate
from balancer.net.node import Node
from balancer.net.returning import Returning
from balancer.recovery.phases import Phase
from balancer.recovery.shell import CallError
from tests.helpers import BASE, entry, member

HERE = ("127.0.0.1", 1)


class Watcher:
    """Takes note of what is asked of discovery."""

    def __init__(self) -> None:
        self.calls: list[str] = []

    def watch(self, on: bool) -> None:
        """The watch."""
        self.calls.append(f"watch {on}")

    def fetch(self) -> None:
        """The whole list."""
        self.calls.append("fetch")


Told = list[tuple[api.ListUpdateKind, dict[str, api.EndpointPhase]]]


def news(revision: int, *names: str) -> EndpointUpdate:
    """A list of backends that are in service."""
    return EndpointUpdate(revision, True, tuple(member(entry(name), "127.0.0.1:1") for name in names))


@contextlib.asynccontextmanager
async def returning(*names: str) -> AsyncIterator[tuple[Returning, Watcher, Told]]:
    """The return of a tier's only node, with a saved list; and what its node was told of lists."""
    told: Told = []

    def take(update: EndpointUpdate, kind: api.ListUpdateKind) -> None:
        told.append((kind, {m.backend: m.phase for m in update.members}))

    one: Any = SimpleNamespace(
        settings=BASE, config=SimpleNamespace(seed=1), now=lambda: 1000.0, list=take, event=lambda event: None
    )
    watcher = Watcher()
    out = Returning(cast(Node, one), watcher, news(41, *names), Port(HERE, [HERE], HERE), 1, None)
    try:
        yield out, watcher, told
    finally:
        out.shell.close()


async def test_discovery_is_called_at_the_turn_and_after_a_failure_at_the_next_one() -> None:
    async with returning("a") as (one, watcher, _):
        one.watch(True)
        one.fetch()
        assert watcher.calls == []
        one.shell.begin(one.kept)
        assert one.shell.core.phase is Phase.LISTED and watcher.calls == ["watch True", "fetch"]
        one.list_failed()
        one.watch(True)
        assert watcher.calls[2:] == ["watch False"] and one.shell.core.counts["list_failed"] == 1
        one.ask()
        one.listed(news(42, "a"), api.ListUpdateKind.SNAPSHOT)
        one.list_failed()  # what is lost once the list was told is the node's own affair
        assert watcher.calls[3:] == ["watch True"]


async def test_a_restriction_only_takes_away_and_ends_with_the_list_that_discovery_tells() -> None:
    async with returning("a", "b", "c") as (one, _, told):
        up, leaving = api.EndpointPhase.IN_SERVICE, api.EndpointPhase.DRAINING
        one.restrict(frozenset({"a", "b", "x"}))
        assert told == [(api.ListUpdateKind.CACHED, {"a": leaving, "b": leaving, "c": up})]
        gone = member(entry("a", phase=api.EndpointPhase.REMOVED), "127.0.0.1:1")
        one.listed(EndpointUpdate(42, False, (gone,)), api.ListUpdateKind.DELTA)
        one.restrict(frozenset())
        assert told[1:] == [(api.ListUpdateKind.DELTA, {"b": up})]


async def test_a_defect_of_the_room_leaves_a_node_that_serves() -> None:
    async with returning("a") as (one, watcher, _):

        def broken(now: float, event: object) -> list[Any]:
            raise ZeroDivisionError

        one.shell.core.handle = broken  # type: ignore[method-assign]
        one.shell.begin(one.kept)
        await one.shell.served()
        assert one.shell.failed and watcher.calls == ["watch True"]
        with pytest.raises(CallError, match="failed"):
            await one.banned("a", True)
