"""Decodes what calls of discovery receive, and applies it to the node by its revision."""

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
    """Hears what becomes of messages."""

    def message_accepted(self, call: DiscoveryCall) -> None:
        """Handle a valid message, before it is applied."""

    def message_applied(self, call: DiscoveryCall) -> None:
        """Handle that a message was passed to the node."""

    def events_lost(self) -> None:
        """Handle that events were lost: calls that go on from them are of no use."""


@dataclass(slots=True, frozen=True)
class ReceivedMessage:
    """A message and the call that received it."""

    call: DiscoveryCall
    message: Message


class DiscoveryReceiver:
    """Processes messages in order: at once, or in slices from the first long list on."""

    def __init__(self, node: Node, revision: int, listener: ReceiverListener, log: DiscoveryLog) -> None:
        """Begin with the revision of the node's list.

        Args:
            node: gets the updates.
            revision: of the list that the node has.
            listener: hears what becomes of messages.
            log: gets lines on malformed lists.
        """
        self.revision = revision
        self.queue: deque[ReceivedMessage] = deque()
        self._node = node
        self._listener = listener
        self._log = log
        self._current: DiscoveryCall | None = None  # its message is being processed

    def put(self, call: DiscoveryCall, message: Message) -> None:
        """Process a message after all that came before it."""
        self.queue.append(ReceivedMessage(call, message))
        if self._current is None:
            work = self._process_queue()
            if next(work, DONE) is not DONE:
                self._node.scheduler.add(work)
        call.update_flow_control()

    def has_messages_of(self, call: DiscoveryCall) -> bool:
        """Return whether a message of the call is not processed yet."""
        return call is self._current or any(call is item.call for item in self.queue)

    def apply(self, call: DiscoveryCall, update: EndpointUpdate) -> None:
        """Apply an update by its revision: an event that is not newer than the node's list is an old one.

        A watch begins with an event of the same revision where nothing has changed. A complete list may be
        older where discovery has begun anew. Where another call has received more since this one was dialled
        that is not certain: the next call sends the node's revision, and its response is valid.
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
            except Exception:  # a defect: later events of the call would be applied without the lost one
                call.end(CallEnd.MALFORMED)
                raise
            finally:
                self._current = None
            call.update_flow_control()

    def _process(self, call: DiscoveryCall, message: Message) -> Iterator[None]:
        """Process one message, unless its call was closed meanwhile."""
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
        """Decode a message; None for an empty line. Raises as `decode_update`, or JsonStreamError."""
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
        """End the call: its events are lost and later ones do not repeat them; the next gets all."""
        if call.is_ended:
            return
        self._log.warn("discovery: bad list", err.summary)
        self.revision = 0
        self._listener.events_lost()
        call.end(CallEnd.MALFORMED)
