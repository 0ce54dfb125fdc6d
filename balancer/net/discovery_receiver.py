"""Decode the messages of discovery calls and apply them to the node by revision."""

from __future__ import annotations

from collections import deque
from collections.abc import Generator, Iterator
from dataclasses import dataclass
from mmap import mmap
from typing import Protocol

from balancer import interface as api
from balancer.net.discovery_call import CallEnd, DiscoveryCall, Message
from balancer.net.discovery_log import DiscoveryLog
from balancer.net.endpoint_decoder import decode_update, decode_update_in_slices
from balancer.net.endpoints import EndpointListError, EndpointUpdate
from balancer.net.json_stream import JsonStreamError
from balancer.net.node import Node

DONE = object()


class ReceiverListener(Protocol):
    """Listener for the results of processing messages."""

    def message_accepted(self, call: DiscoveryCall) -> None:
        """Handle a valid message before it is applied."""

    def message_applied(self, call: DiscoveryCall) -> None:
        """Handle a message after it was passed to the node."""

    def events_lost(self) -> None:
        """Handle the loss of events, which makes open calls that build on them useless."""


@dataclass(slots=True, frozen=True)
class ReceivedMessage:
    """A message and the call that received it."""

    call: DiscoveryCall
    message: Message


class DiscoveryReceiver:
    """Processes messages in order: immediately, or in slices of the event loop once a long list arrives."""

    def __init__(self, node: Node, revision: int, listener: ReceiverListener, log: DiscoveryLog) -> None:
        """Create a receiver without messages.

        Args:
            node: Receives the updates.
            revision: Revision of the node's current list.
            listener: Is notified of the result of processing each message.
            log: Receives warnings about malformed lists.
        """
        self.revision = revision
        self.queue: deque[ReceivedMessage] = deque()
        self._node = node
        self._listener = listener
        self._log = log
        # The call whose message is being processed.
        self._current: DiscoveryCall | None = None

    def put(self, call: DiscoveryCall, message: Message) -> None:
        """Process a message after all earlier ones."""
        self.queue.append(ReceivedMessage(call, message))
        if self._current is None:
            steps = self._process_queue()
            if next(steps, DONE) is not DONE:
                self._node.scheduler.add(steps)
        call.update_flow_control()

    def has_messages_of(self, call: DiscoveryCall) -> bool:
        """Return whether messages of the call are still unprocessed."""
        return call is self._current or any(call is item.call for item in self.queue)

    def apply(self, call: DiscoveryCall, update: EndpointUpdate) -> None:
        """Apply an update, unless it is an event with an older revision than the node's list.

        A watch starts with an event of the node's own revision if nothing has changed. A complete list may
        have an older revision after a restart of discovery. If another call has delivered a newer revision
        since this call was dialled, the older list may just be outdated, so this call is ended: the next one
        sends the node's revision, and its response can be relied on.
        """
        is_overtaken = call.known_revision < self.revision and update.revision < self.revision
        if update.complete and is_overtaken:
            call.end(CallEnd.SUPERSEDED)
            return
        if update.complete:
            self.revision = update.revision
            self._node.update_endpoints(update, api.ListUpdateKind.SNAPSHOT)
        elif update.revision > self.revision:
            self.revision = update.revision
            self._node.update_endpoints(update, api.ListUpdateKind.DELTA)
        elif update.revision == self.revision:
            self._node.endpoints_unchanged()
        call.known_revision = self.revision

    def _process_queue(self) -> Iterator[None]:
        while self.queue:
            item = self.queue.popleft()
            call = item.call
            self._current = call
            try:
                for _ in self._process(call, item.message):
                    yield
                    if call.is_ended:
                        break
            except Exception:
                # After a defect the lost event must not be followed by later ones of the same call.
                call.end(CallEnd.MALFORMED)
                raise
            finally:
                self._current = None
            call.update_flow_control()

    def _process(self, call: DiscoveryCall, message: Message) -> Iterator[None]:
        """Process one message, unless its call has been closed."""
        if call.is_ended:
            return
        if isinstance(message, CallEnd):
            call.end(message)
            return
        try:
            update = yield from self._decode(message)
        except (EndpointListError, JsonStreamError) as err:
            self._reject(call, err)
            return
        except (ValueError, RecursionError) as err:
            self._reject(call, JsonStreamError(str(err)))
            return
        self._accept(call, update)

    def _decode(
        self, message: bytes | mmap | JsonStreamError
    ) -> Generator[None, None, EndpointUpdate | None]:
        """Decode a message; return None for an empty line. Raises JsonStreamError or as `decode_update`."""
        if isinstance(message, JsonStreamError):
            raise message
        if isinstance(message, mmap):
            return (yield from decode_update_in_slices(message, self._node.member))
        return decode_update(message, self._node.member) if message else None

    def _accept(self, call: DiscoveryCall, update: EndpointUpdate | None) -> None:
        call.message_received()
        self._listener.message_accepted(call)
        if update is None:
            self._node.endpoints_unchanged()
        else:
            call.has_delivered_list = not call.request.is_watch
            self.apply(call, update)
        self._listener.message_applied(call)

    def _reject(self, call: DiscoveryCall, err: EndpointListError | JsonStreamError) -> None:
        """End the call and request a complete list next, because no later event repeats the rejected one."""
        if call.is_ended:
            return
        self._log.warn("discovery: bad list", err.summary)
        self.revision = 0
        self._listener.events_lost()
        call.end(CallEnd.MALFORMED)
