"""Applies updates of the endpoint list to connection pool and decision module, in order and in batches.

A short update is applied at once. A long one is applied in slices of the event loop: entries that are
unchanged cost the module nothing; removed and draining backends go first, all others follow in batches.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace
from itertools import chain, islice
from typing import TypeVar

from balancer import interface as api
from balancer.net.change_summary import ChangeSummary
from balancer.net.connection_pool import ConnectionPool
from balancer.net.cooperative import CooperativeScheduler
from balancer.net.endpoints import EndpointUpdate, Member
from balancer.net.sharded_dict import ShardedDict, shard_index

log = logging.getLogger(__name__)

MAX_SHORT_UPDATE = 256  # entries of an update, and for a complete list members in force, to apply it at once
BATCH_SIZE = 64  # entries that the module gets in one slice
COMPARED_PER_SLICE = 512  # entries

Item = TypeVar("Item")
Batch = tuple[Member, ...]
Applied = Callable[[EndpointUpdate | None, api.ListUpdateKind], None]
"""Called with an update that is in force; None: discovery has said that nothing has changed."""


@dataclass(slots=True, frozen=True, eq=False)
class PendingUpdate:
    """An update that waits, or is being applied; None: discovery has said that nothing has changed."""

    update: EndpointUpdate | None
    kind: api.ListUpdateKind


class EndpointUpdater:
    """Applies updates of the endpoint list in their order."""

    def __init__(
        self,
        pool: ConnectionPool,
        send: Callable[[api.ListUpdate], None],
        applied: Applied,
        scheduler: CooperativeScheduler,
    ) -> None:
        """Begin with nothing pending.

        Args:
            pool: has the members in force.
            send: passes a batch to the decision module.
            applied: is called with each update that is in force.
            scheduler: runs the application of long updates.
        """
        self.pool = pool
        self.send = send
        self.applied = applied
        self.scheduler = scheduler
        self.pending: deque[PendingUpdate] = deque()  # the first one is being applied
        # Backends that a pending update stops, with the last update that does so.
        self._stopped_by: dict[str, EndpointUpdate] = {}
        self._is_working = False
        self._idle = asyncio.Event()
        self._idle.set()
        self._has_sent_list = False
        self._changes = ChangeSummary()  # since the last log line

    def put(self, update: EndpointUpdate | None, kind: api.ListUpdateKind) -> None:
        """Apply an update, after those that are pending; None: nothing has changed.

        A repeated or cached update goes before what discovery has sent since, and is dropped where a complete
        list of discovery is pending.
        """
        if self.pending and update is not None and _is_older(update, kind):
            self._put_first(update, kind)
            return
        if kind is api.ListUpdateKind.SNAPSHOT:  # supersedes what is pending
            self._stopped_by.clear()
            if self.pending:
                self.pending.clear()
                self.pending.append(PendingUpdate(update, kind))
                return
        if self.pending:
            self.pending.append(PendingUpdate(update, kind))
            if update is not None:
                self._stop_early(update)
        elif update is None:
            self.applied(None, kind)
        elif self._is_short(update, kind):
            self._apply_at_once(update, kind)
        else:
            self.pending.append(PendingUpdate(update, kind))
            self._idle.clear()
            if not self._is_working:  # else `put` was called while an update is reported as applied
                self.scheduler.add(self._apply_pending())

    async def wait_idle(self) -> None:
        """Return once nothing is pending."""
        await self._idle.wait()

    def _put_first(self, update: EndpointUpdate, kind: api.ListUpdateKind) -> None:
        if any(item.kind is api.ListUpdateKind.SNAPSHOT for item in self.pending):
            return
        if kind is api.ListUpdateKind.CACHED:
            self.pending = deque(item for item in self.pending if item.kind is not kind)
        self.pending.appendleft(PendingUpdate(update, kind))

    def _is_short(self, update: EndpointUpdate, kind: api.ListUpdateKind) -> bool:
        return len(update.members) <= MAX_SHORT_UPDATE and (
            kind is api.ListUpdateKind.DELTA or len(self.pool.members) <= MAX_SHORT_UPDATE
        )

    def _apply_at_once(self, update: EndpointUpdate, kind: api.ListUpdateKind) -> None:
        members = update.members
        if kind is not api.ListUpdateKind.DELTA:
            members += self._left_out_at_once(members)
        self._has_sent_list = True
        for member in members:
            self._changes.add_update(member, self.pool.members.get(member.backend))
        self.pool.update(members, False)
        self.send(api.ListUpdate(kind, list(update.members), update.revision))
        self._log_changes(update.revision)
        self.applied(update, kind)

    def _left_out_at_once(self, members: Batch) -> Batch:
        """Return members in force that a short complete list leaves out, as removed."""
        current = self.pool.members
        names = current.keys() - {member.backend for member in members}
        return tuple(replace(current[name], phase=api.EndpointPhase.REMOVED) for name in sorted(names))

    def _stop_early(self, update: EndpointUpdate) -> None:
        """Send what a pending update stops at once; no earlier update may put it into service again."""
        last = {member.backend: member for member in update.members}
        stopped = [m for m in last.values() if m.phase is not api.EndpointPhase.IN_SERVICE]
        self._stopped_by |= dict.fromkeys([member.backend for member in stopped], update)
        if len(stopped) <= MAX_SHORT_UPDATE:
            in_force = tuple(member for member in stopped if member.backend in self.pool.members)
            if in_force:
                self._send_batch(in_force, update.revision)

    # --- the application in slices

    def _apply_pending(self) -> Iterator[None]:
        """Apply all that is pending, a batch a slice; `put` may meanwhile change what is first."""
        self._is_working = True
        try:
            while self.pending:
                item = self.pending[0]
                for _ in self._apply(item.update, item.kind) if item.update is not None else ():
                    yield
                    if self.pending[0] is not item:
                        break
                if self.pending[0] is item:
                    self.pending.popleft()
                    rest = self._finish(item)
                    del item
                    while rest:  # to release all at once would be a long slice
                        del rest[-COMPARED_PER_SLICE:]
                        yield
        except Exception:  # a defect: later updates must not wait for ever
            self.pending.clear()
            raise
        finally:
            self._is_working = False
            self._idle.set()

    def _finish(self, item: PendingUpdate) -> list[Member]:
        """Report an update that is in force; returns its members, to be released in slices."""
        update = item.update
        self._stopped_by = {name: by for name, by in self._stopped_by.items() if by is not update}
        if update is not None:
            self._log_changes(update.revision)
        self.applied(update, item.kind)
        return list(update.members) if update is not None else []

    def _apply(self, update: EndpointUpdate, kind: api.ListUpdateKind) -> Iterator[None]:
        """Send one update to the module, a step a slice."""
        if (by_id := update.by_id) is None:
            by_id = ShardedDict[Member]()  # the last entry of each backend
            for some in _batches(update.members, COMPARED_PER_SLICE):
                for member in some:
                    by_id[member.backend] = member
                yield
        removed = self._left_out(by_id) if kind is not api.ListUpdateKind.DELTA else ()
        held_back: Batch = ()  # the last batch is marked as such, also where nothing has changed
        for batch in chain(removed, self._changed(update.members, by_id)):
            if batch:
                if held_back:
                    self._send_batch(held_back, update.revision)
                held_back = batch
            yield
        self._send_batch(held_back, update.revision, more=False)

    def _send_batch(self, batch: Batch, revision: int, more: bool = True) -> None:
        # The module calls discovery when it gets the first batch of a cached list. As another cached list,
        # the next batch would replace it.
        kind = api.ListUpdateKind.DELTA if self._has_sent_list else api.ListUpdateKind.CACHED
        self._has_sent_list = True
        if self._stopped_by:
            in_service = api.EndpointPhase.IN_SERVICE
            batch = tuple(m for m in batch if m.phase is not in_service or m.backend not in self._stopped_by)
        self._changes.add_changed(batch)
        self.pool.update(batch, False)
        self.send(api.ListUpdate(kind, list(batch), revision, more))

    def _left_out(self, by_id: ShardedDict[Member]) -> Iterator[Batch]:
        """Yield members that a complete list leaves out, as removed; empty where a slice found none."""
        for current, listed in zip(self.pool.members.shards, by_id.shards, strict=True):
            left = [member for name, member in current.items() if name not in listed]
            for some in _batches(left, BATCH_SIZE):
                yield tuple(replace(m, phase=api.EndpointPhase.REMOVED) for m in some if m.backend in current)
            if not left:
                yield ()

    def _changed(self, members: Batch, by_id: ShardedDict[Member]) -> Iterator[Batch]:
        """Yield what differs from what is in force: stopped backends, then those in service, then others."""
        current_parts = self.pool.members.shards
        listed_parts = by_id.shards
        in_service = list[Member]()
        others = list[Member]()
        for some in _batches(members, COMPARED_PER_SLICE):
            stopped = []
            for member in some:
                name = member.backend
                phase = member.phase
                part = shard_index(name)
                current = current_parts[part].get(name)
                if member is current or member == current or listed_parts[part][name] is not member:
                    continue
                if phase is api.EndpointPhase.IN_SERVICE:
                    in_service.append(member)
                elif current is None:
                    if phase is not api.EndpointPhase.REMOVED:
                        others.append(member)
                elif current.phase is api.EndpointPhase.IN_SERVICE or phase is api.EndpointPhase.REMOVED:
                    stopped.append(member)
                else:
                    others.append(member)
            yield from _batches(stopped, BATCH_SIZE) if stopped else ((),)
        yield from _batches(in_service, BATCH_SIZE)
        yield from _batches(others, BATCH_SIZE)

    # --- the log

    def _log_changes(self, revision: int) -> None:
        if text := self._changes.text():
            log.info("list: revision %d: %s", revision, text)
            self._changes = ChangeSummary()


def _is_older(update: EndpointUpdate, kind: api.ListUpdateKind) -> bool:
    """Return whether an update says what was known before discovery sent anything."""
    return update.is_repeated or kind is api.ListUpdateKind.CACHED


def _batches(items: Iterable[Item], size: int) -> Iterator[tuple[Item, ...]]:
    rest = iter(items)
    while batch := tuple(islice(rest, size)):
        yield batch
