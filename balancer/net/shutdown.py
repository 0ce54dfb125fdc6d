"""Graceful shutdown: every accepted request is answered before SIGKILL comes."""

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

MAX_DEADLINE_S = 3.0  # of a request class, as far as the time until SIGKILL goes by it
KILL_DELAY_S = 0.7  # after that
ACCEPT_S = 0.8  # to go on accepting after SIGTERM: connections come for 0.4 s more
LAST_RESPONSE_MARGIN_S = 0.2  # before SIGKILL, for the last response to be written
EXIT_MARGIN_S = 0.1  # before SIGKILL, for it to be sent: the process has still to end
IDLE_CLOSE_MARGIN_S = 0.3  # before the last response, for a request that crosses the close of its connection


def seconds_until_kill(settings: Settings) -> float:
    """Return the least time from SIGTERM to SIGKILL."""
    longest_s = max(request_class.deadline_ms for request_class in settings.classes) / 1000
    return min(longest_s, MAX_DEADLINE_S) + KILL_DELAY_S


async def shut_down(
    node: Node, listener: Listener, slots: ProcessSlots, shares: DescriptorShares, fleet: Fleet | None
) -> None:
    """Answer all accepted requests and close all client connections."""
    loop = asyncio.get_running_loop()
    killed_at = loop.time() + seconds_until_kill(node.settings)
    last_response_at = killed_at - LAST_RESPONSE_MARGIN_S
    slots.refresh()
    node.has_successor = slots.has_peer
    node.is_stopping = True
    if fleet is not None and not node.has_successor:
        fleet.leave()
    idle_close_at = last_response_at - IDLE_CLOSE_MARGIN_S
    if node.has_successor and listener.socket is not None:
        shares.is_draining = steer_connections(listener.socket, 0 if slots.peer_started_first else 1)
        await asyncio.sleep(idle_close_at - loop.time())  # a request may come on any open connection
    else:
        await asyncio.sleep(min(ACCEPT_S, idle_close_at - loop.time()))
    listener.stop()
    await listener.wait_until_drained(max(0.0, last_response_at - loop.time()))
    await node.requests.finish(max(0.0, last_response_at - loop.time()))
    await listener.close(max(0.0, killed_at - EXIT_MARGIN_S - loop.time()))
