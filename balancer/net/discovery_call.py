"""One HTTP call to discovery: a watch that stays open until its connection ends, or one complete list."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from mmap import mmap
from typing import Protocol, cast

import httptools

from balancer.net import socket_state
from balancer.net.cooperative import CooperativeScheduler
from balancer.net.discovery_log import DiscoveryLog
from balancer.net.endpoints import Address
from balancer.net.json_stream import JsonSplitter, JsonStreamError
from balancer.net.liveness import (
    FIRST_MESSAGE_TIMEOUT_S,
    QUEUED_AFTER_S,
    URGENT_MESSAGE_TIMEOUT_S,
    LivenessTimeout,
    LivenessTimer,
)

MIN_OBJECT_LIMIT_BYTES = 8 * 1024 * 1024
# In memory, entries in use take three times the size of their JSON, and newly decoded entries twice the size.
MAX_OBJECT_MEMORY_FRACTION = 1 / 12
MAX_SLICE_BYTES = 64 * 1024
ESTABLISHED_AFTER_S = 2.0  # A watch counts as established 2 s after its first message.
HTTP_OK = 200


def max_object_bytes(memory_mb: float) -> int:
    """Return the size limit of one JSON object for a node with this memory limit."""
    return max(MIN_OBJECT_LIMIT_BYTES, int(memory_mb * MAX_OBJECT_MEMORY_FRACTION * 1024 * 1024))


class CallReason(Enum):
    """The reason for a call, as written to the log."""

    REQUESTED = "list requested"
    ADDRESS_CHANGED = "new address"
    WATCH_SILENT = "previous watch timed out"
    RETRY = "retry after a failed call"
    SLOW_CALL = "in parallel with a slow call"


class CallEnd(Enum):
    """How a call ended, as written to the log."""

    CLOSED = "closed by discovery"
    NO_CONNECTION = "no connection"
    REJECTED = "rejected by discovery"
    SILENT = "timed out"
    MALFORMED = "malformed response"
    COMPLETE = "complete list received"
    ADDRESS_CHANGED = "cancelled for a new address"
    CANCELLED = "cancelled"
    SUPERSEDED = "superseded by another call"


class CallStage(Enum):
    """The state of a call."""

    DIALLING = "the connection is being established"
    SENT = "the request is sent and no message received"
    OPEN = "a message has been received"
    SLOW = "the call timed out and stays open in parallel with the next one"
    ENDED = "the call is closed and ignores further data"


Message = bytes | mmap | JsonStreamError | CallEnd
"""What a call passes on: a JSON object, an empty line, an error in the stream, or the end of the call."""


@dataclass(slots=True, frozen=True)
class CallRequest:
    """The request of a call and its timeouts."""

    # The number that identifies the call in log lines.
    number: int
    address: Address
    target: str
    is_watch: bool
    # The first call after a timeout or a change of address has a shorter timeout for its first message.
    is_urgent: bool
    silence_timeout_s: float
    # The revision of the node's list when the call is dialled.
    known_revision: int

    @property
    def message_timeout_s(self) -> float:
        """The timeout from dialling to the first message."""
        return URGENT_MESSAGE_TIMEOUT_S if self.is_urgent else FIRST_MESSAGE_TIMEOUT_S


class MessageSink(Protocol):
    """Processes the messages of calls in order."""

    def put(self, call: DiscoveryCall, message: Message) -> None:
        """Process a message after all earlier ones."""

    def has_messages_of(self, call: DiscoveryCall) -> bool:
        """Return whether messages of the call are still unprocessed."""


class CallOwner(Protocol):
    """Decides which calls stay open."""

    def may_become_slow(self, call: DiscoveryCall) -> bool:
        """Return whether the call may stay open in parallel with the next one."""

    def call_slowed(self, call: DiscoveryCall) -> None:
        """Make the next call while this one stays open."""

    def call_ended(self, call: DiscoveryCall, is_silent: bool) -> None:
        """Handle the end of a call that the owner did not close itself."""


class DiscoveryCall(asyncio.Protocol):
    """The connection of one call to discovery."""

    def __init__(
        self,
        request: CallRequest,
        owner: CallOwner,
        sink: MessageSink,
        scheduler: CooperativeScheduler,
        log: DiscoveryLog,
        object_limit_bytes: int,
    ) -> None:
        """Create a call that is about to be dialled; `object_limit_bytes` is the size limit of one object."""
        self.request = request
        self.stage = CallStage.DIALLING
        # The revision of the node's list when the call was dialled, or the newer one that this call
        # delivered.
        self.known_revision = request.known_revision
        self.message_count = 0
        self.first_message_at: float | None = None
        # Set once a call for the complete list has delivered it; a watch never sets this flag.
        self.has_delivered_list = False
        self.transport: asyncio.Transport | None = None
        self.splitter = JsonSplitter(object_limit_bytes)
        self._loop = asyncio.get_running_loop()
        self.owner = owner
        self._sink = sink
        self._scheduler = scheduler
        self._log = log
        self.dialled_at = self._loop.time()
        self._timeout = LivenessTimeout(self.dialled_at, request.message_timeout_s, request.silence_timeout_s)
        self._timer = LivenessTimer(self._loop, self._expires_at, self._is_backlogged, self._time_out)
        self._parser = httptools.HttpResponseParser(self)
        self._end: CallEnd | None = None
        self._duration_s = 0.0
        self._unparsed = bytearray()
        self._is_parsing_in_slices = False
        self._is_parsing = False
        self._is_paused = False
        # How the connection ended, if it ended while received data was still being parsed.
        self._end_after_parsing: CallEnd | None = None
        self._discards_data = False

    # --- state

    @property
    def is_ended(self) -> bool:
        """Return whether the call is closed."""
        return self.stage is CallStage.ENDED

    @property
    def was_ended_by_discovery(self) -> bool:
        """Return whether discovery ended the call, in which case it may be up but overloaded."""
        return self._end in (CallEnd.REJECTED, CallEnd.CLOSED)

    @property
    def was_queued(self) -> bool:
        """Return whether discovery ended the call without a message after a wait in its queue."""
        return (
            self.was_ended_by_discovery
            and self.first_message_at is None
            and self._duration_s >= QUEUED_AFTER_S
        )

    def is_established(self, now: float) -> bool:
        """Return whether the call received its first message long enough ago to count as working."""
        return self.first_message_at is not None and now - self.first_message_at >= ESTABLISHED_AFTER_S

    def message_received(self) -> None:
        """Record a valid message."""
        now = self._loop.time()
        self._timeout.message_received(now)
        self.stage = CallStage.OPEN
        self.message_count += 1
        if self.first_message_at is None:
            self.first_message_at = now
            self._log.call(f"call {self.request.number} answered after {now - self.dialled_at:.2f} s")

    def close(self, end: CallEnd) -> None:
        """Close the call without notifying the owner."""
        if self.stage is not CallStage.ENDED:
            self._end = end
            self._duration_s = self._loop.time() - self.dialled_at
            result = f"{self.message_count} objects: {end.value}"
            self._log.call(f"call {self.request.number} ended after {self._duration_s:.2f} s, {result}")
        self.stage = CallStage.ENDED
        self._timer.stop()
        if self.transport is not None:
            self.transport.abort()

    def end(self, end: CallEnd) -> None:
        """Close the call and notify the owner, unless the call is closed already."""
        if self.stage is not CallStage.ENDED:
            self.close(end)
            self.owner.call_ended(self, end is CallEnd.SILENT)

    # --- asyncio protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request, unless the call was closed while connecting."""
        # The transports of uvloop are not subclasses of asyncio.Transport, hence the cast.
        self.transport = cast(asyncio.Transport, transport)
        if self.stage is CallStage.ENDED:
            self.transport.abort()
            return
        self.stage = CallStage.SENT
        host, port = self.request.address
        connection = "keep-alive" if self.request.is_watch else "close"
        head = (
            f"GET {self.request.target} HTTP/1.1\r\nHost: {host}:{port}\r\nConnection: {connection}\r\n\r\n"
        )
        self.transport.write(head.encode("ascii"))
        if self.stage is not CallStage.ENDED:
            self._timer.start()

    def data_received(self, data: bytes) -> None:
        """Parse received data, in slices of the event loop if it is long."""
        if len(data) <= MAX_SLICE_BYTES and not self._is_parsing_in_slices:
            self._parse(data)
            return
        self._unparsed += data
        if not self._is_parsing_in_slices:
            self._is_parsing_in_slices = True
            self._scheduler.add(self._parse_in_slices())
        self.update_flow_control()

    def read_unread(self) -> None:
        """Process what the kernel has received and the event loop has not read yet, one slice at most."""
        is_busy = self._is_parsing or self._is_parsing_in_slices or self._is_paused or self.is_ended
        if self.transport is None or is_busy or self.transport.is_closing():
            return
        if data := socket_state.read_available(self.transport, MAX_SLICE_BYTES):
            self.data_received(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the call because its connection was closed."""
        self._end_received(CallEnd.CLOSED)

    def update_flow_control(self) -> None:
        """Pause reading while data is unprocessed, as lists may arrive faster than they are applied."""
        if self.transport is None or self.is_ended or self.transport.is_closing():
            return
        is_paused = self._is_backlogged()
        if is_paused and not self._is_paused:
            self.transport.pause_reading()
        elif self._is_paused and not is_paused:
            self.transport.resume_reading()
        self._is_paused = is_paused

    # --- callbacks of the HTTP parser

    def on_body(self, body: bytes) -> None:
        """Pass on the objects that a piece of the body completes."""
        if self.is_ended or self._discards_data or self._parser.get_status_code() != HTTP_OK:
            return
        now = self._loop.time()
        self._timeout.bytes_received(now)
        try:
            for message in self.splitter.feed(body):
                self._timeout.message_received(now)
                self._sink.put(self, message)
                if self.is_ended:  # Processing a message may close the call that received it.
                    return
        except JsonStreamError as err:
            self._discards_data = True
            self._sink.put(self, err)

    def on_message_complete(self) -> None:
        """Handle the end of the response."""
        is_cut_off = not (
            self.request.is_watch or self.is_ended or self._discards_data or self.splitter.is_between_objects
        )
        if is_cut_off:
            self._sink.put(self, JsonStreamError("response ended before its JSON was complete"))
        if self._parser.get_status_code() != HTTP_OK:
            self._end_received(CallEnd.REJECTED)
        else:
            self._end_received(CallEnd.CLOSED if self.request.is_watch else CallEnd.COMPLETE)

    # --- internal

    def _parse(self, data: bytes) -> None:
        self._is_parsing = True
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as err:
            self._log.warn("discovery: malformed response", str(err))
            self._unparsed.clear()
            self._end_received(CallEnd.MALFORMED)
        finally:
            self._is_parsing = False

    def _parse_in_slices(self) -> Iterator[None]:
        while self._unparsed and not self.is_ended:
            piece = bytes(self._unparsed[:MAX_SLICE_BYTES])
            del self._unparsed[:MAX_SLICE_BYTES]
            self._parse(piece)
            yield
        self._is_parsing_in_slices = False
        self._unparsed.clear()
        if self._end_after_parsing is not None:
            self._end_received(self._end_after_parsing)
        self.update_flow_control()

    def _is_backlogged(self) -> bool:
        return self._is_parsing_in_slices or self._sink.has_messages_of(self)

    def _end_received(self, end: CallEnd) -> None:
        """End the call once all messages received before its end are processed."""
        if self._is_parsing_in_slices:
            self._end_after_parsing = end
        elif self._sink.has_messages_of(self):
            self._discards_data = True
            self._sink.put(self, end)
        else:
            self.end(end)

    def _expires_at(self) -> float:
        is_patient = self.stage is CallStage.SLOW or not self.request.is_watch
        return self._timeout.expires_at(is_patient)

    def _time_out(self) -> None:
        """Keep the call open in parallel with the next one if it may still deliver, else end it.

        A call that still receives bytes may complete its object. An urgent call may be close to the head of
        discovery's queue, whereas the next one joins its end.
        """
        stays_open = self.owner.may_become_slow(self)
        if stays_open and not self._timeout.is_receiving_bytes(self._loop.time()):
            stays_open = self.request.is_urgent and self.stage is CallStage.SENT
            if stays_open:
                self._timeout.extend(FIRST_MESSAGE_TIMEOUT_S)
        if not stays_open:
            self.end(CallEnd.SILENT)
            return
        self.stage = CallStage.SLOW
        self._timer.start()
        self.owner.call_slowed(self)
