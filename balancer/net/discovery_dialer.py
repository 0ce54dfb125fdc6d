"""Dials calls of discovery."""

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
from balancer.net.liveness import SILENCE_TIMEOUT_S, URGENT_MESSAGE_TIMEOUT_S
from balancer.net.node import Node
from balancer.net.random_source import RandomSource

CONNECT_TIMEOUT_S = 2.0


class CallDialer:
    """Dials calls; each gets the next number in the log."""

    def __init__(
        self,
        node: Node,
        owner: CallOwner,
        sink: MessageSink,
        log: DiscoveryLog,
        random_source: RandomSource,
    ) -> None:
        """Begin with no call.

        Args:
            node: has the memory limit and the scheduler.
            owner: hears of the calls' ends.
            sink: gets what calls receive.
            log: gets lines on the calls.
            random_source: draws the timeouts of silence.
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
        """Begin a watch for what is newer than a revision."""
        target = f"/discovery/hosts?watch=1&from={revision}"
        request = CallRequest(
            number=self._next_number(),
            address=address,
            target=target,
            is_watch=True,
            is_urgent=is_urgent,
            silence_timeout=self._draw_silence_timeout(),
            known_revision=revision,
        )
        return self._dial(request, reason)

    def dial_list(self, address: Address, revision: int, reason: CallReason) -> DiscoveryCall:
        """Begin a call for the complete list; the node has the list of a revision."""
        request = CallRequest(
            number=self._next_number(),
            address=address,
            target="/discovery/hosts",
            is_watch=False,
            is_urgent=False,
            silence_timeout=self._draw_silence_timeout(),
            known_revision=revision,
        )
        return self._dial(request, reason)

    def _next_number(self) -> int:
        self._call_count += 1
        return self._call_count

    def _draw_silence_timeout(self) -> float:
        return self._random_source.uniform(*SILENCE_TIMEOUT_S)

    def _dial(self, request: CallRequest, reason: CallReason) -> DiscoveryCall:
        object_limit = max_object_bytes(self._node.config.memory_mb)
        call = DiscoveryCall(request, self._owner, self._sink, self._node.scheduler, self._log, object_limit)
        host, port = request.address
        self._log.call(f"call {request.number} to {host}:{port} for {request.target}: {reason.value}")
        task = self._loop.create_task(self._connect(call))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return call

    async def _connect(self, call: DiscoveryCall) -> None:
        timeout = URGENT_MESSAGE_TIMEOUT_S if call.request.is_urgent else CONNECT_TIMEOUT_S
        try:
            async with asyncio.timeout(timeout):
                await self._loop.create_connection(lambda: call, *call.request.address)
        except (OSError, TimeoutError) as err:
            if not call.is_ended:
                self._log.warn("discovery: no connection", str(err) or "timed out")
            call.end(CallEnd.NO_CONNECTION)
