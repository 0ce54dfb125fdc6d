"""The return of one node on the tier's port, its disk and its timer. It decides nothing.

Where the core fails by a defect, or its port cannot be had, the node goes on alone: nothing here may keep it
from serving.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from balancer.durable.records import Back, Flag, Flagged, Kept, Out, stamp
from balancer.durable.shell import Durable
from balancer.errors import BalancerError
from balancer.membership.port import RECOVERY, Moved, Port
from balancer.recovery import events
from balancer.recovery.ban_migration import calls
from balancer.recovery.ban_register import BanEntry
from balancer.recovery.core import Recovery, RecoveryConfig
from balancer.recovery.phases import Phase, RecoveryPath
from balancer.recovery.trust import StateKind

log = logging.getLogger(__name__)

MARGIN = 500.0  # ms past the longest roll call, after which the node serves whatever became of the room
SYNC = 0.6  # s that a call waits for the disk, of the 1 s that its caller waits


class RecoveryHost(Protocol):
    """The node, as far as its return steers it."""

    def now(self) -> float:
        """Its clock, ms."""

    async def follow(self, backend: str, out: bool, since: float) -> None:
        """Its bans follow the register; `since` is Unix time, ms, 0 where nobody knows."""

    def admit(self, phase: Phase, admit: events.CapacityGranted | None) -> None:
        """What it may put on cold backends; None: whatever it would without the room."""

    def ask(self) -> None:
        """It may call discovery."""

    def restrict(self, ids: frozenset[str]) -> None:
        """Of its saved list it avoids these, in place of any before."""


@dataclass(slots=True)
class Call:
    """An operator's call that waits for its answer."""

    backend: str
    done: asyncio.Future[bool]  # whether the backend is out
    waits: bool = False  # for the disk
    told: bool = False  # its word is on its way to the node


@dataclass(slots=True, frozen=True)
class RecoveryHandover:
    """What a process leaves to its successor."""

    phase: Phase
    path: RecoveryPath
    cold_since: float  # ms, node clock
    rows: tuple[BanEntry, ...]


class BanCallError(BalancerError):
    """A call could not be put on the record that the tier shares, so nothing is changed."""

    code = "RCV01"
    remedy = "call again; where it stays so, see the log of this node and the disk of durable.directory"


class RecoveryShell:
    """The room of one process of a node."""

    def __init__(
        self,
        config: RecoveryConfig,
        me: int,
        life: int,
        seed: int,
        port: Port,
        node: RecoveryHost,
        disk: Durable | None,
    ) -> None:
        self.config, self.port, self.node, self.disk = config, port, node, disk
        self.loop = asyncio.get_running_loop()
        self.core = Recovery(config, me, len(port.peers), life, seed, node.now())
        self.failed = False
        self.serving = asyncio.Event()  # from the phase LISTED on
        self._admit: events.CapacityGranted | None = None
        self._said: tuple[Phase, events.CapacityGranted | None] = (Phase.FULL, None)
        self._timer: asyncio.TimerHandle | None = None
        self._due = float("inf")
        self._calls: dict[int, Call] = {}
        self._token = 0
        self._earlier: list[Call] = []  # of bans from before the register
        self._words: asyncio.Queue[tuple[events.ApplyBan, Call | None]] = asyncio.Queue()
        self._follower = self.loop.create_task(self._follow())
        self._syncing: set[asyncio.Task[None]] = set()
        port.register(RECOVERY, lambda source, data: self.tell(events.DatagramReceived(source, data)))

    # --- the start

    def begin(self, kept: Kept) -> None:
        """The node starts from what its disk has kept."""
        disk = self.disk
        rows = rows_of(kept)
        sampled = kept.sampled
        self.tell(events.DiskRead(
            sound=disk is None or (disk.off is None and not disk.lost),
            fresh_disk=disk is None or disk.fresh,
            life=kept.life,
            age_ms=sampled.at.age(stamp()) if sampled is not None else float("inf"),
            rows=rows,
            revision=kept.revision,
            rate=sampled.rate if sampled is not None else 0.0,
        ))  # fmt: skip
        self._earlier = [self._call(backend, out)[0] for backend, out in calls(kept.out, rows)]

    def inherit(self, left: RecoveryHandover) -> None:
        """The node goes on from where the process before it was."""
        self.tell(events.StateInherited(left.phase, left.path, left.cold_since, left.rows))

    def rejoin(self, kept: Kept) -> None:
        """Another process of the node, which is gone, may have had calls that only the disk knows."""
        self.tell(
            events.StateInherited(Phase.VERIFY, RecoveryPath.UPGRADE, self.core.cold_since, rows_of(kept))
        )

    async def served(self) -> None:
        """Returns when the node may listen: the bans are learned and in force, or enough has been waited."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout((self.config.ask_most + MARGIN) / 1000):
                await self.serving.wait()
                if self._earlier:
                    await asyncio.wait([call.done for call in self._earlier])
                await self._words.join()
        if not self.serving.is_set():
            log.warning("recovery: no phase came in time; the node goes on alone")
            self.serving.set()

    def left(self) -> RecoveryHandover:
        """For a successor."""
        core = self.core
        return RecoveryHandover(core.phase, core.path, core.cold_since, tuple(core.register.rows()))

    # --- events

    def tell(self, event: events.Event, call: Call | None = None) -> None:
        """Hand an event to the core and do what it says."""
        if self.failed:
            return
        try:
            actions = self.core.handle(self.node.now(), event)
        except Exception:  # guards the node against a defect of this room
            log.exception("recovery: %s failed; the node goes on alone", type(event).__name__)
            self._give_up()
            return
        for action in actions:
            self._act(action, call)
        self._steer()
        self._arm()

    def members(self, lives: Mapping[int, int], quorum: bool) -> None:
        """Who is present, by the membership."""
        self.tell(events.MembershipChanged(lives, quorum))

    def moved(self, moved: Moved) -> None:
        """The port has another list of addresses."""
        self.tell(events.PeersChanged(moved.count, moved.replaced))

    async def called(self, backend: str, out: bool) -> bool:
        """An operator's call; whether the backend is out, once that is on record. Raises BalancerError."""
        call, token = self._call(backend, out)
        try:
            async with asyncio.timeout(SYNC):
                return await asyncio.shield(call.done)
        except TimeoutError:
            if call.waits:
                self._synced(token, BanCallError("the disk takes too long"))
        return await call.done

    def trusts(self, kind: StateKind) -> bool:
        """Whether what was kept of a kind may be used now."""
        return not self.failed and self.core.trusts(kind)

    def banned(self, backend: str) -> bool:
        """The register's word."""
        return self.core.register.banned(backend)

    def knows(self, backend: str) -> bool:
        """Whether the register has a word on a backend."""
        return any(row.backend == backend for row in self.core.register.rows())

    # --- actions

    def _act(self, action: events.Action, call: Call | None) -> None:
        match action:
            case events.SendDatagram():
                self.port.send(action.node, action.data)
            case events.PersistEntries():
                self._keep(action)
            case events.ApplyBan():
                answers = call if call is not None and call.backend == action.backend else None
                if answers is not None:
                    answers.told = True
                self._words.put_nowait((action, answers))
                if self.disk is not None:  # for a start without this room
                    at = max(0.0, action.since_ms)
                    self.disk.note(Out(action.backend, at) if action.out else Back(action.backend, at))
            case events.RequestList():
                self.node.ask()
            case events.RestrictSavedList():
                self.node.restrict(action.ids)
            case events.PhaseEntered():
                log.info("recovery: phase %s, path %s: %s", action.phase.name.lower(), action.path.value,
                         action.reason)  # fmt: skip
            case events.CapacityGranted():
                self._admit = action

    def _steer(self) -> None:
        """Tell the node what has changed for its requests."""
        phase = self.core.phase
        if phase < Phase.LISTED:
            return
        now = (phase, None if phase is Phase.FULL else self._admit)
        if now != self._said:
            self._said = now
            self.node.admit(*now)
        self.serving.set()

    def _arm(self) -> None:
        due = self.core.due
        if due < self._due:
            if self._timer is not None:
                self._timer.cancel()
            self._due = due
            self._timer = self.loop.call_later(max(1.0, due - self.node.now()) / 1000, self._tick)

    def _tick(self) -> None:
        self._due, self._timer = float("inf"), None
        self.tell(events.Tick())

    def _give_up(self) -> None:
        self.failed = True
        for token in list(self._calls):
            self._calls.pop(token).done.set_exception(BanCallError("the room of the return has failed"))
        self.node.restrict(frozenset())
        self.node.admit(Phase.FULL, None)
        self.node.ask()
        self.serving.set()

    # --- the disk

    def _call(self, backend: str, out: bool) -> tuple[Call, int]:
        self._token += 1
        token = self._token
        call = self._calls[token] = Call(backend, self.loop.create_future())
        call.done.add_done_callback(lambda done: done.exception())  # not every call is waited for
        if self.failed:
            self._calls.pop(token).done.set_exception(BanCallError("the room of the return has failed"))
        else:
            self.tell(events.BanRequested(backend, out, self.node.now(), token))
        return call, token

    def _keep(self, action: events.PersistEntries) -> None:
        record = Flagged([Flag(r.backend, r.node, r.life, r.seq, r.live, r.at) for r in action.rows])
        if action.token is None:
            if self.disk is not None:
                self.disk.note(record)
            return
        if (call := self._calls.get(action.token)) is not None:
            call.waits = True
        put = self.disk.put(record) if self.disk is not None and action.rows else None
        task = self.loop.create_task(self._sync(action.token, put))
        self._syncing.add(task)
        task.add_done_callback(self._syncing.discard)

    async def _sync(self, token: int, put: asyncio.Future[None] | None) -> None:
        why: BalancerError | None = None
        if put is not None and self.disk is not None and self.disk.off is None:
            try:
                await put
            except BalancerError as err:
                why = err
        elif put is not None:  # without a disk that can be used a call is answered as it would be without one
            put.exception()
        if token in self._calls:
            self._synced(token, why)

    def _synced(self, token: int, why: BalancerError | None) -> None:
        """The rows of a call are on the disk, or not; it may be that others have to be written for it."""
        call = self._calls[token]
        call.waits = False
        self.tell(events.WriteCompleted(token, why is None), call)
        if call.waits:
            return
        self._calls.pop(token, None)
        if why is not None and not call.done.done():
            call.done.set_exception(why)
        elif not call.told and not call.done.done():
            call.done.set_result(self.banned(call.backend))

    async def _follow(self) -> None:
        while True:
            word, call = await self._words.get()
            try:
                await self.node.follow(word.backend, word.out, max(0.0, word.since_ms))
            finally:
                if call is not None and not call.done.done():
                    call.done.set_result(word.out)
                self._words.task_done()

    # --- the end

    def leave(self) -> None:
        """The node ends, and nobody takes its place."""
        self.tell(events.ShutdownStarted())

    def close(self) -> None:
        """Fall silent."""
        self.failed = True
        if self._timer is not None:
            self._timer.cancel()
        self._follower.cancel()
        for task in list(self._syncing):
            task.cancel()

    def stats(self) -> dict[str, object]:
        """What operators are shown."""
        return {**self.core.stats(), "failed": self.failed}


def rows_of(kept: Kept) -> tuple[BanEntry, ...]:
    """The register as the disk has it."""
    flags = (flag for held in kept.flags.values() for flag in held.values())
    return tuple(BanEntry(f.backend, f.node, f.life, f.seq, f.live, f.at) for f in flags)
