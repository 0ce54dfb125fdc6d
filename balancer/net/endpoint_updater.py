"""Apply updates of the endpoint list to the connection pool and the decision module, in order and in batches.

A short update is applied at once. A long one is applied in slices of the event loop: unchanged entries are
not sent to the decision module, removed and draining backends are sent first, and all others follow in
batches.
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

# Updates of up to 256 entries are applied at once, complete lists only if the current one is as short.
MAX_SHORT_UPDATE_ENTRIES = 256
BATCH_ENTRIES = 64  # One slice sends the decision module at most 64 entries.
ENTRIES_COMPARED_PER_SLICE = 512

Item = TypeVar("Item")
Batch = tuple[Member, ...]
OnApplied = Callable[[EndpointUpdate | None, api.ListUpdateKind], None]
"""Called with each update once it is in force, and with None when discovery confirms the current list."""


@dataclass(slots=True, frozen=True, eq=False)
class PendingUpdate:
    """An update that is queued or being applied, or None for a confirmation of the current list."""

    update: EndpointUpdate | None
    kind: api.ListUpdateKind


class EndpointUpdater:
    """Applies updates of the endpoint list in order."""

    def __init__(
        self,
        pool: ConnectionPool,
        send: Callable[[api.ListUpdate], None],
        on_applied: OnApplied,
        scheduler: CooperativeScheduler,
    ) -> None:
        """Create an updater without pending updates.

        Args:
            pool: Holds the current members.
            send: Passes a batch to the decision module.
            on_applied: Called with each update once it is in force.
            scheduler: Applies long updates in slices.
        """
        self.pool = pool
        self.send = send
        self.on_applied = on_applied
        self.scheduler = scheduler
        # The first pending update is the one being applied.
        self.pending: deque[PendingUpdate] = deque()
        # Maps each backend that a pending update drains or removes to the last such update.
        self._stopped_by: dict[str, EndpointUpdate] = {}
        self._is_applying = False
        self._idle = asyncio.Event()
        self._idle.set()
        self._has_sent_list = False
        self._changes_to_log = ChangeSummary()

    def put(self, update: EndpointUpdate | None, kind: api.ListUpdateKind) -> None:
        """Apply an update after the pending ones; None confirms the current list.

        A repeated or cached update is applied before later updates from discovery, and dropped if a complete
        list from discovery is pending.
        """
        if self.pending and update is not None and _is_older(update, kind):
            self._put_first(update, kind)
            return
        if kind is api.ListUpdateKind.SNAPSHOT:  # A complete list supersedes all pending updates.
            self._stopped_by.clear()
            if self.pending:
                self.pending.clear()
                self.pending.append(PendingUpdate(update, kind))
                return
        if self.pending:
            self.pending.append(PendingUpdate(update, kind))
            if update is not None:
                self._stop_backends_early(update)
        elif update is None:
            self.on_applied(None, kind)
        elif self._is_short(update, kind):
            self._apply_at_once(update, kind)
        else:
            self.pending.append(PendingUpdate(update, kind))
            self._idle.clear()
            # If applying is in progress, `put` was called by `on_applied`, and the running task continues.
            if not self._is_applying:
                self.scheduler.add(self._apply_pending())

    async def wait_idle(self) -> None:
        """Wait until no update is pending."""
        await self._idle.wait()

    def _put_first(self, update: EndpointUpdate, kind: api.ListUpdateKind) -> None:
        if any(item.kind is api.ListUpdateKind.SNAPSHOT for item in self.pending):
            return
        if kind is api.ListUpdateKind.CACHED:
            self.pending = deque(item for item in self.pending if item.kind is not kind)
        self.pending.appendleft(PendingUpdate(update, kind))

    def _is_short(self, update: EndpointUpdate, kind: api.ListUpdateKind) -> bool:
        return len(update.members) <= MAX_SHORT_UPDATE_ENTRIES and (
            kind is api.ListUpdateKind.DELTA or len(self.pool.members) <= MAX_SHORT_UPDATE_ENTRIES
        )

    def _apply_at_once(self, update: EndpointUpdate, kind: api.ListUpdateKind) -> None:
        members = update.members
        if kind is not api.ListUpdateKind.DELTA:
            members += self._all_omitted_members(members)
        self._has_sent_list = True
        for member in members:
            self._changes_to_log.add_update(member, self.pool.members.get(member.backend))
        self.pool.update(members, False)
        self.send(api.ListUpdate(kind, list(update.members), update.revision))
        self._log_changes(update.revision)
        self.on_applied(update, kind)

    def _all_omitted_members(self, members: Batch) -> Batch:
        """Return the current members that a short complete list omits, marked as removed."""
        current = self.pool.members
        names = current.keys() - {member.backend for member in members}
        return tuple(replace(current[name], phase=api.EndpointPhase.REMOVED) for name in sorted(names))

    def _stop_backends_early(self, update: EndpointUpdate) -> None:
        """Send backends that a pending update drains or removes; earlier updates must not restart them."""
        last = {member.backend: member for member in update.members}
        stopped = [m for m in last.values() if m.phase is not api.EndpointPhase.IN_SERVICE]
        self._stopped_by |= dict.fromkeys([member.backend for member in stopped], update)
        if len(stopped) <= MAX_SHORT_UPDATE_ENTRIES:
            in_force = tuple(member for member in stopped if member.backend in self.pool.members)
            if in_force:
                self._send_batch(in_force, update.revision)

    # --- applying in slices

    def _apply_pending(self) -> Iterator[None]:
        """Apply all pending updates, one batch per slice; between slices `put` may replace the first one."""
        self._is_applying = True
        try:
            while self.pending:
                item = self.pending[0]
                for _ in self._apply(item.update, item.kind) if item.update is not None else ():
                    yield
                    if self.pending[0] is not item:
                        break
                if self.pending[0] is item:
                    self.pending.popleft()
                    members = self._finish(item)
                    del item
                    while members:  # Releasing all members at once would take a long slice.
                        del members[-ENTRIES_COMPARED_PER_SLICE:]
                        yield
        except Exception:  # A defect in one update must not block later ones.
            self.pending.clear()
            raise
        finally:
            self._is_applying = False
            self._idle.set()

    def _finish(self, item: PendingUpdate) -> list[Member]:
        """Report that an update is in force, and return its members, to be released in slices."""
        update = item.update
        self._stopped_by = {name: last for name, last in self._stopped_by.items() if last is not update}
        if update is not None:
            self._log_changes(update.revision)
        self.on_applied(update, item.kind)
        return list(update.members) if update is not None else []

    def _apply(self, update: EndpointUpdate, kind: api.ListUpdateKind) -> Iterator[None]:
        """Send one update to the decision module, one step in each slice."""
        if (by_id := update.by_id) is None:
            by_id = ShardedDict[Member]()  # If a backend is listed twice, its last entry counts.
            for chunk in _batches(update.members, ENTRIES_COMPARED_PER_SLICE):
                for member in chunk:
                    by_id[member.backend] = member
                yield
        removed = self._omitted_members(by_id) if kind is not api.ListUpdateKind.DELTA else ()
        # One batch is held back because the last one is marked as such, even if it is empty.
        held_back: Batch = ()
        for batch in chain(removed, self._changed_members(update.members, by_id)):
            if batch:
                if held_back:
                    self._send_batch(held_back, update.revision)
                held_back = batch
            yield
        self._send_batch(held_back, update.revision, more=False)

    def _send_batch(self, batch: Batch, revision: int, more: bool = True) -> None:
        # The first batch of a cached list makes the decision module call discovery. Later batches are deltas,
        # as another cached list would replace the first batch.
        kind = api.ListUpdateKind.DELTA if self._has_sent_list else api.ListUpdateKind.CACHED
        self._has_sent_list = True
        if self._stopped_by:
            in_service = api.EndpointPhase.IN_SERVICE
            batch = tuple(m for m in batch if m.phase is not in_service or m.backend not in self._stopped_by)
        self._changes_to_log.add_changed(batch)
        self.pool.update(batch, False)
        self.send(api.ListUpdate(kind, list(batch), revision, more))

    def _omitted_members(self, by_id: ShardedDict[Member]) -> Iterator[Batch]:
        """Yield members that a complete list omits, as removed; one empty batch if a shard has none."""
        for current, listed in zip(self.pool.members.shards, by_id.shards, strict=True):
            omitted = [member for name, member in current.items() if name not in listed]
            for chunk in _batches(omitted, BATCH_ENTRIES):
                yield tuple(
                    replace(m, phase=api.EndpointPhase.REMOVED) for m in chunk if m.backend in current
                )
            if not omitted:
                yield ()

    def _changed_members(self, members: Batch, by_id: ShardedDict[Member]) -> Iterator[Batch]:
        """Yield changed members: first those to drain or remove, then those in service, then all others."""
        current_parts = self.pool.members.shards
        listed_parts = by_id.shards
        in_service = list[Member]()
        others = list[Member]()
        for chunk in _batches(members, ENTRIES_COMPARED_PER_SLICE):
            stopped = []
            for member in chunk:
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
            yield from _batches(stopped, BATCH_ENTRIES) if stopped else ((),)
        yield from _batches(in_service, BATCH_ENTRIES)
        yield from _batches(others, BATCH_ENTRIES)

    # --- logging

    def _log_changes(self, revision: int) -> None:
        if text := self._changes_to_log.text():
            log.info("list: revision %d: %s", revision, text)
            self._changes_to_log = ChangeSummary()


def _is_older(update: EndpointUpdate, kind: api.ListUpdateKind) -> bool:
    """Return whether an update holds information from before the first message of discovery."""
    return update.is_repeated or kind is api.ListUpdateKind.CACHED


def _batches(items: Iterable[Item], size: int) -> Iterator[tuple[Item, ...]]:
    remaining = iter(items)
    while batch := tuple(islice(remaining, size)):
        yield batch
