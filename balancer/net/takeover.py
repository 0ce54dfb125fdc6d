"""Takeover during an upgrade: a new process of the node inherits state from the old one."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import TYPE_CHECKING

from balancer.interface import TakeoverStarted
from balancer.net.descriptor_shares import DescriptorShares
from balancer.net.node import Node
from balancer.net.process_slots import REFRESH_INTERVAL_S
from balancer.net.state_handover import LEARNED_SUFFIX, READ_DELAY_S, consume_learned, write_learned

if TYPE_CHECKING:
    from balancer.net.fleet import Fleet

log = logging.getLogger(__name__)

DISCOVERY_TIMEOUT_S = 3.0  # A process that takes over must be ready within 6 s, even without discovery.


async def prepare_takeover(node: Node, shares: DescriptorShares, inherits_learned: bool) -> None:
    """Wait for the endpoint list and the descriptor share before this process listens along with the old one.

    With `inherits_learned`, the learned state of the old process is read soon after.
    """
    log.info("another process of this node runs: taking over")
    node.handle_event(TakeoverStarted())
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(DISCOVERY_TIMEOUT_S):
            await node.endpoints_received.wait()
            while not shares.has_guaranteed_share:
                await asyncio.sleep(REFRESH_INTERVAL_S)
    if inherits_learned:
        node.loop.call_later(READ_DELAY_S, _restore_learned, node)


def _restore_learned(node: Node) -> None:
    """Apply the learned state of the other process, if that has written any."""
    restored = consume_learned(node.shared_path.with_suffix(LEARNED_SUFFIX))
    if restored is not None:
        node.handle_event(restored)
        log.info("handover: learned state taken over, limit %.1f", restored.learned.limit)


def handle_peer_change(node: Node, fleet: Fleet | None, has_peer: bool) -> None:
    """Hand over to another process of the node that has started, or take over from one that has ended."""
    if node.is_stopping:
        return
    if has_peer:
        if fleet is not None:
            fleet.hand_over()
        if node.is_listening:
            write_learned(
                node.shared_path.with_suffix(LEARNED_SUFFIX), node.balancer.learned_state(node.now())
            )
    elif fleet is not None and node.is_listening:
        # A successor may have taken over the fleet's services and ended since.
        fleet.take_over()
        fleet.start()
