"""Operators' requests to ban a backend or to lift its ban: they wait for the disk and for their effect."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from balancer.defects import DefectLog
from balancer.durable.records import BanLifted, BanSet, RegisterRow, RegisterRowsChanged
from balancer.durable.state import DurableState
from balancer.durable.store import DurableStore
from balancer.errors import BalancerError
from balancer.recovery import actions, events
from balancer.recovery.ban_register import BanEntry

FAILED = "recovery has failed"
SYNC_TIMEOUT_S = 0.6  # for which a request waits for the disk, of the 1 s that its caller waits


class BanRequestError(BalancerError):
    """A request could not be recorded in the tier's register, so nothing is changed."""

    code = "RCV01"
    remedy = "call again; where it stays so, see the log of this node and the disk of durable.directory"


@dataclass(slots=True)
class BanRequest:
    """An operator's request that waits for its answer."""

    token: int
    backend: str
    done: asyncio.Future[bool]  # whether the backend is banned
    awaits_disk: bool = False
    is_being_applied: bool = False


@dataclass(slots=True, frozen=True)
class BanChange:
    """A change for the node, and the request that it answers."""

    action: actions.ApplyBan
    request: BanRequest | None


ApplyChange = Callable[[str, bool, float], Awaitable[None]]  # backend, banned, since (ms; 0: unknown)
HandleEvent = Callable[[events.Event, BanRequest | None], None]


class BanRequests:
    """The pending requests of a node; changes are applied one by one."""

    def __init__(
        self,
        disk: DurableStore | None,
        apply_change: ApplyChange,
        handle_event: HandleEvent,
        is_banned: Callable[[str], bool],
        defects: DefectLog,
    ) -> None:
        """Start to apply changes on the running loop.

        Args:
            disk: Durable state of the node, if it has any.
            apply_change: Puts a change in force at the node.
            handle_event: Hands an event to the core, with the request that it is about.
            is_banned: Returns what the register says of a backend.
            defects: Takes what a change raises that is no error of an operator's.
        """
        self._disk = disk
        self._apply_change = apply_change
        self._handle_event = handle_event
        self._is_banned = is_banned
        self._defects = defects
        self._loop = asyncio.get_running_loop()
        self._pending: dict[int, BanRequest] = {}  # by token
        self._last_token = 0
        self._has_failed = False  # no request is accepted any more
        self._changes: asyncio.Queue[BanChange] = asyncio.Queue()
        self._applying = self._loop.create_task(self._apply_changes())
        self._syncing: set[asyncio.Task[None]] = set()

    def start(self, backend: str, banned: bool, now: float) -> BanRequest:
        """Start a request at `now` (node clock, ms)."""
        self._last_token += 1
        request = BanRequest(self._last_token, backend, self._loop.create_future())
        request.done.add_done_callback(lambda done: done.exception())  # not every request is waited for
        if self._has_failed:
            request.done.set_exception(BanRequestError(FAILED))
        else:
            self._pending[request.token] = request
            self._handle_event(events.BanRequested(backend, banned, now, request.token), None)
        return request

    async def result(self, request: BanRequest) -> bool:
        """Return whether the backend is banned, once that is recorded and in force.

        Raises:
            BalancerError: If the request failed.
        """
        try:
            async with asyncio.timeout(SYNC_TIMEOUT_S):
                return await asyncio.shield(request.done)
        except TimeoutError:
            if request.awaits_disk:
                self._write_completed(request.token, BanRequestError("the disk takes too long"))
        return await request.done

    async def applied(self) -> None:
        """Wait until all changes so far are in force."""
        await self._changes.join()

    def apply(self, action: actions.ApplyBan, request: BanRequest | None) -> None:
        """Apply a change; `request` is the one whose event brought it about."""
        answered = request if request is not None and request.backend == action.backend else None
        if answered is not None:
            answered.is_being_applied = True
        self._changes.put_nowait(BanChange(action, answered))
        if self._disk is not None:  # for a start without recovery
            at = max(0.0, action.since_ms)
            record = BanSet(action.backend, at) if action.banned else BanLifted(action.backend, at)
            self._disk.append_unsynced(record)

    def persist(self, action: actions.PersistEntries) -> None:
        """Write entries; those with a token are reported on."""
        record = RegisterRowsChanged(
            [
                RegisterRow(e.backend, e.node, e.incarnation, e.sequence, e.active, e.changed_at)
                for e in action.entries
            ]
        )
        if action.token is None:
            if self._disk is not None:
                self._disk.append_unsynced(record)
            return
        if (request := self._pending.get(action.token)) is not None:
            request.awaits_disk = True
        written = self._disk.submit(record) if self._disk is not None and action.entries else None
        task = self._loop.create_task(self._await_write(action.token, written))
        self._syncing.add(task)
        task.add_done_callback(self._syncing.discard)

    def fail(self) -> None:
        """Fail all requests, later ones too."""
        self._has_failed = True
        for token in list(self._pending):
            self._pending.pop(token).done.set_exception(BanRequestError(FAILED))

    def close(self) -> None:
        """Stop to apply changes; later requests fail."""
        self._has_failed = True
        self._applying.cancel()
        for task in list(self._syncing):
            task.cancel()

    async def _await_write(self, token: int, written: asyncio.Future[None] | None) -> None:
        failure: BalancerError | None = None
        if written is not None and self._disk is not None and self._disk.disabled_by is None:
            try:
                await written
            except BalancerError as err:
                failure = err
        elif written is not None:  # a disk that cannot be used counts as none
            written.exception()
        if token in self._pending:
            self._write_completed(token, failure)

    def _write_completed(self, token: int, failure: BalancerError | None) -> None:
        """Report a write; the core may ask for another one for the same request."""
        request = self._pending[token]
        request.awaits_disk = False
        self._handle_event(events.WriteCompleted(token, failure is None), request)
        if request.awaits_disk:
            return
        self._pending.pop(token, None)
        if request.done.done():
            return
        if failure is not None:
            request.done.set_exception(failure)
        elif not request.is_being_applied:
            request.done.set_result(self._is_banned(request.backend))

    async def _apply_changes(self) -> None:
        while True:
            change = await self._changes.get()
            failure: BalancerError | None = BanRequestError("the node is ending")
            try:
                failure = await self._applied_or_failure(change.action)
            finally:
                self._answer(change, failure)
                self._changes.task_done()

    @staticmethod
    def _answer(change: BanChange, failure: BalancerError | None) -> None:
        """Answer the request that a change belongs to, if there is one."""
        if change.request is None or change.request.done.done():
            return
        if failure is None:
            change.request.done.set_result(change.action.banned)
        else:
            change.request.done.set_exception(failure)

    async def _applied_or_failure(self, action: actions.ApplyBan) -> BalancerError | None:
        """Apply a change; return why its request fails, None if it is in force."""
        try:
            await self._apply_change(action.backend, action.banned, max(0.0, action.since_ms))
        except BalancerError as error:
            return error
        except Exception as error:  # the changes after it are to be applied all the same
            self._defects.record("a change of a ban", error)
            return BanRequestError(f"the node could not apply it: {type(error).__name__}")
        return None


def saved_entries(saved: DurableState) -> tuple[BanEntry, ...]:
    """Return the register as the disk has it."""
    rows = (row for by_node in saved.register.values() for row in by_node.values())
    return tuple(BanEntry(r.backend, r.node, r.incarnation, r.sequence, r.is_active, r.at_ms) for r in rows)
