"""Take-over at an upgrade: what the new process waits for and inherits, and what the old one hands over."""

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

DISCOVERY_TIMEOUT_S = 3.0  # for the endpoint list; a process that takes over has 6 s to be ready


async def prepare_takeover(node: Node, shares: DescriptorShares, inherits_learned: bool) -> None:
    """Wait until this process is as ready as the one it takes over from, before both listen.

    `inherits_learned`: whether it takes the other's learned state.
    """
    log.info("another process of this node runs: taking over")
    node.handle_event(TakeoverStarted())
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(DISCOVERY_TIMEOUT_S):
            await node.endpoints_received.wait()
            while not shares.has_enough:
                await asyncio.sleep(REFRESH_INTERVAL_S)
    if inherits_learned:
        node.loop.call_later(READ_DELAY_S, _inherit, node)


def _inherit(node: Node) -> None:
    """Go on from what the other process has learned, if it has written that."""
    restored = consume_learned(node.shared_path.with_suffix(LEARNED_SUFFIX))
    if restored is not None:
        node.handle_event(restored)
        log.info("handover: learned state taken over, limit %.1f", restored.learned.limit)


def handle_peer_change(node: Node, fleet: Fleet | None, has_peer: bool) -> None:
    """Hand over to another process of this node that has started, or take over if it has ended."""
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
        fleet.take_over()  # if a successor had done so and has ended
        fleet.start()
