"""The node's return with its tier: between its own types and those of the room. It decides nothing.

Imported only where the fleet file has `[recovery]`.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

from balancer import interface as api
from balancer.durable.records import Kept
from balancer.durable.shell import Durable
from balancer.errors import BalancerError
from balancer.membership.port import Port
from balancer.net import handover
from balancer.net.endpoints import EndpointUpdate, Member
from balancer.net.figures import End
from balancer.net.node import Node, Watcher
from balancer.recovery import events
from balancer.recovery.core import Config
from balancer.recovery.phases import Path as Way
from balancer.recovery.phases import Phase
from balancer.recovery.register import Row
from balancer.recovery.shell import CallError, Left, RecoveryShell
from balancer.recovery.trust import Kind

SUFFIX = ".return"  # of the file for a successor, beside the others by which a node's processes meet
LOOK, SOON = 0.02, 0.5  # s between two looks for it, and for which it is looked for
SMOOTH = 0.5  # of the requests a second, a second
FADES = 0.5 ** (1 / 600)  # of the most that was carried, a second: by half in 10 min

PHASES = {Phase.LISTED: api.RecoveryPhase.LISTED, Phase.WARMING: api.RecoveryPhase.WARMING,
          Phase.FULL: api.RecoveryPhase.FULL}  # fmt: skip


class Returning:
    """The return of one process of a node; to the module it is what brings the list."""

    def __init__(
        self, node: Node, watcher: Watcher, known: EndpointUpdate, port: Port, life: int, disk: Durable | None
    ) -> None:
        self.node, self.watcher, self.disk = node, watcher, disk
        self.kept = disk.kept if disk is not None else Kept()
        settings = node.settings
        self.shell = RecoveryShell(
            Config(ramp_time=settings.slow_start_ms), settings.me, life, node.config.seed, port, self, disk
        )
        self._lately = 0.0  # requests a second that were completed
        self.rate = self.kept.sampled.rate if self.kept.sampled is not None else 0.0
        self._pulsed: tuple[float, int, int] | None = None  # when, what had come, and was completed
        self._turn = False  # it may call discovery
        self._whole = False  # the module wants the whole list
        self._fresh = False  # discovery has told the list
        self._word: tuple[Phase, events.Admit | None] = (Phase.VERIFY, None)  # the module was told last
        self._saved = replace(known, members=tuple(map(_copy, known.members)))
        self._list = {m.backend: m for m in self._saved.members}
        self._restricted: frozenset[str] = frozenset()

    # --- the start

    async def returned(self, beside: bool, recovered: api.LearnedStateRestored | None) -> None:
        """Returns when the node may listen."""
        self.shell.tell(events.SavedIds(tuple(self._list)))
        left = await self._inherited() if beside else None
        if beside:
            # A predecessor from before the room is one that has served: nothing is cold.
            self.shell.inherit(left or Left(Phase.FULL, Way.UPGRADE, -math.inf, ()))
            if self.disk is not None and self.disk.off is None:  # it has had calls since this process began
                self.kept = self.disk.look()
        self.shell.begin(self.kept)
        await self.shell.served()
        if not beside:
            await self._reconcile()
        if recovered is not None and self.shell.trusts(Kind.LEARNED):
            self.node.event(recovered)

    def resume(self) -> None:
        """A successor has come to nothing; what was called there stands on the disk."""
        if self.disk is not None and self.disk.off is None:
            self.shell.rejoin(self.disk.look())

    async def _reconcile(self) -> None:
        """Bans that stand in `$TMPDIR` alone: a disk that holds has the last word, else they are taken up."""
        holds = self.disk is not None and self.disk.off is None and not (self.disk.lost or self.disk.fresh)
        for backend in sorted(self.node.bans.record.out):
            if self.shell.banned(backend):
                continue
            if holds or self.shell.knows(backend):
                await self.follow(backend, False, 0.0)
            else:
                with contextlib.suppress(BalancerError):
                    await self.shell.called(backend, True)

    async def _inherited(self) -> Left | None:
        """What the predecessor leaves, once it has seen this process."""
        path = self.node.meeting.with_suffix(SUFFIX)
        until = self.node.loop.time() + SOON
        while (left := take(path, self._clock())) is None and self.node.loop.time() < until:
            await asyncio.sleep(LOOK)
        return left

    def hand_over(self) -> None:
        """A successor has come."""
        give(self.node.meeting.with_suffix(SUFFIX), self.shell.left(), self._clock())

    def _clock(self) -> float:
        """The node's clock where the system's monotonic one is 0: that one all processes share."""
        return self.now() - time.monotonic() * 1000

    # --- what steers the node

    def now(self) -> float:
        """The node's clock, ms."""
        return self.node.now()

    async def follow(self, backend: str, out: bool, since: float) -> None:
        """The bans follow the register, in both processes of an upgrade."""
        await self.node.bans.follow(backend, out, since, self.node.settings.slow_start_ms)

    def admit(self, phase: Phase, admit: events.Admit | None) -> None:
        """Tell the module. What the list says of the backends' starts counts once discovery has told one."""
        self._word = phase, admit
        if admit is None:
            self.node.event(api.RecoveryProgressed(PHASES[phase], 1.0))
        else:
            since = 0.0 if self._fresh else admit.cold_since
            self.node.event(api.RecoveryProgressed(PHASES[phase], admit.share, since, admit.rate))

    def ask(self) -> None:
        """Discovery may be called: at once, whenever the module asks, as the turns have spread the calls."""
        self._turn = True
        self.watcher.watch(True)
        if self._whole:
            self._whole = False
            self.watcher.fetch()

    def restrict(self, ids: frozenset[str]) -> None:
        """The saved list anew, with these as leaving; once discovery has told one, what that did not name."""
        before, self._restricted = self._restricted, ids
        if not self._fresh:
            drained = [
                replace(m, phase=api.EndpointPhase.DRAINING)
                if m.backend in ids else _copy(m) for m in self._saved.members
            ]  # fmt: skip
            update = EndpointUpdate(self._saved.revision, True, tuple(drained))
            self.node.list(update, api.ListUpdateKind.CACHED)
        elif again := [_copy(m) for name, m in self._list.items() if name in before - ids]:
            update = EndpointUpdate(self._saved.revision, False, tuple(again), True)
            self.node.list(update, api.ListUpdateKind.DELTA)

    # --- what brings the list

    def watch(self, on: bool) -> None:
        """The module wants the watch, or no more of it: it is held until this node's turn."""
        if self._turn or not on:
            self.watcher.watch(on)

    def fetch(self) -> None:
        """The module wants the whole list."""
        if self._turn:
            self.watcher.fetch()
        else:
            self._whole = True

    def list_failed(self) -> None:
        """A call has failed: the next one waits for the next turn, until the list has been told."""
        if not self._fresh and self._turn and not self.shell.failed:
            self._turn = False
            self.watcher.watch(False)
            self.shell.tell(events.ListFailed())

    def listed(self, news: EndpointUpdate, kind: api.ListUpdateKind) -> None:
        """Discovery has told the list, or a change of it."""
        if kind is api.ListUpdateKind.SNAPSHOT:
            self._list, self._restricted = {}, frozenset()
        first, self._fresh = not self._fresh, True
        self._saved = replace(self._saved, revision=news.revision)
        self._list |= {m.backend: _copy(m) for m in news.members}
        self._restricted -= {m.backend for m in news.members}
        up = [m for m in self._list.values() if m.phase is api.EndpointPhase.IN_SERVICE]
        starts = tuple(entry.started_at for entry in up)
        self.shell.tell(events.Listed(news.revision, starts, tuple(entry.backend for entry in up)))
        if first and self._word[0] is Phase.WARMING:  # it may have been so while discovery was silent
            self.admit(*self._word)

    def unchanged(self) -> None:
        """Discovery has told by a word that the saved list holds."""
        self.listed(EndpointUpdate(self._saved.revision, False, ()), api.ListUpdateKind.DELTA)

    # --- for the operators

    async def banned(self, backend: str, out: bool) -> None:
        """Returns once a call is on record and in force. Raises BalancerError."""
        if await self.shell.called(backend, out) != out:
            raise CallError("at another node it was taken out at the same time")

    def waiting(self) -> str:
        """Why the node does not listen yet."""
        return f"recovering: {self.shell.core.phase.name.lower()}"

    def pulse(self) -> float:
        """Once a second: tell the room what came.

        Returns the most requests a second that the node has carried when warm; 0: unknown.
        """
        ends, now = self.node.figures.ends, self.node.loop.time()
        pending = sum(not request.answered for request in self.node.open.values())
        came = sum(counts.total() for counts in ends.values()) + pending
        before, self._pulsed = self._pulsed, (now, came, ends[End.COMPLETED].total())
        if before is None or now <= before[0]:
            return self.rate
        since = now - before[0]
        each = [(b - a) / since for a, b in zip(before[1:], self._pulsed[1:], strict=True)]
        if self.shell.core.phase is Phase.FULL:
            self._lately += SMOOTH * (each[1] - self._lately)
            self.rate = max(FADES * self.rate, self._lately)
        else:
            self.shell.tell(events.Demand(max(0.0, each[0])))
        return self.rate


def _copy(member: Member) -> Member:
    """The module changes the entries that it is given."""
    return replace(member)


def give(path: Path, left: Left, clock: float) -> None:
    """Leave it for the successor."""
    table = {"clock": clock, "phase": int(left.phase), "path": left.path.value,
             "cold_since": left.cold_since, "rows": left.rows}  # fmt: skip
    handover.leave(path, table, "recovery")


def take(path: Path, clock: float) -> Left | None:
    """What the predecessor has left, on this process's clock; None where there is nothing of use."""

    def read(raw: Any, age: float) -> Left:
        shift = clock - float(raw["clock"])
        rows = tuple(
            Row(str(name), int(node), int(life), int(seq), bool(live), float(at) + shift)
            for name, node, life, seq, live, at in raw["rows"]
        )
        return Left(Phase(raw["phase"]), Way(raw["path"]), float(raw["cold_since"]) + shift, rows)

    return handover.taken(path, read, "recovery")
