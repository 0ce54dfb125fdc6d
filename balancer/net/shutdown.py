"""Graceful shutdown: answer every accepted request before SIGKILL, finish what has begun until then."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from balancer.interface import Settings
from balancer.net.connection_steering import steer_connections
from balancer.net.descriptor_shares import DescriptorShares
from balancer.net.listener import Listener
from balancer.net.node import Node
from balancer.net.process_slots import ProcessSlots

if TYPE_CHECKING:
    from balancer.net.fleet import Fleet

MAX_DEADLINE_S = 3.0  # Class deadlines over 3 s do not extend the time between SIGTERM and SIGKILL.
KILL_DELAY_S = 0.7  # SIGKILL follows SIGTERM after the longest class deadline plus 0.7 s.
LAST_RESPONSE_MARGIN_S = 0.2  # Responses end 0.2 s before SIGKILL, so that the last can be written.
EXIT_MARGIN_S = 0.1  # Connections close 0.1 s before SIGKILL, because the process has yet to exit.
# New client connections still arrive for 0.4 s after SIGTERM. What SIGKILL finds unanswered is lost if it
# came over 0.7 s after SIGTERM, and a long response may take seconds.
LAST_REQUEST_AFTER_SIGTERM_S = 0.6
# Idle connections close 0.3 s before the last response, because a request may arrive during the close.
IDLE_CLOSE_MARGIN_S = 0.3


def seconds_until_kill(settings: Settings) -> float:
    """Return the minimum time from SIGTERM to SIGKILL."""
    longest_s = max(request_class.deadline_ms for request_class in settings.classes) / 1000
    return min(longest_s, MAX_DEADLINE_S) + KILL_DELAY_S


async def shut_down(
    node: Node,
    listener: Listener,
    slots: ProcessSlots,
    shares: DescriptorShares,
    fleet: Fleet | None,
    signalled_at: float,
) -> None:
    """Answer all accepted requests, then close all client connections.

    SIGKILL follows the signal of loop time `signalled_at`, however late it was handled. A response that has
    begun is not cut off for it, so this waits for its end: SIGKILL may come later, or never.
    """
    loop = asyncio.get_running_loop()
    killed_at = signalled_at + seconds_until_kill(node.settings)
    last_response_at = killed_at - LAST_RESPONSE_MARGIN_S
    slots.refresh()
    node.has_successor = slots.has_peer
    node.is_stopping = True
    if fleet is not None and not node.has_successor:
        fleet.leave()
    idle_close_at = min(signalled_at + LAST_REQUEST_AFTER_SIGTERM_S, last_response_at - IDLE_CLOSE_MARGIN_S)
    if node.has_successor and listener.socket is not None:
        shares.is_draining = steer_connections(listener.socket, 0 if slots.peer_started_first else 1)
    # Until idle connections are closed, a request may still arrive on any of them.
    await asyncio.sleep(idle_close_at - loop.time())
    listener.stop()
    await listener.wait_until_drained(max(0.0, last_response_at - loop.time()))
    await node.requests.finish(max(0.0, last_response_at - loop.time()))
    await listener.close(max(0.0, killed_at - EXIT_MARGIN_S - loop.time()))
    await listener.wait_until_delivered()
