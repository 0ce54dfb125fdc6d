"""Test in virtual time how many nodes recover from an outage of discovery."""

from __future__ import annotations

import asyncio
import math
import random
from dataclasses import replace
from pathlib import Path
from typing import cast

import pytest

from balancer.net.discovery import DiscoveryClient
from balancer.net.endpoints import Address
from tests.virtual_discovery import (
    NEW_REVISION,
    RECEIPT_DEADLINE_S,
    WATCHING_AND_POLLING,
    DiscoveryConnection,
    DiscoverySimulation,
)

NODE_COUNT = 200
DOWN_AT_S = 20.0
BACK_AT_S = 28.0
# Discovery serves 250 calls per second.
CALL_COST_S = 0.004
# Discovery fails a call that waits in its queue for longer than MAX_WAIT_S.
MAX_WAIT_S = 1.0


class OutageSimulation(DiscoverySimulation):
    """Many nodes and one discovery, which serves calls in order and has an outage.

    During the outage connections are refused or, with `is_cut_off`, hang.
    """

    def __init__(self, path: Path, must_subscribe: bool, is_cut_off: bool) -> None:
        super().__init__(path, must_subscribe, "no_response")
        self.is_cut_off = is_cut_off
        self.free_at = 0.0
        self.answered_at = list[float]()
        self.rejected_at = list[float]()

    async def dial(self, protocol: asyncio.Protocol, address: Address) -> None:
        self.dialled_at.append(self.now)
        if DOWN_AT_S <= self.now < BACK_AT_S:
            if self.is_cut_off:
                await asyncio.Event().wait()
            raise ConnectionRefusedError("refused")
        connection = DiscoveryConnection(self, protocol, "no_response")
        protocol.connection_made(connection)
        start = max(self.now, self.free_at)
        if start - self.now > MAX_WAIT_S:
            self.rejected_at.append(self.now)
            self.loop.call_later(MAX_WAIT_S, connection.rejects)
            return
        self.free_at = start + CALL_COST_S
        self.answered_at.append(self.now)
        revision = 8 if self.now < DOWN_AT_S else NEW_REVISION
        self.loop.call_at(self.free_at, connection.send_chunk, self.complete_list(revision=revision))
        for i in range(1, 30):
            self.loop.call_at(self.free_at + 2.0 * i, connection.send_chunk, b"\n", False)

    def run_outage(self) -> None:
        """Run all nodes through the outage, and check that each receives the new list by the deadline."""

        async def run_nodes() -> None:
            nodes = [self.node(replace(self.config, seed=i)) for i in range(NODE_COUNT)]
            await asyncio.sleep(DOWN_AT_S - self.now)
            for connection in self.connections:
                if self.is_cut_off:
                    connection.is_open = False
                else:
                    connection.abort()
            await asyncio.sleep(BACK_AT_S + RECEIPT_DEADLINE_S - self.now)
            assert len([update for update in self.updates if update.revision == NEW_REVISION]) == NODE_COUNT
            for node in nodes:
                cast(DiscoveryClient, node.discovery).watch(False)

        try:
            self.loop.run_until_complete(run_nodes())
        finally:
            self.loop.close()

    def max_calls(self, since: float, until: float, interval: float) -> int:
        """Return the highest number of calls dialled within any interval of this length in seconds."""
        times = [t for t in self.dialled_at if since <= t < until]
        return max(sum(t <= other < t + interval for other in times) for t in times)


@WATCHING_AND_POLLING
@pytest.mark.parametrize("is_cut_off", [False, True], ids=["refused", "cut off"])
def test_all_nodes_receive_the_list_by_the_deadline_after_an_outage_without_overload(
    tmp_path: Path, must_subscribe: bool, is_cut_off: bool
) -> None:
    random.seed(1)
    sim = OutageSimulation(tmp_path, must_subscribe, is_cut_off)
    sim.run_outage()
    assert sim.rejected_at == []
    # Each node needs exactly one call after the outage.
    assert len([at for at in sim.answered_at if at > BACK_AT_S]) == NODE_COUNT
    # Calls must be spread evenly during the last seconds of the outage and right after it.
    assert sim.max_calls(DOWN_AT_S + 4.0, BACK_AT_S, 1.0) <= (200 if is_cut_off else 140)
    assert sim.max_calls(BACK_AT_S, math.inf, 0.25) <= 0.25 / CALL_COST_S + 1
