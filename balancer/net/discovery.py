"""Discovery client: decide which calls stay open and when to make the next one."""

from __future__ import annotations

import asyncio
import math
import random

from balancer.net.discovery_backoff import DiscoveryBackoff
from balancer.net.discovery_call import CallEnd, CallReason, CallStage, DiscoveryCall, max_object_bytes
from balancer.net.discovery_dialer import CallDialer
from balancer.net.discovery_log import DiscoveryLog
from balancer.net.discovery_receiver import DiscoveryReceiver
from balancer.net.endpoints import Address
from balancer.net.node import Node
from balancer.net.random_source import RandomSource

# Calls at earlier addresses of discovery are limited, because each open call takes a file descriptor.
MAX_OLD_ADDRESS_CALLS = 3


class DiscoveryClient:
    """Keeps the node's endpoint list up to date; the last list stays in force while discovery is unavailable.

    While the watch is on, there is exactly one of these: a watch call, a timer for the next one, or a timer
    of the decision module. A slow call, and calls at earlier addresses, may stay open in parallel.

    A call is not cancelled when the next one is due. Discovery serves calls in order, so a new call joins the
    end of its queue, while the response to the old call may already be on its way and counts as received.
    """

    def __init__(
        self, node: Node, address: Address, revision: int, random_source: RandomSource = random
    ) -> None:
        """Create a client that has made no call.

        Args:
            node: Receives the updates and the reports of failures.
            address: Address of discovery.
            revision: Revision of the node's current list.
            random_source: Draws timeouts and jitter.
        """
        self.node = node
        self.address = address
        # The current watch call, from the time at which it is dialled.
        self.watch_call: DiscoveryCall | None = None
        # The timer that opens the next watch call.
        self.retry_timer: asyncio.TimerHandle | None = None
        # An older watch that stays open because it is still receiving an object.
        self.slow_call: DiscoveryCall | None = None
        # Calls at earlier addresses stay open until they end or the new address answers.
        self.old_address_calls: list[DiscoveryCall] = []
        self._loop = asyncio.get_running_loop()
        self._log = DiscoveryLog(self._loop.time)
        self.receiver = DiscoveryReceiver(node, revision, self, self._log)
        self._dialer = CallDialer(node, self, self.receiver, self._log, random_source)
        self._backoff = DiscoveryBackoff(self._loop.time, random_source)
        self._is_watching = False
        # True while the retry timer waits to make the first call at a new address of discovery.
        self._awaits_new_address_call = False
        memory_mb = node.config.memory_mb
        self._log.object_limit(max_object_bytes(memory_mb), memory_mb)

    # --- requests of the node

    def watch(self, on: bool) -> None:
        """Start or stop watching the endpoint list."""
        self._is_watching = on
        if not on:
            self._close_all(CallEnd.CANCELLED)
        elif not self._awaits_new_address_call:
            self._open_watch(CallReason.REQUESTED)

    def fetch(self) -> None:
        """Request the complete list once."""
        self._dialer.dial_list(self.address, self.receiver.revision, CallReason.REQUESTED)

    def read_unread(self) -> None:
        """Apply what discovery has sent and the event loop has not read yet."""
        for call in (self.watch_call, self.slow_call, *self.old_address_calls):
            if call is not None:
                call.read_unread()

    def change_address(self, address: Address) -> None:
        """Switch to another address; the old one accepts no new calls and soon closes the open ones."""
        self.address = address
        self._backoff.reset()
        for call in (self.slow_call, self.watch_call):
            if call is not None and call.stage is CallStage.DIALLING:
                call.close(CallEnd.ADDRESS_CHANGED)
            elif call is not None:
                self.old_address_calls.append(call)
        while len(self.old_address_calls) > MAX_OLD_ADDRESS_CALLS:
            self.old_address_calls.pop(0).close(CallEnd.ADDRESS_CHANGED)
        self.watch_call = None
        self.slow_call = None
        self._cancel_timer()
        self._call_new_address()

    # --- callbacks of calls

    def may_become_slow(self, call: DiscoveryCall) -> bool:
        """Return whether the call may stay open in parallel with the next one."""
        return self.watch_call is call and self.slow_call is None

    def call_slowed(self, call: DiscoveryCall) -> None:
        """Make the next call while the slow one stays open."""
        self.watch_call = None
        self.slow_call = call
        self._retry(call, True)

    def call_ended(self, call: DiscoveryCall, is_silent: bool) -> None:
        """Schedule the next call, unless one exists already, as it does in parallel with a slow call."""
        self._backoff.call_ended(call)
        if call in self.old_address_calls:
            self._old_address_call_ended(call)
            return
        if call is self.slow_call:
            self.slow_call = None
            return
        if call.request.is_watch:
            self.watch_call = None
        if self._is_watching:
            self._retry(call, is_silent)

    def message_accepted(self, call: DiscoveryCall) -> None:
        """Close the calls that the call with the new message supersedes, and cancel the retry timer."""
        self._backoff.message_received(call)
        if call in (self.watch_call, self.slow_call):
            self._close_old_address_calls(CallEnd.SUPERSEDED)
        if call is self.slow_call:
            if self.watch_call is not None:
                self.watch_call.close(CallEnd.SUPERSEDED)
            self._cancel_timer()
            self.watch_call = call
            self.slow_call = None
        elif call is self.watch_call and self.slow_call is not None:
            self.slow_call.close(CallEnd.SUPERSEDED)
            self.slow_call = None

    def message_applied(self, call: DiscoveryCall) -> None:
        """Make the pending call at a new address if it has waited for this call."""
        if call in self.old_address_calls and self._awaits_new_address_call:
            self._call_new_address()

    def events_lost(self) -> None:
        """Close calls at earlier addresses, as their later events build on the lost ones."""
        self._close_old_address_calls(CallEnd.MALFORMED)

    # --- scheduling of the next call

    def _open_watch(self, reason: CallReason, is_urgent: bool = False) -> None:
        self._cancel_timer()
        if self._is_watching and self.watch_call is None:
            self.watch_call = self._dialer.dial_watch(self.address, self.receiver.revision, reason, is_urgent)

    def _call_new_address(self) -> None:
        """Call the new address once all calls at earlier addresses are answered or have waited long enough.

        Addresses may change in quick succession, and a call for each of them would overload discovery.
        """
        unanswered = [call.dialled_at for call in self.old_address_calls if call.stage is CallStage.SENT]
        due_at = max(unanswered, default=-math.inf) + self._backoff.max_address_change_wait_s
        if due_at <= self._loop.time():
            self._open_watch(CallReason.ADDRESS_CHANGED, is_urgent=True)
        else:
            self._schedule_new_address_call(due_at)

    def _schedule_new_address_call(self, due_at: float) -> None:
        self._cancel_timer()
        if self._is_watching:
            self._awaits_new_address_call = True
            self.retry_timer = self._loop.call_at(due_at, self._open_watch, CallReason.ADDRESS_CHANGED, True)

    def _old_address_call_ended(self, call: DiscoveryCall) -> None:
        self.old_address_calls.remove(call)
        if self._awaits_new_address_call and call.was_queued:
            # The ended call had waited in discovery's queue, so the next one joins it after a delay.
            self._schedule_new_address_call(self._loop.time() + self._backoff.contended_delay())
        elif self._awaits_new_address_call:
            self._call_new_address()

    def _retry(self, call: DiscoveryCall, is_silent: bool) -> None:
        """Schedule the next watch, or report the failure to a decision module that schedules calls itself.

        In both cases a watch that has timed out is reopened at once, and a second time if that fails: the
        decision module's first delay could exceed the time after which missed events count as received.
        """
        if is_silent:
            self._log.warn("discovery is silent: a call received no complete message in time")
        self._backoff.call_failed(call)
        was_established = call.is_established(self._loop.time())
        is_repeat_due = call.request.is_urgent and call.first_message_at is None
        if call.request.is_watch and is_silent and was_established:
            self._open_watch(CallReason.WATCH_SILENT, is_urgent=True)
        elif self.node.settings.must_subscribe and not is_repeat_due:
            if not call.has_delivered_list:
                self.node.discovery_failed(call.was_ended_by_discovery, call.was_queued)
        elif call.request.is_watch:
            self._schedule_retry(call)
        has_other_call = self.slow_call is not None or bool(self.old_address_calls)
        if self.node.fleet is not None and not (call.has_delivered_list or has_other_call):
            self.node.fleet.list_request_failed()

    def _schedule_retry(self, call: DiscoveryCall) -> None:
        is_slow = call is self.slow_call
        delay = self._backoff.next_delay(call, call.was_queued or (is_slow and self._backoff.is_contended))
        reason = CallReason.SLOW_CALL if is_slow else CallReason.RETRY
        self.retry_timer = self._loop.call_later(delay, self._open_watch, reason)

    # --- closing

    def _close_all(self, end: CallEnd) -> None:
        for call in (self.watch_call, self.slow_call):
            if call is not None:
                call.close(end)
        self.watch_call = None
        self.slow_call = None
        self._close_old_address_calls(end)
        self._cancel_timer()

    def _close_old_address_calls(self, end: CallEnd) -> None:
        for call in self.old_address_calls:
            call.close(end)
        self.old_address_calls.clear()

    def _cancel_timer(self) -> None:
        self._awaits_new_address_call = False
        if self.retry_timer is not None:
            self.retry_timer.cancel()
            self.retry_timer = None
