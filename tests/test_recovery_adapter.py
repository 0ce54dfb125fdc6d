"""What the room of a return does with the node's list and with discovery's calls, without sockets."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest

from balancer import interface as api
from balancer.membership.port import Port
from balancer.net.config import News
from balancer.net.node import Node
from balancer.net.recovery_adapter import RecoveryAdapter
from balancer.recovery.ban_requests import BanCallError
from balancer.recovery.phases import Phase
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


Told = list[tuple[api.ListKind, dict[str, api.Phase]]]


def news(revision: int, *names: str) -> News:
    """A list of backends that are in service."""
    return News(revision, True, tuple(member(entry(name), "127.0.0.1:1") for name in names))


@contextlib.asynccontextmanager
async def returning(*names: str) -> AsyncIterator[tuple[RecoveryAdapter, Watcher, Told]]:
    """The return of a tier's only node, with a saved list; and what its node was told of lists."""
    told: Told = []

    def take(update: News, kind: api.ListKind) -> None:
        told.append((kind, {m.backend: m.phase for m in update.members}))

    one: Any = SimpleNamespace(
        settings=BASE,
        meeting=Path("unused"),
        config=SimpleNamespace(seed=1),
        now=lambda: 1000.0,
        list=take,
        event=lambda event: None,
    )
    watcher = Watcher()
    out = RecoveryAdapter(cast(Node, one), watcher, news(41, *names), Port(HERE, [HERE], HERE), 1, None)
    try:
        yield out, watcher, told
    finally:
        out.shell.close()


async def test_discovery_is_called_at_the_turn_and_after_a_failure_at_the_next_one() -> None:
    async with returning("a") as (one, watcher, _):
        one.watch(True)
        one.fetch()
        assert watcher.calls == []
        one.shell.start(one.kept)
        assert one.shell.core.phase is Phase.LISTED and watcher.calls == ["watch True", "fetch"]
        one.list_request_failed()
        one.watch(True)
        assert watcher.calls[2:] == ["watch False"] and one.shell.core.context.counts["list_failed"] == 1
        one.allow_polling()
        one.list_received(news(42, "a"), api.ListKind.FULL)
        one.list_request_failed()  # what is lost once the list was told is the node's own affair
        assert watcher.calls[3:] == ["watch True"]


async def test_a_restriction_only_takes_away_and_ends_with_the_list_that_discovery_tells() -> None:
    async with returning("a", "b", "c") as (one, _, told):
        up, leaving = api.Phase.UP, api.Phase.DRAINING
        one.restrict_saved_list(frozenset({"a", "b", "x"}))
        assert told == [(api.ListKind.SAVED, {"a": leaving, "b": leaving, "c": up})]
        gone = member(entry("a", phase=api.Phase.GONE), "127.0.0.1:1")
        one.list_received(News(42, False, (gone,)), api.ListKind.CHANGES)
        one.restrict_saved_list(frozenset())
        assert told[1:] == [(api.ListKind.CHANGES, {"b": up})]


async def test_a_defect_of_the_room_leaves_a_node_that_serves() -> None:
    async with returning("a") as (one, watcher, _):

        def broken(now: float, event: object) -> list[Any]:
            raise ZeroDivisionError

        one.shell.core.handle = broken  # type: ignore[method-assign]
        one.shell.start(one.kept)
        await one.shell.wait_until_serving()
        assert one.shell.has_failed and watcher.calls == ["watch True"]
        with pytest.raises(BanCallError, match="failed"):
            await one.request_ban("a", True)
