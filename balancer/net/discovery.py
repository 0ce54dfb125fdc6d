"""The list of backends: which calls of discovery go on, when the next one is made, what news are taken."""

from __future__ import annotations

import asyncio
import logging
import math
import random
from collections import deque
from collections.abc import Iterator

from balancer import interface as api
from balancer.net import liveness
from balancer.net.discovery_call import Brought, CallStage, DiscoveryCall, End, Reason, max_object_bytes
from balancer.net.endpoints import Address, EndpointUpdate
from balancer.net.limited import LimitedWarnings
from balancer.net.node import Node

log = logging.getLogger(__name__)

CONNECT = 2.0  # s for a connection to come up
WAIT_FIRST, WAIT_MOST = 0.15, 3.0  # s before a new try at most, doubled with each failure, and drawn
WAIT_TOLD = 0.6  # s, likewise, where the call told something and those before it did not
MAX_FORMER_CALLS = 3  # calls at former addresses that are kept: each has a descriptor
ONE_AT_A_TIME = 1.0  # s that a call may have been unanswered for which a new address has to wait
ONE_IN_A_CROWD = 1.5  # s, likewise, where other callers crowd discovery
CROWD_LASTS = 3.0  # s for which it counts as crowded after a call that had to wait there
LASTED = 2.0  # s from its first news on in which a watch has shown that it goes on
NOTES = 40  # lines on what becomes of calls, in 10 s at most
DONE = object()


class DiscoveryClient:
    """Keeps the node's list up to date; the last list stays in force while discovery is away.

    While the watch is wanted there is a call, or a timer for the next one, or the module has set its own;
    never two of these. Beside them a slow call may go on, and after a move those at former addresses.

    A call is not given up because another one is due. Discovery takes calls in turn: the next one starts at
    the end of its queue, while an answer to the former may be on its way and counts as told.
    """

    def __init__(self, node: Node, address: Address, revision: int) -> None:
        self.node, self.address, self.revision = node, address, revision
        self.wanted = False
        self.call: DiscoveryCall | None = None  # the watch, from the moment it is dialled
        self.timer: asyncio.TimerHandle | None = None  # for the next one
        self.slow: DiscoveryCall | None = None  # an older one that still comes
        self.former: list[
            DiscoveryCall
        ] = []  # those at addresses that were left: they end there, or are overtaken
        self.moving = False  # the timer is for the first call at a new address
        self.queued_at = -math.inf  # when a call was answered, or turned away, that had waited in a queue
        self.wait = WAIT_FIRST
        self.answered = True  # the last call that ended had told something
        self.loop = asyncio.get_running_loop()
        self.tasks: set[asyncio.Task[None]] = set()
        self.unread: deque[tuple[DiscoveryCall, Brought]] = deque()
        self.reading: DiscoveryCall | None = None  # whose word is being taken
        self.warnings = LimitedWarnings(log, self.loop.time)
        self.notes = LimitedWarnings(log, self.loop.time, NOTES, logging.INFO)
        self.numbers = 0  # calls made
        memory_mb = node.config.memory_mb
        log.info(
            "list: at most %.1f MiB in one object, of %g MB", max_object_bytes(memory_mb) / 2**20, memory_mb
        )

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
            if call is not None and call.stage is CallStage.DIALLING:
                call.close(End.MOVED)
            elif call is not None:
                self.former.append(call)
        while len(self.former) > MAX_FORMER_CALLS:
            self.former.pop(0).close(End.MOVED)
        self.call = self.slow = None
        self._unset()
        self._call_new_address()

    def _call_new_address(self) -> None:
        """Call there once no other call waits for its answer, or has waited for long.

        Guards against addresses in quick succession: a call for each would crowd discovery.
        """
        asked = [call.dialled for call in self.former if call.stage is CallStage.ASKED]
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
        self._start(DiscoveryCall(self, self._number(), "/discovery/hosts", False), Reason.WANTED)

    def _connect(self, why: Reason, quick: bool = False) -> None:
        self._unset()
        if self.wanted and self.call is None:
            target = f"/discovery/hosts?watch=1&from={self.revision}"
            self.call = DiscoveryCall(self, self._number(), target, True, quick)
            self._start(self.call, why)

    def _number(self) -> int:
        self.numbers += 1
        return self.numbers

    def _start(self, call: DiscoveryCall, why: Reason) -> None:
        self.note("call {} to {}:{} for {}: {}".format(call.number, *call.address, call.target, why.value))
        task = self.loop.create_task(self._dial(call))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _dial(self, call: DiscoveryCall) -> None:
        try:
            async with asyncio.timeout(liveness.URGENT_MESSAGE_TIMEOUT_S if call.quick else CONNECT):
                await self.loop.create_connection(lambda: call, *call.address)
        except (OSError, TimeoutError) as err:
            if call.stage is not CallStage.OVER:
                self.warn("discovery: no connection", str(err) or "timed out")
            call.end(End.NO_CONNECTION)

    def note(self, what: str) -> None:
        """Log what becomes of the calls."""
        self.notes.warn("call", f"discovery: {what}")

    def warn(self, what: str, why: str = "") -> None:
        """Log what went wrong, one line of a kind now and then."""
        self.warnings.warn(what, f"{what}: {why:.200}" if why else what)

    def read(self, call: DiscoveryCall, what: Brought) -> None:
        """Take what a call brought, after all that came before it: at once, unless there is a long list."""
        self.unread.append((call, what))
        if self.reading is None:
            work = self._read()
            if next(work, DONE) is not DONE:
                self.node.turns.add(work)
        call.flow()

    def reads(self, call: DiscoveryCall) -> bool:
        """Whether something that a call brought is still to be taken."""
        return call.feeding or call is self.reading or any(call is other for other, _ in self.unread)

    def _read(self) -> Iterator[None]:
        while self.unread:
            call, what = self.unread.popleft()
            self.reading = call
            try:
                for _ in call.heard(what):
                    yield
                    if call.stage is CallStage.OVER:
                        break
            except Exception:  # a defect: what it says from here on would be without what is lost
                call.end(End.BROKEN)
                raise
            finally:
                self.reading = None
            call.flow()

    def news(self, call: DiscoveryCall, update: EndpointUpdate) -> None:
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
            self.node.list(update, api.ListUpdateKind.SNAPSHOT)
        elif update.revision > self.revision:
            self.revision = update.revision
            self.node.list(update, api.ListUpdateKind.DELTA)
        elif update.revision == self.revision:
            self.node.unchanged()
        call.known = self.revision

    def forget(self) -> None:
        """News were lost: the whole list is to be told, and by a call that does not go on from them."""
        self.revision = 0
        self._close_former(End.BROKEN)

    def settled(self, call: DiscoveryCall) -> None:
        """What a call has told is in force, or on its way there."""
        if call in self.former and self.moving:
            self._call_new_address()

    def told(self, call: DiscoveryCall) -> None:
        """A call has told something whole: the others, or the wait for it, are of no more use."""
        if call.objects_told == 1 and self.loop.time() - call.dialled >= liveness.QUEUED_AFTER_S:
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

    def slowed(self, call: DiscoveryCall) -> None:
        """What the watch tells takes too long to wait for; the oldest such call goes on, as the nearest."""
        self.call, self.slow = None, call
        self._again(call, True)

    def lost(self, call: DiscoveryCall, silent: bool) -> None:
        """A call has ended. Beside a slow one the next has been seen to already."""
        if call.was_queued:
            self.queued_at = self.loop.time()
        if call in self.former:
            self.former.remove(call)
            if self.moving and call.was_queued:  # the next one is not to join the same queue at once
                self._call_new_address_at(
                    self.loop.time() + liveness.CONTENDED_RETRY_DELAY_S * random.uniform(1 / 3, 1.0)
                )
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

    def _again(self, call: DiscoveryCall, silent: bool) -> None:
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
        elif self.node.settings.must_subscribe and not (call.quick and call.told_at is None):
            if not call.done:
                self.node.list_failed(call.reached, call.was_queued)
        elif call.watch:
            period = liveness.REJECTED_RETRY_PERIOD_S if call.reached else liveness.RETRY_PERIOD_S
            left = max(liveness.MIN_RETRY_DELAY_S, call.dialled + period - self.loop.time())
            waits = call.was_queued or (call is self.slow and self.crowded)
            most = liveness.CONTENDED_RETRY_DELAY_S if waits else min(self.wait, left)
            wait = most * random.uniform(1 / 3, 1.0)
            why = Reason.BESIDE if self.slow is call else Reason.RETRY
            self.timer = self.loop.call_later(wait, self._connect, why)
            self.wait = min(2 * self.wait, WAIT_MOST)
        if self.node.fleet is not None and not (call.done or self.slow or self.former):
            self.node.fleet.list_failed()
