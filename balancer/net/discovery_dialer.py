"""Dial calls to discovery."""

from __future__ import annotations

import asyncio

from balancer.net.discovery_call import (
    CallEnd,
    CallOwner,
    CallReason,
    CallRequest,
    DiscoveryCall,
    MessageSink,
    max_object_bytes,
)
from balancer.net.discovery_log import DiscoveryLog
from balancer.net.endpoints import Address
from balancer.net.liveness import SILENCE_TIMEOUT_RANGE_S, URGENT_MESSAGE_TIMEOUT_S
from balancer.net.node import Node
from balancer.net.random_source import RandomSource

CONNECT_TIMEOUT_S = 2.0


class CallDialer:
    """Dials calls to discovery and numbers them for the log."""

    def __init__(
        self,
        node: Node,
        owner: CallOwner,
        sink: MessageSink,
        log: DiscoveryLog,
        random_source: RandomSource,
    ) -> None:
        """Create a dialer that has made no call.

        Args:
            node: Provides the memory limit and the scheduler.
            owner: Is notified when calls end.
            sink: Processes the messages that calls receive.
            log: Receives a line for each call.
            random_source: Draws the silence timeouts.
        """
        self._node = node
        self._owner = owner
        self._sink = sink
        self._log = log
        self._random_source = random_source
        self._loop = asyncio.get_running_loop()
        self._call_count = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def dial_watch(
        self, address: Address, revision: int, reason: CallReason, is_urgent: bool
    ) -> DiscoveryCall:
        """Open a watch for changes after `revision`."""
        target = f"/discovery/hosts?watch=1&from={revision}"
        request = CallRequest(
            number=self._next_number(),
            address=address,
            target=target,
            is_watch=True,
            is_urgent=is_urgent,
            silence_timeout_s=self._draw_silence_timeout(),
            known_revision=revision,
        )
        return self._dial(request, reason)

    def dial_list(self, address: Address, revision: int, reason: CallReason) -> DiscoveryCall:
        """Request the complete list; `revision` is that of the node's current list."""
        request = CallRequest(
            number=self._next_number(),
            address=address,
            target="/discovery/hosts",
            is_watch=False,
            is_urgent=False,
            silence_timeout_s=self._draw_silence_timeout(),
            known_revision=revision,
        )
        return self._dial(request, reason)

    def _next_number(self) -> int:
        self._call_count += 1
        return self._call_count

    def _draw_silence_timeout(self) -> float:
        return self._random_source.uniform(*SILENCE_TIMEOUT_RANGE_S)

    def _dial(self, request: CallRequest, reason: CallReason) -> DiscoveryCall:
        object_limit_bytes = max_object_bytes(self._node.config.memory_mb)
        call = DiscoveryCall(
            request, self._owner, self._sink, self._node.scheduler, self._log, object_limit_bytes
        )
        host, port = request.address
        self._log.call(f"call {request.number} to {host}:{port} for {request.target}: {reason.value}")
        task = self._loop.create_task(self._connect(call))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return call

    async def _connect(self, call: DiscoveryCall) -> None:
        timeout_s = URGENT_MESSAGE_TIMEOUT_S if call.request.is_urgent else CONNECT_TIMEOUT_S
        try:
            async with asyncio.timeout(timeout_s):
                await self._loop.create_connection(lambda: call, *call.request.address)
        except (OSError, TimeoutError) as err:
            if not call.is_ended:
                self._log.warn("discovery: no connection", str(err) or "timed out")
            call.end(CallEnd.NO_CONNECTION)
