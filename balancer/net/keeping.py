"""What a node keeps over a crash and takes up again: between its own types and those of the durable room.

Imported only where the fleet file has `[durable]` with a directory.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from pathlib import Path

from balancer import interface as api
from balancer.durable.records import Back, Listed, Out, Row, Sampled, Started, stamp
from balancer.durable.shell import Durable
from balancer.net.endpoints import EndpointUpdate, Member


class Keeping:
    """The durable state of one process of a node."""

    def __init__(self, directory: Path, node: str) -> None:
        self.durable = Durable.at(directory, node)
        self.kept = self.durable.read()

    def take_over(self, life: int) -> None:
        """Write from here on; `life` is this process's number among the members."""
        self.durable.take_over()
        self.durable.note(Started(life, stamp().wall))

    def known(self, told: EndpointUpdate) -> EndpointUpdate:
        """The list to begin with: the one kept or the one told at the start, whichever is newer."""
        if not self.kept.rows or self.kept.revision <= told.revision:
            return told
        return EndpointUpdate(self.kept.revision, True, tuple(map(_member, self.kept.rows.values())))

    def recovered(self) -> api.LearnedStateRestored | None:
        """What an earlier process had learned, and how long ago at least."""
        sampled = self.kept.sampled
        if sampled is None or not math.isfinite(age := sampled.at.age(stamp())):
            return None
        return api.LearnedStateRestored(sampled.learned, age)

    def listed(self, news: EndpointUpdate, kind: api.ListUpdateKind) -> None:
        """Discovery has told the list, or a change of it."""
        whole = kind is api.ListUpdateKind.SNAPSHOT
        self.durable.note(Listed(news.revision, whole, stamp().wall, list(map(_row, news.members))))

    def learned(self, what: Callable[[float], api.LearnedState], now: float, rate: float) -> None:
        """Keep a sample, unless the disk is behind: the next one will do. `rate`: requests a second."""
        if self.durable.idle:
            self.durable.note(Sampled(stamp(), what(now), rate))

    async def banned(self, backend: str, out: bool, at: float) -> None:
        """Returns once the ban or the return is on disk, where there is one. Raises BalancerError."""
        if self.durable.off is None:
            await self.durable.keep(Out(backend, at) if out else Back(backend, at))


def _row(member: Member) -> Row:
    m = member
    return Row(m.backend, *m.address, m.zone, m.kind, m.cell, m.weight, m.phase.value, m.started_at)


def _member(row: Row) -> Member:
    r, phase = row, api.EndpointPhase(row.phase)
    where = f"{r.host}:{r.port}"
    return Member(r.backend, r.zone, r.cell, r.weight, phase, r.started_at, r.kind, where)
