"""One call of discovery over HTTP: a watch that goes on until its connection ends, or one complete list."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from mmap import mmap
from typing import Protocol, cast

import httptools

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
# Of the node's memory: entries take three times their bytes, new ones twice.
OBJECT_MEMORY_FRACTION = 1 / 12
MAX_SLICE_BYTES = 64 * 1024
ESTABLISHED_AFTER_S = 2.0  # from the first message of a watch
HTTP_OK = 200


def max_object_bytes(memory_mb: float) -> int:
    """Return the size limit of one object for a node with so much memory."""
    return max(MIN_OBJECT_LIMIT_BYTES, int(memory_mb * OBJECT_MEMORY_FRACTION * 1024 * 1024))


class CallReason(Enum):
    """Why a call is made."""

    REQUESTED = "list requested"
    ADDRESS_CHANGED = "new address"
    WATCH_SILENT = "the watch was silent"
    RETRY = "retry after a failed call"
    SLOW_CALL = "in parallel with a slow call"


class CallEnd(Enum):
    """How a call ended."""

    CLOSED = "closed by discovery"
    NO_CONNECTION = "no connection"
    REJECTED = "rejected by discovery"
    SILENT = "silent"
    MALFORMED = "malformed response"
    COMPLETE = "complete list received"
    ADDRESS_CHANGED = "cancelled for a new address"
    CANCELLED = "cancelled"
    SUPERSEDED = "superseded by another call"


class CallStage(Enum):
    """How far a call is."""

    DIALLING = "its connection is being established"
    SENT = "it has sent its request and received no message"
    OPEN = "it has received a message"
    SLOW = "an object takes too long to arrive: the call goes on in parallel with the next one"
    ENDED = "it is closed, and what else it receives is ignored"


Message = bytes | mmap | JsonStreamError | CallEnd
"""What a call receives: an object or an empty line, something that is no object, its end."""


@dataclass(slots=True, frozen=True)
class CallRequest:
    """What a call asks for, and how it is timed."""

    number: int  # in the log
    address: Address
    target: str
    is_watch: bool
    is_urgent: bool  # the first message is due soon: after a silence, or at a new address
    silence_timeout: float  # s
    known_revision: int  # of the node as the call is dialled

    @property
    def message_timeout(self) -> float:
        """Seconds from dialling to the first message."""
        return URGENT_MESSAGE_TIMEOUT_S if self.is_urgent else FIRST_MESSAGE_TIMEOUT_S


class MessageSink(Protocol):
    """Processes what calls receive."""

    def put(self, call: DiscoveryCall, message: Message) -> None:
        """Process a message after all that came before it."""

    def has_messages_of(self, call: DiscoveryCall) -> bool:
        """Return whether a message of the call is not processed yet."""


class CallOwner(Protocol):
    """Decides which calls go on."""

    def may_become_slow(self, call: DiscoveryCall) -> bool:
        """Return whether the call may go on in parallel with the next one."""

    def call_slowed(self, call: DiscoveryCall) -> None:
        """Make the next call; this one goes on."""

    def call_ended(self, call: DiscoveryCall, is_silent: bool) -> None:
        """Handle the end of a call that the owner has not closed."""


class DiscoveryCall(asyncio.Protocol):
    """One call of discovery."""

    def __init__(
        self,
        request: CallRequest,
        owner: CallOwner,
        sink: MessageSink,
        scheduler: CooperativeScheduler,
        log: DiscoveryLog,
        object_limit: int,
    ) -> None:
        """Begin as the call is dialled; `object_limit` is the most bytes of one object."""
        self.request = request
        self.stage = CallStage.DIALLING
        self.known_revision = request.known_revision  # or the one that the node last got from this call
        self.message_count = 0
        self.first_message_at: float | None = None
        self.has_delivered_list = False  # and has nothing else to deliver
        self.transport: asyncio.Transport | None = None
        self.splitter = JsonSplitter(object_limit)
        self._loop = asyncio.get_running_loop()
        self.owner = owner
        self._sink = sink
        self._scheduler = scheduler
        self._log = log
        self.dialled_at = self._loop.time()
        self._timeout = LivenessTimeout(self.dialled_at, request.message_timeout, request.silence_timeout)
        self._timer = LivenessTimer(self._loop, self._expires_at, self._is_backlogged, self._time_out)
        self._parser = httptools.HttpResponseParser(self)
        self._end: CallEnd | None = None
        self._duration = 0.0  # s from dialling to the end
        self._unparsed = bytearray()
        self._is_parsing = False  # in slices
        self._is_paused = False
        self._pending_end: CallEnd | None = None  # behind what is being parsed
        self._is_discarding = False  # nothing else that comes is of use

    # --- state

    @property
    def is_ended(self) -> bool:
        """Return whether the call is closed."""
        return self.stage is CallStage.ENDED

    @property
    def was_ended_by_discovery(self) -> bool:
        """Return whether discovery has ended the call: it may be up, and only overloaded."""
        return self._end in (CallEnd.REJECTED, CallEnd.CLOSED)

    @property
    def was_queued(self) -> bool:
        """Return whether the call was rejected after a wait, with no message received."""
        return (
            self.was_ended_by_discovery and self.first_message_at is None and self._duration >= QUEUED_AFTER_S
        )

    def is_established(self, now: float) -> bool:
        """Return whether the call has received messages for long enough to count as working."""
        return self.first_message_at is not None and now - self.first_message_at >= ESTABLISHED_AFTER_S

    def message_received(self) -> None:
        """Note a valid message."""
        now = self._loop.time()
        self._timeout.message_received(now)
        self.stage = CallStage.OPEN
        self.message_count += 1
        if self.first_message_at is None:
            self.first_message_at = now
            self._log.call(f"call {self.request.number} answered after {now - self.dialled_at:.2f} s")

    def close(self, end: CallEnd) -> None:
        """Close the call without notice to the owner."""
        if self.stage is not CallStage.ENDED:
            self._end = end
            self._duration = self._loop.time() - self.dialled_at
            result = f"{self.message_count} objects: {end.value}"
            self._log.call(f"call {self.request.number} ended after {self._duration:.2f} s, {result}")
        self.stage = CallStage.ENDED
        self._timer.stop()
        if self.transport is not None:
            self.transport.abort()

    def end(self, end: CallEnd) -> None:
        """Close the call and tell the owner, once."""
        if self.stage is not CallStage.ENDED:
            self.close(end)
            self.owner.call_ended(self, end is CallEnd.SILENT)

    # --- the connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request, unless the call was closed meanwhile."""
        self.transport = cast(asyncio.Transport, transport)  # no subclass of it under uvloop
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
        """Parse what came; long data in slices."""
        if len(data) <= MAX_SLICE_BYTES and not self._is_parsing:
            self._parse(data)
            return
        self._unparsed += data
        if not self._is_parsing:
            self._is_parsing = True
            self._scheduler.add(self._parse_in_slices())
        self.update_flow_control()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the call, if discovery has closed the connection."""
        self._end_received(CallEnd.CLOSED)

    def update_flow_control(self) -> None:
        """Pause reading while something is not processed: lists may come faster than that."""
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
        """Pass on the objects that end in a piece of the body."""
        if self.is_ended or self._is_discarding or self._parser.get_status_code() != HTTP_OK:
            return
        now = self._loop.time()
        self._timeout.bytes_received(now)
        try:
            for message in self.splitter.feed(body):
                self._timeout.message_received(now)
                self._sink.put(self, message)
                if self.is_ended:  # because of that message
                    return
        except JsonStreamError as err:
            self._is_discarding = True
            self._sink.put(self, err)

    def on_message_complete(self) -> None:
        """Handle the end of the response."""
        is_cut_off = not (
            self.request.is_watch or self.is_ended or self._is_discarding or self.splitter.is_between_objects
        )
        if is_cut_off:
            self._sink.put(self, JsonStreamError("the answer ends before its JSON does"))
        if self._parser.get_status_code() != HTTP_OK:
            self._end_received(CallEnd.REJECTED)
        else:
            self._end_received(CallEnd.CLOSED if self.request.is_watch else CallEnd.COMPLETE)

    # --- parts

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as err:
            self._log.warn("discovery: malformed response", str(err))
            self._unparsed.clear()
            self._end_received(CallEnd.MALFORMED)

    def _parse_in_slices(self) -> Iterator[None]:
        while self._unparsed and not self.is_ended:
            piece = bytes(self._unparsed[:MAX_SLICE_BYTES])
            del self._unparsed[:MAX_SLICE_BYTES]
            self._parse(piece)
            yield
        self._is_parsing = False
        self._unparsed.clear()
        if self._pending_end is not None:
            self._end_received(self._pending_end)
        self.update_flow_control()

    def _is_backlogged(self) -> bool:
        return self._is_parsing or self._sink.has_messages_of(self)

    def _end_received(self, end: CallEnd) -> None:
        """End the call once the complete messages before its end are processed."""
        if self._is_parsing:
            self._pending_end = end
        elif self._sink.has_messages_of(self):
            self._is_discarding = True
            self._sink.put(self, end)
        else:
            self.end(end)

    def _expires_at(self) -> float:
        is_patient = self.stage is CallStage.SLOW or not self.request.is_watch
        return self._timeout.expires_at(is_patient)

    def _time_out(self) -> None:
        """Go on in parallel with the next call where that is of use, else end the call.

        An urgent call may be close to the head of discovery's queue; the next one would begin at its end.
        """
        goes_on = self.owner.may_become_slow(self)
        if goes_on and not self._timeout.is_receiving_bytes(self._loop.time()):
            goes_on = self.request.is_urgent and self.stage is CallStage.SENT
            if goes_on:
                self._timeout.extend(FIRST_MESSAGE_TIMEOUT_S)
        if not goes_on:
            self.end(CallEnd.SILENT)
            return
        self.stage = CallStage.SLOW
        self._timer.start()
        self.owner.call_slowed(self)
