"""The way of the list into the node: news in their order, a long one in turns of the loop.

Short news are taken at once. Of a long one, what is as it was costs the module nothing; first goes what has
to stop, then comes the rest, in pieces. It counts as taken when all of it is in.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import replace
from itertools import chain, islice
from typing import TypeVar

from balancer import interface as api
from balancer.net.changes import ListChanges
from balancer.net.config import Member, News
from balancer.net.connection_pool import ConnectionPool
from balancer.net.sharded_dict import ShardedDict, shard_index
from balancer.net.turns import Turns

log = logging.getLogger(__name__)

SHORT = 256  # entries up to which news are taken at once, and backends held up to which a whole list is
PIECE = 64  # entries that the module takes in one turn
LOOKS = 512  # entries that are compared in one turn

Item = TypeVar("Item")
Taken = Callable[[News | None, api.ListUpdateKind], None]
"""Told of news that are in force; None: discovery has said that nothing is new."""


class Listing:
    """Takes the news of the list in their order."""

    def __init__(
        self, pool: ConnectionPool, tell: Callable[[api.ListUpdate], None], taken: Taken, turns: Turns
    ) -> None:
        """`pool` and `tell`, which leads to the module, get each piece; `pool` says what is in force."""
        self.pool, self.tell, self.taken, self.turns = pool, tell, taken, turns
        self.waiting: deque[tuple[News | None, api.ListUpdateKind]] = deque()  # the first one is being taken
        self._stopped: dict[str, News] = {}  # what is told to stop by news that wait, by the last of them
        self._working = False
        self._idle = asyncio.Event()
        self._idle.set()
        self._begun = False  # the module has been told a list
        self._changes = ListChanges()  # since the last line on them

    def put(self, news: News | None, kind: api.ListUpdateKind) -> None:
        """Take news; None: nothing is new.

        What was told before, as what was saved is, goes before what discovery has told since, and a whole
        list of that leaves nothing of it.
        """
        if self.waiting and news is not None and (news.again or kind is api.ListUpdateKind.CACHED):
            if any(held is api.ListUpdateKind.SNAPSHOT for _, held in self.waiting):
                return
            if kind is api.ListUpdateKind.CACHED:
                self.waiting = deque(item for item in self.waiting if item[1] is not kind)
            self.waiting.appendleft((news, kind))
            return
        if kind is api.ListUpdateKind.SNAPSHOT:  # what came before is of no use; what is in of it is in force
            self._stopped.clear()
            if self.waiting:
                self.waiting.clear()
                self.waiting.append((news, kind))
                return
        if self.waiting:
            self.waiting.append((news, kind))
            if news is not None:
                self._stop(news)
        elif news is None:
            self.taken(None, kind)
        elif len(news.members) <= SHORT and (
            kind is api.ListUpdateKind.DELTA or len(self.pool.members) <= SHORT
        ):
            self._begun = True
            self._note(news.members, kind is not api.ListUpdateKind.DELTA)
            self.pool.update(news.members, kind is not api.ListUpdateKind.DELTA)
            self.tell(api.ListUpdate(kind, list(news.members), news.revision))
            self._say(news)
            self.taken(news, kind)
        else:
            self.waiting.append((news, kind))
            self._idle.clear()
            if not self._working:  # else this comes of what it has just taken
                self.turns.add(self._work())

    def _stop(self, news: News) -> None:
        """What is told to stop need not wait for its turn, and what was told before raises it no more."""
        last = {member.backend: member for member in news.members}
        stop = [member for member in last.values() if member.phase is not api.EndpointPhase.IN_SERVICE]
        self._stopped |= dict.fromkeys([member.backend for member in stop], news)
        if len(stop) <= SHORT and (now := tuple(m for m in stop if m.backend in self.pool.members)):
            self._tell(now, news.revision)

    def _work(self) -> Iterator[None]:
        """Take all that waits, a piece a turn. What is put meanwhile may change what is first."""
        self._working = True
        try:
            while self.waiting:
                item = news, kind = self.waiting[0]
                for _ in self._pieces(news, kind) if news is not None else ():
                    yield
                    if self.waiting[0] is not item:
                        break
                if self.waiting[0] is item:
                    self.waiting.popleft()
                    self._stopped = {name: by for name, by in self._stopped.items() if by is not news}
                    if news is not None:
                        self._say(news)
                    self.taken(news, kind)
                    rest = list(news.members) if news is not None else []
                    del item, news
                    while rest:  # to let go of all at once would be a long turn, too
                        del rest[-LOOKS:]
                        yield
        except Exception:  # a defect: what comes next is not to wait for ever
            self.waiting.clear()
            raise
        finally:
            self._working = False
            self._idle.set()

    async def settled(self) -> None:
        """Returns once nothing waits."""
        await self._idle.wait()

    def _pieces(self, news: News, kind: api.ListUpdateKind) -> Iterator[None]:
        """Put one object in force, a step a turn."""
        if (named := news.named) is None:
            named = ShardedDict[Member]()  # the last word of each
            for some in _cut(news.members, LOOKS):
                for member in some:
                    named[member.backend] = member
                yield
        whole = kind is not api.ListUpdateKind.DELTA
        held: tuple[Member, ...] = ()  # the module is told which is the last, also where nothing has changed
        for piece in chain(self._left_out(named) if whole else (), self._changed(news.members, named)):
            if piece:
                if held:
                    self._tell(held, news.revision)
                held = piece
            yield
        self._tell(held, news.revision, more=False)

    def _tell(self, piece: tuple[Member, ...], revision: int, more: bool = True) -> None:
        # The module is to ask discovery once it has the first of a saved list. Told again, such a piece would
        # count as all there is.
        kind = api.ListUpdateKind.DELTA if self._begun else api.ListUpdateKind.CACHED
        self._begun = True
        if self._stopped:
            up = api.EndpointPhase.IN_SERVICE
            piece = tuple(m for m in piece if m.phase is not up or m.backend not in self._stopped)
        self._changes.add_piece(piece)
        self.pool.update(piece, False)
        self.tell(api.ListUpdate(kind, list(piece), revision, more))

    def _note(self, members: tuple[Member, ...], whole: bool) -> None:
        """Collect what these change, for the log; `whole`: all that they leave out is gone."""
        held = self.pool.members
        for member in members:
            self._changes.add(member, held.get(member.backend))
        if whole:
            left_out = held.keys() - {member.backend for member in members}
            self._changes.add_gone(held[name] for name in sorted(left_out))

    def _say(self, news: News) -> None:
        """Log what has changed, now that it is in force."""
        if text := self._changes.text():
            log.info("list: revision %d: %s", news.revision, text)
            self._changes = ListChanges()

    def _left_out(self, named: ShardedDict[Member]) -> Iterator[tuple[Member, ...]]:
        """What a whole list names no more, as gone; empty where a turn found nothing."""
        for held, told in zip(self.pool.members.shards, named.shards, strict=True):
            left = [member for name, member in held.items() if name not in told]
            for some in _cut(left, PIECE):
                yield tuple(replace(m, phase=api.EndpointPhase.REMOVED) for m in some if m.backend in held)
            if not left:
                yield ()

    def _changed(self, told: tuple[Member, ...], named: ShardedDict[Member]) -> Iterator[tuple[Member, ...]]:
        """What is not in force as it was told: first all that stops, then what serves, then the others."""
        held, words = self.pool.members.shards, named.shards
        serve, others = list[Member](), list[Member]()
        for some in _cut(told, LOOKS):
            stop = []
            for member in some:
                name, phase = member.backend, member.phase
                part = shard_index(name)
                was = held[part].get(name)
                if member is was or member == was or words[part][name] is not member:
                    continue
                if phase is api.EndpointPhase.IN_SERVICE:
                    serve.append(member)
                elif was is None:
                    if phase is not api.EndpointPhase.REMOVED:
                        others.append(member)
                elif was.phase is api.EndpointPhase.IN_SERVICE or phase is api.EndpointPhase.REMOVED:
                    stop.append(member)
                else:
                    others.append(member)
            yield from _cut(stop, PIECE) if stop else ((),)
        yield from _cut(serve, PIECE)
        yield from _cut(others, PIECE)


def _cut(items: Iterable[Item], size: int) -> Iterator[tuple[Item, ...]]:
    rest = iter(items)
    while some := tuple(islice(rest, size)):
        yield some
