"""One call of discovery: a watch that goes on until its connection ends, or the whole list once."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator
from enum import Enum
from mmap import mmap
from typing import TYPE_CHECKING, cast

import httptools

from balancer.net import liveness
from balancer.net.endpoint_decoder import decode_update, decode_update_in_slices
from balancer.net.endpoints import EndpointListError, EndpointUpdate
from balancer.net.liveness import LivenessTimeout
from balancer.net.objects import BrokenObject, Objects

if TYPE_CHECKING:
    from balancer.net.discovery import DiscoveryClient

MIN_OBJECT_LIMIT_BYTES = 8 * 1024 * 1024  # bytes that an object may have on any node
MOST_PART = 1 / 12  # of the node's memory that it may have: entries take thrice their bytes, new ones twice
SLICE = 64 * 1024  # bytes that are read in one turn


def max_object_bytes(memory_mb: float) -> int:
    """Bytes of one object at most, for a node with so much memory."""
    return max(MIN_OBJECT_LIMIT_BYTES, int(memory_mb * MOST_PART * 1024 * 1024))


class Reason(Enum):
    """Why a call is made."""

    WANTED = "the list is wanted"
    MOVED = "new address"
    SILENT = "the watch was silent"
    RETRY = "the call before failed"
    BESIDE = "beside one that still comes"


class End(Enum):
    """How a call came to its end."""

    CLOSED = "closed by discovery"
    NO_CONNECTION = "no connection"
    REFUSED = "refused by discovery"
    SILENT = "silent"
    BROKEN = "broken answer"
    COMPLETE = "whole list taken"
    MOVED = "given up for a new address"
    STOPPED = "not wanted any more"
    OVERTAKEN = "another call has told the list"


class CallStage(Enum):
    """How far a call is."""

    DIALLING = "its connection comes up"
    ASKED = "nothing whole has come of it yet"
    OPEN = "it has told something"
    SLOW = "something comes for too long: the next call is due, this one goes on beside it"
    OVER = "it is closed, and what else comes of it is not read"


Brought = bytes | mmap | BrokenObject | End
"""What a call brings: an object or an empty line, what cannot become one, its end."""


class DiscoveryCall(asyncio.Protocol):
    """One call: a watch that goes on until its connection ends, or the whole list once."""

    def __init__(
        self, owner: DiscoveryClient, number: int, target: str, watch: bool, quick: bool = False
    ) -> None:
        """`number` names it in the log; `quick` where what it is to tell is due soon: after a silence, or at
        a new address.
        """
        self.owner, self.number, self.target, self.watch, self.quick = owner, number, target, watch, quick
        self.address = owner.address
        self.dialled = owner.loop.time()
        self.objects_told = 0
        self.known = owner.revision  # what the node held when it was dialled, or took from it last
        self.stage = CallStage.DIALLING
        answer = liveness.URGENT_MESSAGE_TIMEOUT_S if quick else liveness.FIRST_MESSAGE_TIMEOUT_S
        self.dog = LivenessTimeout(owner.loop.time(), answer, random.uniform(*liveness.SILENCE_TIMEOUT_S))
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.objects = Objects(max_object_bytes(owner.node.config.memory_mb))
        self.timer: asyncio.TimerHandle | None = None
        self.told_at: float | None = None  # when it first told something
        self.done = self.doubt = False
        self.how: End | None = None  # it has ended
        self.lasted = 0.0  # s from dialling to its end
        self.unfed = bytearray()  # came, and waits for its turn
        self.feeding = self.paused = False
        self.ended: End | None = None  # nothing more comes behind that
        self.spoilt = False  # nothing that still comes of it makes sense

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask, unless the call was closed while its connection came up."""
        self.transport = cast(asyncio.Transport, transport)  # no subclass of it under uvloop
        if self.stage is CallStage.OVER:
            self.transport.abort()
            return
        self.stage = CallStage.ASKED
        host, port = self.address
        keep = "keep-alive" if self.watch else "close"
        self.transport.write(
            f"GET {self.target} HTTP/1.1\r\nHost: {host}:{port}\r\nConnection: {keep}\r\n\r\n".encode("ascii")
        )
        if self.stage is not CallStage.OVER:
            self._arm()

    def _due(self) -> float:
        return self.dog.expires_at(is_patient=self.stage is CallStage.SLOW or not self.watch)

    def _arm(self) -> None:
        self.timer = self.owner.loop.call_at(self._due(), self._look)

    def _look(self) -> None:
        """Guards against a discovery that is cut off: nothing closes its connection, it just says no more."""
        now = self.owner.loop.time()
        if now < self._due():
            self.doubt = False
            self._arm()
        elif not self.doubt or self.owner.reads(self):
            self.doubt = True  # the node may have stood still itself, with news unread, or it decodes a list
            self.timer = self.owner.loop.call_later(liveness.RECHECK_DELAY_S, self._look)
        elif self.owner.call is self and self.owner.slow is None and self._may_still_tell(now):
            self.doubt, self.stage = False, CallStage.SLOW
            self._arm()
            self.owner.slowed(self)
        else:
            self.end(End.SILENT)

    def _may_still_tell(self, now: float) -> bool:
        """Whether it is worth keeping beside the next call.

        A hurried one may have come far in discovery's queue: given up, the next one would begin at its end.
        """
        if self.dog.is_receiving_bytes(now):
            return True
        if self.quick and self.stage is CallStage.ASKED:
            self.dog.extend(liveness.FIRST_MESSAGE_TIMEOUT_S)
            return True
        return False

    def data_received(self, data: bytes) -> None:
        """Read, what is long in turns."""
        if len(data) <= SLICE and not self.feeding:
            self._feed(data)
            return
        self.unfed += data
        if not self.feeding:
            self.feeding = True
            self.owner.node.turns.add(self._feed_all())
        self.flow()

    def _feed_all(self) -> Iterator[None]:
        while self.unfed and not self.over:
            piece = bytes(self.unfed[:SLICE])
            del self.unfed[:SLICE]
            self._feed(piece)
            yield
        self.feeding = False
        self.unfed.clear()
        if self.ended is not None:
            self._over(self.ended)
        self.flow()

    def _feed(self, data: bytes) -> None:
        """What is not HTTP ends the call."""
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as err:
            self.owner.warn("discovery: broken answer", str(err))
            self.unfed.clear()
            self._over(End.BROKEN)

    def on_body(self, body: bytes) -> None:
        """Objects may be cut anywhere."""
        if self.stage is CallStage.OVER or self.spoilt or self.parser.get_status_code() != 200:
            return
        now = self.owner.loop.time()
        self.dog.bytes_received(now)
        try:
            for item in self.objects.feed(body):
                self.dog.message_received(now)
                self.owner.read(self, item)
                if self.over:  # by what it told first
                    return
        except BrokenObject as err:
            self.spoilt = True
            self.owner.read(self, err)

    def heard(self, what: Brought) -> Iterator[None]:
        """Take it, unless the call was closed since; a long list takes some turns."""
        if self.stage is CallStage.OVER:
            return
        if isinstance(what, End):
            self.end(what)
            return
        try:
            if isinstance(what, BrokenObject):
                raise what
            update: EndpointUpdate | None
            if isinstance(what, mmap):
                update = yield from decode_update_in_slices(what, self.owner.node.held)
            else:
                update = decode_update(what, self.owner.node.held) if what else None
        except (EndpointListError, BrokenObject) as err:
            self._broken(err)
            return
        except (ValueError, RecursionError) as err:
            self._broken(BrokenObject(str(err)))
            return
        self._told(update)

    def _told(self, update: EndpointUpdate | None) -> None:
        now = self.owner.loop.time()
        self.dog.message_received(now)
        self.stage = CallStage.OPEN
        self.objects_told += 1
        if self.told_at is None:
            self.told_at = now
            self.owner.note(f"call {self.number} answered after {now - self.dialled:.2f} s")
        self.owner.told(self)
        if update is None:
            self.owner.node.unchanged()
        else:
            self.done = not self.watch
            self.owner.news(self, update)
        self.owner.settled(self)

    def _broken(self, err: EndpointListError | BrokenObject) -> None:
        """What it said is lost, and later changes do not repeat it: only the whole list will do."""
        if self.stage is CallStage.OVER:  # nobody wants it any more
            return
        self.owner.warn("discovery: bad list", err.line)
        self.owner.forget()
        self.end(End.BROKEN)

    def on_message_complete(self) -> None:
        """The end of a whole list, or of a watch."""
        if not (self.watch or self.stage is CallStage.OVER or self.spoilt or self.objects.between):
            self.owner.read(self, BrokenObject("the answer ends before its JSON does"))
        refused = self.parser.get_status_code() != 200
        self._over(End.REFUSED if refused else End.CLOSED if self.watch else End.COMPLETE)

    def _over(self, how: End) -> None:
        """Nothing more comes; what came whole before is still taken."""
        if self.feeding:
            self.ended = how
        elif self.owner.reads(self):
            self.spoilt = True
            self.owner.read(self, how)
        else:
            self.end(how)

    @property
    def reached(self) -> bool:
        """Whether discovery itself has ended it: it may be there, and only crowded."""
        return self.how in (End.REFUSED, End.CLOSED)

    @property
    def was_queued(self) -> bool:
        """Whether it was turned away after a wait, with nothing told."""
        return self.reached and self.told_at is None and self.lasted >= liveness.QUEUED_AFTER_S

    @property
    def over(self) -> bool:
        """Whether it is closed."""
        return self.stage is CallStage.OVER

    def flow(self) -> None:
        """Read no more while something that came is still to be taken: lists may come faster than that."""
        if self.transport is None or self.over or self.transport.is_closing():
            return
        paused = self.owner.reads(self)
        if paused and not self.paused:
            self.transport.pause_reading()
        elif self.paused and not paused:
            self.transport.resume_reading()
        self.paused = paused

    def close(self, how: End) -> None:
        """Nobody wants it any more."""
        if self.stage is not CallStage.OVER:
            self.how, self.lasted = how, self.owner.loop.time() - self.dialled
            told = f"{self.objects_told} objects: {how.value}"
            self.owner.note(f"call {self.number} ended after {self.lasted:.2f} s, {told}")
        self.stage = CallStage.OVER
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self.transport.abort()

    def end(self, how: End) -> None:
        """It has come to its end by itself, or by the other side: the owner hears of it, once."""
        if self.stage is not CallStage.OVER:
            self.close(how)
            self.owner.lost(self, how is End.SILENT)

    def connection_lost(self, exc: Exception | None) -> None:
        """The other side may have ended it."""
        self._over(End.CLOSED)
