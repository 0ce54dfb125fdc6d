"""Client of discovery: which calls go on, and when the next one is made."""

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

MAX_FORMER_CALLS = 3  # each has a descriptor


class DiscoveryClient:
    """Keeps the node's endpoint list up to date; the last list stays in force while discovery is away.

    While the watch is wanted there is a watch call, or a timer for the next one, or the decision module has
    set its own; never two of these. In parallel a slow call may go on, and after a change of address those at
    former addresses.

    A call is not cancelled because the next one is due. Discovery takes calls in turn: the next one starts at
    the end of its queue, while a response to the former may be on its way and counts as received.
    """

    def __init__(
        self, node: Node, address: Address, revision: int, random_source: RandomSource = random
    ) -> None:
        """Begin without a call.

        Args:
            node: gets the updates, and hears of failures.
            address: of discovery.
            revision: of the list that the node has.
            random_source: draws timeouts and jitter.
        """
        self.node = node
        self.address = address
        self.watch_call: DiscoveryCall | None = None  # from the moment it is dialled
        self.retry_timer: asyncio.TimerHandle | None = None  # for the next watch
        self.slow_call: DiscoveryCall | None = None  # an older watch that still receives an object
        self.former_calls: list[DiscoveryCall] = []  # at former addresses: until they end, or are superseded
        self._loop = asyncio.get_running_loop()
        self._log = DiscoveryLog(self._loop.time)
        self.receiver = DiscoveryReceiver(node, revision, self, self._log)
        self._dialer = CallDialer(node, self, self.receiver, self._log, random_source)
        self._backoff = DiscoveryBackoff(self._loop.time, random_source)
        self._is_watching = False
        self._is_moving = False  # the timer is for the first call at a new address
        memory_mb = node.config.memory_mb
        self._log.object_limit(max_object_bytes(memory_mb), memory_mb)

    # --- what the node asks for

    def watch(self, on: bool) -> None:
        """Start or stop the watch."""
        self._is_watching = on
        if not on:
            self._close_all(CallEnd.CANCELLED)
        elif not self._is_moving:
            self._connect(CallReason.REQUESTED)

    def fetch(self) -> None:
        """Call for the complete list once."""
        self._dialer.dial_list(self.address, self.receiver.revision, CallReason.REQUESTED)

    def change_address(self, address: Address) -> None:
        """Go to another address: the old one accepts no calls, and soon sends nothing more."""
        self.address = address
        self._backoff.reset()
        for call in (self.slow_call, self.watch_call):
            if call is not None and call.stage is CallStage.DIALLING:
                call.close(CallEnd.ADDRESS_CHANGED)
            elif call is not None:
                self.former_calls.append(call)
        while len(self.former_calls) > MAX_FORMER_CALLS:
            self.former_calls.pop(0).close(CallEnd.ADDRESS_CHANGED)
        self.watch_call = None
        self.slow_call = None
        self._cancel_timer()
        self._call_new_address()

    # --- what becomes of calls

    def may_become_slow(self, call: DiscoveryCall) -> bool:
        """Return whether the call may go on in parallel with the next one."""
        return self.watch_call is call and self.slow_call is None

    def call_slowed(self, call: DiscoveryCall) -> None:
        """Make the next call; the slow one goes on."""
        self.watch_call = None
        self.slow_call = call
        self._retry(call, True)

    def call_ended(self, call: DiscoveryCall, is_silent: bool) -> None:
        """Make the next call, unless it is there already, as beside a slow one."""
        self._backoff.call_ended(call)
        if call in self.former_calls:
            self._former_call_ended(call)
            return
        if call is self.slow_call:
            self.slow_call = None
            return
        if call.request.is_watch:
            self.watch_call = None
        if self._is_watching:
            self._retry(call, is_silent)

    def message_accepted(self, call: DiscoveryCall) -> None:
        """Close the calls that the one with a message supersedes, and the timer for the next."""
        self._backoff.message_received(call)
        if call in (self.watch_call, self.slow_call):
            self._close_former(CallEnd.SUPERSEDED)
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
        """Make the call at a new address that has waited for this one."""
        if call in self.former_calls and self._is_moving:
            self._call_new_address()

    def events_lost(self) -> None:
        """Close former calls, which go on from the lost events."""
        self._close_former(CallEnd.MALFORMED)

    # --- the next call

    def _connect(self, reason: CallReason, is_urgent: bool = False) -> None:
        self._cancel_timer()
        if self._is_watching and self.watch_call is None:
            self.watch_call = self._dialer.dial_watch(self.address, self.receiver.revision, reason, is_urgent)

    def _call_new_address(self) -> None:
        """Call the new address once no former call is unanswered, or one has been for long.

        Addresses may change in quick succession: a call for each would overload discovery.
        """
        unanswered = [call.dialled_at for call in self.former_calls if call.stage is CallStage.SENT]
        due_at = max(unanswered, default=-math.inf) + self._backoff.max_unanswered_s
        if due_at <= self._loop.time():
            self._connect(CallReason.ADDRESS_CHANGED, is_urgent=True)
        else:
            self._call_new_address_at(due_at)

    def _call_new_address_at(self, due_at: float) -> None:
        self._cancel_timer()
        if self._is_watching:
            self._is_moving = True
            self.retry_timer = self._loop.call_at(due_at, self._connect, CallReason.ADDRESS_CHANGED, True)

    def _former_call_ended(self, call: DiscoveryCall) -> None:
        self.former_calls.remove(call)
        if self._is_moving and call.was_queued:  # the next one must not join the same queue at once
            self._call_new_address_at(self._loop.time() + self._backoff.contended_delay())
        elif self._is_moving:
            self._call_new_address()

    def _retry(self, call: DiscoveryCall, is_silent: bool) -> None:
        """Tell the decision module of a failed call where it calls itself, else schedule the next watch.

        A watch that has become silent is opened anew at once, and once more if that fails, in either case: in
        the module's first delay alone, what was missed may come to count as received.
        """
        if is_silent:
            self._log.warn("discovery is silent")
        self._backoff.call_failed(call)
        was_established = call.is_established(self._loop.time())
        is_repeat_due = call.request.is_urgent and call.first_message_at is None
        if call.request.is_watch and is_silent and was_established:
            self._connect(CallReason.WATCH_SILENT, is_urgent=True)
        elif self.node.settings.must_subscribe and not is_repeat_due:
            if not call.has_delivered_list:
                self.node.discovery_failed(call.was_ended_by_discovery, call.was_queued)
        elif call.request.is_watch:
            self._schedule_retry(call)
        has_other_call = self.slow_call is not None or bool(self.former_calls)
        if self.node.fleet is not None and not (call.has_delivered_list or has_other_call):
            self.node.fleet.list_request_failed()

    def _schedule_retry(self, call: DiscoveryCall) -> None:
        is_slow = call is self.slow_call
        delay = self._backoff.next_delay(call, call.was_queued or (is_slow and self._backoff.is_contended))
        reason = CallReason.SLOW_CALL if is_slow else CallReason.RETRY
        self.retry_timer = self._loop.call_later(delay, self._connect, reason)

    # --- the end of calls

    def _close_all(self, end: CallEnd) -> None:
        for call in (self.watch_call, self.slow_call):
            if call is not None:
                call.close(end)
        self.watch_call = None
        self.slow_call = None
        self._close_former(end)
        self._cancel_timer()

    def _close_former(self, end: CallEnd) -> None:
        for call in self.former_calls:
            call.close(end)
        self.former_calls.clear()

    def _cancel_timer(self) -> None:
        self._is_moving = False
        if self.retry_timer is not None:
            self.retry_timer.cancel()
            self.retry_timer = None
