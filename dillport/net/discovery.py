"""The list of backends: the watch, its objects, its silence, reconnecting."""

from __future__ import annotations

import asyncio
import logging
import math
import random
from collections import deque
from collections.abc import Iterator
from enum import Enum
from mmap import mmap
from typing import cast

import httptools

from dillport import interface as api
from dillport.net import watchdog
from dillport.net.config import Address, ListError, News, news_in_turns, news_of
from dillport.net.limited import LimitedWarnings
from dillport.net.node import Node
from dillport.net.objects import BrokenObject, Objects
from dillport.net.watchdog import Watchdog

log = logging.getLogger(__name__)

CONNECT = 2.0  # s for a connection to come up
WAIT_FIRST, WAIT_MOST = 0.15, 3.0  # s before a new try at most, doubled with each failure, and drawn
WAIT_TOLD = 0.6  # s, likewise, where the call told something and those before it did not
MOST_FORMER = 3  # calls at former addresses that are kept: each has a descriptor
ONE_AT_A_TIME = 1.0  # s that a call may have been unanswered for which a new address has to wait
ONE_IN_A_CROWD = 1.5  # s, likewise, where other callers crowd discovery
CROWD_LASTS = 3.0  # s for which it counts as crowded after a call that had to wait there
LASTED = 2.0  # s from its first news on in which a watch has shown that it goes on
MOST_OBJECT = 8 * 1024 * 1024  # bytes that an object may have on any node
MOST_PART = 1 / 12  # of the node's memory that it may have: entries take thrice their bytes, new ones twice
SLICE = 64 * 1024  # bytes that are read in one turn
NOTES = 40  # lines on what becomes of calls, in 10 s at most
DONE = object()

def most_object(memory_mb: float) -> int:
    """Bytes of one object at most, for a node with so much memory."""
    return max(MOST_OBJECT, int(memory_mb * MOST_PART * 1024 * 1024))


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


class Stage(Enum):
    """How far a call is."""

    DIALLING = "its connection comes up"
    ASKED = "nothing whole has come of it yet"
    OPEN = "it has told something"
    SLOW = "something comes for too long: the next call is due, this one goes on beside it"
    OVER = "it is closed, and what else comes of it is not read"


Brought = bytes | mmap | BrokenObject | End
"""What a call brings: an object or an empty line, what cannot become one, its end."""


class Call(asyncio.Protocol):
    """One call: a watch that goes on until its connection ends, or the whole list once."""

    def __init__(
        self, owner: Discovery, number: int, target: str, watch: bool, quick: bool = False
    ) -> None:
        """`number` names it in the log; `quick` where what it is to tell is due soon: after a silence, or at
        a new address.
        """
        self.owner, self.number, self.target, self.watch, self.quick = owner, number, target, watch, quick
        self.address = owner.address
        self.dialled = owner.loop.time()
        self.objects_told = 0
        self.known = owner.revision  # what the node held when it was dialled, or took from it last
        self.stage = Stage.DIALLING
        answer = watchdog.HURRY if quick else watchdog.ANSWER
        self.dog = Watchdog(owner.loop.time(), answer, random.uniform(*watchdog.SILENT))
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.objects = Objects(most_object(owner.node.config.memory_mb))
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
        if self.stage is Stage.OVER:
            self.transport.abort()
            return
        self.stage = Stage.ASKED
        host, port = self.address
        keep = "keep-alive" if self.watch else "close"
        self.transport.write(
            f"GET {self.target} HTTP/1.1\r\nHost: {host}:{port}\r\nConnection: {keep}\r\n\r\n".encode("ascii")
        )
        if self.stage is not Stage.OVER:
            self._arm()

    def _due(self) -> float:
        return self.dog.due(patient=self.stage is Stage.SLOW or not self.watch)

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
            self.timer = self.owner.loop.call_later(watchdog.LOOK, self._look)
        elif self.owner.call is self and self.owner.slow is None and self._may_still_tell(now):
            self.doubt, self.stage = False, Stage.SLOW
            self._arm()
            self.owner.slowed(self)
        else:
            self.end(End.SILENT)

    def _may_still_tell(self, now: float) -> bool:
        """Whether it is worth keeping beside the next call.

        A hurried one may have come far in discovery's queue: given up, the next one would begin at its end.
        """
        if self.dog.trickles(now):
            return True
        if self.quick and self.stage is Stage.ASKED:
            self.dog.extend(watchdog.ANSWER)
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
        if self.stage is Stage.OVER or self.spoilt or self.parser.get_status_code() != 200:
            return
        now = self.owner.loop.time()
        self.dog.fed(now)
        try:
            for item in self.objects.feed(body):
                self.dog.told(now)
                self.owner.read(self, item)
                if self.over:  # by what it told first
                    return
        except BrokenObject as err:
            self.spoilt = True
            self.owner.read(self, err)

    def heard(self, what: Brought) -> Iterator[None]:
        """Take it, unless the call was closed since; a long list takes some turns."""
        if self.stage is Stage.OVER:
            return
        if isinstance(what, End):
            self.end(what)
            return
        try:
            if isinstance(what, BrokenObject):
                raise what
            update: News | None
            if isinstance(what, mmap):
                update = yield from news_in_turns(what, self.owner.node.held)
            else:
                update = news_of(what, self.owner.node.held) if what else None
        except (ListError, BrokenObject) as err:
            self._broken(err)
            return
        except (ValueError, RecursionError) as err:
            self._broken(BrokenObject(str(err)))
            return
        self._told(update)

    def _told(self, update: News | None) -> None:
        now = self.owner.loop.time()
        self.dog.told(now)
        self.stage = Stage.OPEN
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

    def _broken(self, err: ListError | BrokenObject) -> None:
        """What it said is lost, and later changes do not repeat it: only the whole list will do."""
        if self.stage is Stage.OVER:  # nobody wants it any more
            return
        self.owner.warn("discovery: bad list", err.line)
        self.owner.forget()
        self.end(End.BROKEN)

    def on_message_complete(self) -> None:
        """The end of a whole list, or of a watch."""
        if not (self.watch or self.stage is Stage.OVER or self.spoilt or self.objects.between):
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
        return self.reached and self.told_at is None and self.lasted >= watchdog.QUEUED

    @property
    def over(self) -> bool:
        """Whether it is closed."""
        return self.stage is Stage.OVER

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
        if self.stage is not Stage.OVER:
            self.how, self.lasted = how, self.owner.loop.time() - self.dialled
            told = f"{self.objects_told} objects: {how.value}"
            self.owner.note(f"call {self.number} ended after {self.lasted:.2f} s, {told}")
        self.stage = Stage.OVER
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self.transport.abort()

    def end(self, how: End) -> None:
        """It has come to its end by itself, or by the other side: the owner hears of it, once."""
        if self.stage is not Stage.OVER:
            self.close(how)
            self.owner.lost(self, how is End.SILENT)

    def connection_lost(self, exc: Exception | None) -> None:
        """The other side may have ended it."""
        self._over(End.CLOSED)


class Discovery:
    """Keeps the node's list up to date; the last list stays in force while discovery is away.

    While the watch is wanted there is a call, or a timer for the next one, or the module has set its own;
    never two of these. Beside them a slow call may go on, and after a move those at former addresses.

    A call is not given up because another one is due. Discovery takes calls in turn: the next one starts at
    the end of its queue, while an answer to the former may be on its way and counts as told.
    """

    def __init__(self, node: Node, address: Address, revision: int) -> None:
        self.node, self.address, self.revision = node, address, revision
        self.wanted = False
        self.call: Call | None = None  # the watch, from the moment it is dialled
        self.timer: asyncio.TimerHandle | None = None  # for the next one
        self.slow: Call | None = None  # an older one that still comes
        self.former: list[Call] = []  # those at addresses that were left: they end there, or are overtaken
        self.moving = False  # the timer is for the first call at a new address
        self.queued_at = -math.inf  # when a call was answered, or turned away, that had waited in a queue
        self.wait = WAIT_FIRST
        self.answered = True  # the last call that ended had told something
        self.loop = asyncio.get_running_loop()
        self.tasks: set[asyncio.Task[None]] = set()
        self.unread: deque[tuple[Call, Brought]] = deque()
        self.reading: Call | None = None  # whose word is being taken
        self.warnings = LimitedWarnings(log, self.loop.time)
        self.notes = LimitedWarnings(log, self.loop.time, NOTES, logging.INFO)
        self.numbers = 0  # calls made
        memory_mb = node.config.memory_mb
        log.info("list: at most %.1f MiB in one object, of %g MB", most_object(memory_mb) / 2**20, memory_mb)

    def watch(self, on: bool) -> None:
        """Start or stop the watch."""
        self.wanted = on
        if not on:
            self._drop(End.STOPPED)
        elif not self.moving:
            self._connect(Reason.WANTED)

    def move(self, address: Address) -> None:
        """Go to another address: the old one takes no calls, and soon tells nothing more."""
        self.address, self.wait = address, WAIT_FIRST
        for call in (self.slow, self.call):
            if call is not None and call.stage is Stage.DIALLING:
                call.close(End.MOVED)
            elif call is not None:
                self.former.append(call)
        while len(self.former) > MOST_FORMER:
            self.former.pop(0).close(End.MOVED)
        self.call = self.slow = None
        self._unset()
        self._call_new_address()

    def _call_new_address(self) -> None:
        """Call there once no other call waits for its answer, or has waited for long.

        Guards against addresses in quick succession: a call for each would crowd discovery.
        """
        asked = [call.dialled for call in self.former if call.stage is Stage.ASKED]
        due = max(asked, default=-math.inf) + (ONE_IN_A_CROWD if self.crowded else ONE_AT_A_TIME)
        if due <= self.loop.time():
            self._connect(Reason.MOVED, quick=True)
        else:
            self._call_new_address_at(due)

    def _call_new_address_at(self, due: float) -> None:
        self._unset()
        if self.wanted:
            self.moving = True
            self.timer = self.loop.call_at(due, self._connect, Reason.MOVED, True)

    @property
    def crowded(self) -> bool:
        """Whether other callers made one of this node's wait lately."""
        return self.loop.time() - self.queued_at < CROWD_LASTS

    def _drop(self, why: End) -> None:
        """Nothing of what was begun is heard of again."""
        for call in (self.call, self.slow):
            if call is not None:
                call.close(why)
        self.call = self.slow = None
        self._close_former(why)
        self._unset()

    def _close_former(self, why: End) -> None:
        for call in self.former:
            call.close(why)
        self.former.clear()

    def _unset(self) -> None:
        self.moving = False
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def fetch(self) -> None:
        """Ask for the whole list once."""
        self._start(Call(self, self._number(), "/discovery/hosts", False), Reason.WANTED)

    def _connect(self, why: Reason, quick: bool = False) -> None:
        self._unset()
        if self.wanted and self.call is None:
            target = f"/discovery/hosts?watch=1&from={self.revision}"
            self.call = Call(self, self._number(), target, True, quick)
            self._start(self.call, why)

    def _number(self) -> int:
        self.numbers += 1
        return self.numbers

    def _start(self, call: Call, why: Reason) -> None:
        self.note("call {} to {}:{} for {}: {}".format(call.number, *call.address, call.target, why.value))
        task = self.loop.create_task(self._dial(call))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _dial(self, call: Call) -> None:
        try:
            async with asyncio.timeout(watchdog.HURRY if call.quick else CONNECT):
                await self.loop.create_connection(lambda: call, *call.address)
        except (OSError, TimeoutError) as err:
            if call.stage is not Stage.OVER:
                self.warn("discovery: no connection", str(err) or "timed out")
            call.end(End.NO_CONNECTION)

    def note(self, what: str) -> None:
        """Log what becomes of the calls."""
        self.notes.warn("call", f"discovery: {what}")

    def warn(self, what: str, why: str = "") -> None:
        """Log what went wrong, one line of a kind now and then."""
        self.warnings.warn(what, f"{what}: {why:.200}" if why else what)

    def read(self, call: Call, what: Brought) -> None:
        """Take what a call brought, after all that came before it: at once, unless there is a long list."""
        self.unread.append((call, what))
        if self.reading is None:
            work = self._read()
            if next(work, DONE) is not DONE:
                self.node.turns.add(work)
        call.flow()

    def reads(self, call: Call) -> bool:
        """Whether something that a call brought is still to be taken."""
        return call.feeding or call is self.reading or any(call is other for other, _ in self.unread)

    def _read(self) -> Iterator[None]:
        while self.unread:
            call, what = self.unread.popleft()
            self.reading = call
            try:
                for _ in call.heard(what):
                    yield
                    if call.stage is Stage.OVER:
                        break
            except Exception:  # a defect: what it says from here on would be without what is lost
                call.end(End.BROKEN)
                raise
            finally:
                self.reading = None
            call.flow()

    def news(self, call: Call, update: News) -> None:
        """Apply an object by its revision: a change that is not newer than the list held is an old one.

        One of the same revision is what a watch begins with where nothing has changed. A whole list may be
        older where discovery has begun anew. Where another call has told more since this one was dialled,
        that is not certain: the next call says how far this node is, and its answer holds.
        """
        overtaken = call.known < self.revision and update.revision < self.revision
        if update.complete and overtaken:
            call.end(End.OVERTAKEN)
            return
        if update.complete:
            self.revision = update.revision
            self.node.list(update, api.ListKind.FULL)
        elif update.revision > self.revision:
            self.revision = update.revision
            self.node.list(update, api.ListKind.CHANGES)
        elif update.revision == self.revision:
            self.node.unchanged()
        call.known = self.revision

    def forget(self) -> None:
        """News were lost: the whole list is to be told, and by a call that does not go on from them."""
        self.revision = 0
        self._close_former(End.BROKEN)

    def settled(self, call: Call) -> None:
        """What a call has told is in force, or on its way there."""
        if call in self.former and self.moving:
            self._call_new_address()

    def told(self, call: Call) -> None:
        """A call has told something whole: the others, or the wait for it, are of no more use."""
        if call.objects_told == 1 and self.loop.time() - call.dialled >= watchdog.QUEUED:
            self.queued_at = self.loop.time()
        if call in (self.call, self.slow):
            self._close_former(End.OVERTAKEN)
        if call is self.slow:
            if self.call is not None:
                self.call.close(End.OVERTAKEN)
            self._unset()
            self.call, self.slow = call, None
        elif call is self.call and self.slow is not None:
            self.slow.close(End.OVERTAKEN)
            self.slow = None

    def slowed(self, call: Call) -> None:
        """What the watch tells takes too long to wait for; the oldest such call goes on, as the nearest."""
        self.call, self.slow = None, call
        self._again(call, True)

    def lost(self, call: Call, silent: bool) -> None:
        """A call has ended. Beside a slow one the next has been seen to already."""
        if call.was_queued:
            self.queued_at = self.loop.time()
        if call in self.former:
            self.former.remove(call)
            if self.moving and call.was_queued:  # the next one is not to join the same queue at once
                self._call_new_address_at(self.loop.time() + watchdog.CROWDED * random.uniform(1 / 3, 1.0))
            elif self.moving:
                self._call_new_address()
            return
        if call is self.slow:
            self.slow = None
            return
        if call.watch:
            self.call = None
        if self.wanted:
            self._again(call, silent)

    def _again(self, call: Call, silent: bool) -> None:
        """The module hears of a failed call where it asks by itself, else the watch is tried again.

        A watch that has fallen silent is opened anew at once, and once more if that fails, in either case: in
        the module's first wait alone what was missed may come to count as told.
        """
        if silent:
            self.warn("discovery is silent")
        # News alone does not end the doubling: a list that breaks behind its first object would come ten
        # times a second. But the first call that is answered after others that were not begins it anew: a
        # watch that ends as it should tell counts as told soon.
        told, was_answered = call.told_at is not None, self.answered
        lasted = call.told_at is not None and self.loop.time() - call.told_at >= LASTED
        if lasted:
            self.wait = WAIT_FIRST
        elif told and not was_answered:
            self.wait = min(self.wait, WAIT_TOLD)
        self.answered = told
        if call.watch and silent and lasted:
            self._connect(Reason.SILENT, quick=True)
        elif self.node.settings.must_ask and not (call.quick and call.told_at is None):
            if not call.done:
                self.node.list_failed(call.reached, call.was_queued)
        elif call.watch:
            period = watchdog.TURNED_AWAY if call.reached else watchdog.PERIOD
            left = max(watchdog.REST, call.dialled + period - self.loop.time())
            waits = call.was_queued or (call is self.slow and self.crowded)
            most = watchdog.CROWDED if waits else min(self.wait, left)
            wait = most * random.uniform(1 / 3, 1.0)
            why = Reason.BESIDE if self.slow is call else Reason.RETRY
            self.timer = self.loop.call_later(wait, self._connect, why)
            self.wait = min(2 * self.wait, WAIT_MOST)
        if self.node.fleet is not None and not (call.done or self.slow or self.former):
            self.node.fleet.list_failed()
