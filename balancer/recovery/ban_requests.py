"""Handle operator requests to ban a backend or lift its ban; each waits for the disk and for its effect."""

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

REQUESTS_CLOSED = "recovery has failed or has been shut down, so it records no bans or lifts"
SYNC_TIMEOUT_S = 0.6  # a request must be answered before its caller's timeout of 1 s


class BanRequestError(BalancerError):
    """The tier's register could not record a request, so nothing has changed."""

    code = "RCV01"
    remedy = (
        "repeat the request; if it fails again, check the log of this node and the disk of durable.directory"
    )


@dataclass(slots=True)
class BanRequest:
    """Operator request that waits for its answer."""

    token: int
    backend: str
    done: asyncio.Future[bool]  # the result tells whether the backend is banned
    awaits_disk: bool = False
    is_being_applied: bool = False


@dataclass(slots=True, frozen=True)
class BanChange:
    """Change of a ban to apply at the node, and the request that it answers, if any."""

    action: actions.ApplyBan
    request: BanRequest | None


# Called with backend, banned, since (ms; 0 if unknown).
ApplyChange = Callable[[str, bool, float], Awaitable[None]]
HandleEvent = Callable[[events.Event, BanRequest | None], None]


class BanRequests:
    """Pending requests of a node and the queue of changes, which are applied one at a time."""

    def __init__(
        self,
        disk: DurableStore | None,
        apply_change: ApplyChange,
        handle_event: HandleEvent,
        is_banned: Callable[[str], bool],
        defects: DefectLog,
    ) -> None:
        """Start applying changes on the running event loop.

        Args:
            disk: Durable state of the node, or None if it has none.
            apply_change: Applies a change at the node.
            handle_event: Passes an event to the core, with the request that it belongs to.
            is_banned: Returns whether the register bans a backend.
            defects: Records unexpected exceptions that are raised while a change is applied.
        """
        self._disk = disk
        self._apply_change = apply_change
        self._handle_event = handle_event
        self._is_banned = is_banned
        self._defects = defects
        self._loop = asyncio.get_running_loop()
        self._pending: dict[int, BanRequest] = {}  # maps request tokens to pending requests
        self._last_token = 0
        self._is_closed = False
        self._changes: asyncio.Queue[BanChange] = asyncio.Queue()
        self._apply_task = self._loop.create_task(self._apply_changes())
        self._sync_tasks: set[asyncio.Task[None]] = set()

    def start(self, backend: str, banned: bool, now: float) -> BanRequest:
        """Start a request at `now` (node clock, ms)."""
        self._last_token += 1
        request = BanRequest(self._last_token, backend, self._loop.create_future())
        # Retrieves the exception, because asyncio logs an error for a request that nobody awaits.
        request.done.add_done_callback(lambda done: done.exception())
        if self._is_closed:
            request.done.set_exception(BanRequestError(REQUESTS_CLOSED))
        else:
            self._pending[request.token] = request
            self._handle_event(events.BanRequested(backend, banned, now, request.token), None)
        return request

    async def result(self, request: BanRequest) -> bool:
        """Wait until a request is recorded and in force; return whether its backend is banned.

        Raises:
            BalancerError: If the request failed.
        """
        try:
            async with asyncio.timeout(SYNC_TIMEOUT_S):
                return await asyncio.shield(request.done)
        except TimeoutError:
            if request.awaits_disk:
                self._write_completed(
                    request.token,
                    BanRequestError("the disk did not complete the write in time, so the request is undone"),
                )
        return await request.done

    async def applied(self) -> None:
        """Wait until all queued changes are in force."""
        await self._changes.join()

    def apply(self, action: actions.ApplyBan, request: BanRequest | None) -> None:
        """Queue a change to apply at the node; `request` is the one whose event caused it."""
        answered = request if request is not None and request.backend == action.backend else None
        if answered is not None:
            answered.is_being_applied = True
        self._changes.put_nowait(BanChange(action, answered))
        if self._disk is not None:  # a later start without recovery reads these records, not the register
            at = max(0.0, action.since_ms)
            record = BanSet(action.backend, at) if action.banned else BanLifted(action.backend, at)
            self._disk.append_unsynced(record)

    def persist(self, action: actions.PersistEntries) -> None:
        """Write entries to disk; report the result to the core if the action has a token."""
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
        self._sync_tasks.add(task)
        task.add_done_callback(self._sync_tasks.discard)

    def fail(self) -> None:
        """Fail all pending requests and reject later ones."""
        self._is_closed = True
        for token in list(self._pending):
            self._pending.pop(token).done.set_exception(BanRequestError(REQUESTS_CLOSED))

    def close(self) -> None:
        """Stop applying changes and reject later requests."""
        self._is_closed = True
        self._apply_task.cancel()
        for task in list(self._sync_tasks):
            task.cancel()

    async def _await_write(self, token: int, written: asyncio.Future[None] | None) -> None:
        failure: BalancerError | None = None
        if written is not None and self._disk is not None and self._disk.disabled_by is None:
            try:
                await written
            except BalancerError as err:
                failure = err
        elif written is not None:  # a disabled disk counts as no disk, so its error does not matter
            written.exception()
        if token in self._pending:
            self._write_completed(token, failure)

    def _write_completed(self, token: int, failure: BalancerError | None) -> None:
        """Report a completed write to the core, which may start another write for the same request."""
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
            failure: BalancerError | None = BanRequestError(
                "the node shut down before the change was in force"
            )
            try:
                failure = await self._apply_at_node(change.action)
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

    async def _apply_at_node(self, action: actions.ApplyBan) -> BalancerError | None:
        """Apply a change at the node; return the error of its request, or None if it is in force."""
        try:
            await self._apply_change(action.backend, action.banned, max(0.0, action.since_ms))
        except BalancerError as error:
            return error
        except Exception as error:  # a defect must not end the task that applies all later changes
            self._defects.record("applying a ban or lift", error)
            return BanRequestError(f"the node could not apply the ban or lift: {type(error).__name__}")
        return None


def saved_entries(saved: DurableState) -> tuple[BanEntry, ...]:
    """Return the register entries of a node's saved state."""
    rows = (row for by_node in saved.register.values() for row in by_node.values())
    return tuple(BanEntry(r.backend, r.node, r.incarnation, r.sequence, r.is_active, r.at_ms) for r in rows)
