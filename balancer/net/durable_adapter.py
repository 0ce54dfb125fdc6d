"""Adapter between the node's types and the records of the durable store.

This module is imported only if the fleet file has `[durable]` with a directory.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from pathlib import Path

from balancer import interface as api
from balancer.durable.records import (
    BanLifted,
    BanSet,
    EndpointListReceived,
    EndpointRow,
    IncarnationStarted,
    LearnedSample,
)
from balancer.durable.store import DurableStore
from balancer.durable.timestamp import Timestamp
from balancer.net.endpoints import EndpointUpdate, Member


class DurableAdapter:
    """The durable state of one process of a node; `recovered` is the state that an earlier process saved."""

    def __init__(self, directory: Path, node: str) -> None:
        """Open the directory and recover the state that it holds."""
        self.store = DurableStore.open(directory, node)
        self.recovered = self.store.recover()

    def take_over(self, incarnation: int) -> None:
        """Become the writer of the directory; `incarnation` is that of this process in the membership."""
        self.store.take_over()
        self.store.append_unsynced(IncarnationStarted(incarnation, Timestamp.now().unix_ms))

    def newest_list(self, configured: EndpointUpdate) -> EndpointUpdate:
        """Return the endpoint list to start with: the recovered or the configured one, whichever is newer."""
        recovered = self.recovered
        if not recovered.endpoints or recovered.list_revision <= configured.revision:
            return configured
        members = tuple(map(_member_of, recovered.endpoints.values()))
        return EndpointUpdate(recovered.list_revision, True, members)

    def recovered_learned(self) -> api.LearnedStateRestored | None:
        """Return the learned state of an earlier process with its minimum age, or None if there is none."""
        sample = self.recovered.learned_sample
        if sample is None:
            return None
        age_ms = sample.taken_at.age_ms(Timestamp.now())
        if not math.isfinite(age_ms):
            return None
        return api.LearnedStateRestored(sample.learned, age_ms)

    def save_list(self, update: EndpointUpdate, kind: api.ListUpdateKind) -> None:
        """Save a complete endpoint list or a change of it, as received from discovery."""
        rows = list(map(_row_of, update.members))
        is_complete = kind is api.ListUpdateKind.SNAPSHOT
        received_at_ms = Timestamp.now().unix_ms
        self.store.append_unsynced(EndpointListReceived(update.revision, is_complete, received_at_ms, rows))

    def save_learned(
        self, sample: Callable[[float], api.LearnedState], now_ms: float, request_rate: float
    ) -> None:
        """Save a sample of the learned state, or skip it if the disk is still busy with earlier records.

        Args:
            sample: Returns the learned state of the decision module for a time of the node's clock.
            now_ms: Current time of the node's clock.
            request_rate: Requests per second of the node.
        """
        if self.store.is_idle:
            taken_at = Timestamp.now()
            self.store.append_unsynced(LearnedSample(taken_at, sample(now_ms), request_rate))

    async def save_ban(self, backend: str, is_banned: bool, at_ms: float) -> None:
        """Save a maintenance ban or its lift, and wait until it is on disk unless the store is disabled.

        Raises:
            BalancerError: The record may not be on disk.
        """
        if self.store.disabled_by is None:
            await self.store.append(BanSet(backend, at_ms) if is_banned else BanLifted(backend, at_ms))


def _row_of(member: Member) -> EndpointRow:
    host, port = member.address
    return EndpointRow(
        member.backend,
        host,
        port,
        member.zone,
        member.kind,
        member.cell,
        member.weight,
        member.phase.value,
        member.started_at,
    )


def _member_of(row: EndpointRow) -> Member:
    return Member(
        row.backend,
        row.zone,
        row.cell,
        row.weight,
        api.EndpointPhase(row.phase),
        row.started_at_ms,
        row.kind,
        f"{row.host}:{row.port}",
    )
