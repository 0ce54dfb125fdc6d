"""The list of backends: the watch, its objects, its silence, reconnecting."""

from __future__ import annotations

import asyncio
import logging
import random
from collections import Counter
from collections.abc import Iterator
from typing import cast

import httptools

from dillport import interface as api
from dillport.net.config import Address, ListError, News, news_of
from dillport.net.node import Node
from dillport.net.objects import BrokenObject, Objects
from dillport.net.watchdog import ANSWER, HURRY, LOOK, SILENT, UNDER_WAY, UNDER_WAY_MOST, Watchdog

log = logging.getLogger(__name__)

CONNECT = 2.0  # s for a connection to come up
WAIT_FIRST, WAIT_MOST = 0.1, 2.0  # s before a new try, doubled with each failure, jittered
MOST_OBJECT = 8 * 1024 * 1024  # bytes
WARN_EVERY = 10.0  # s between two warnings of a kind


class Call(asyncio.Protocol):
    """One call: a watch that goes on until its connection ends, or the whole list once."""

    def __init__(self, owner: Discovery, target: str, watch: bool, quick: bool = False) -> None:
        """`quick` where a watch has fallen silent: what that missed is due soon."""
        self.owner, self.target, self.watch, self.quick = owner, target, watch, quick
        self.dog = Watchdog(
            owner.loop.time(), HURRY if quick else ANSWER, random.uniform(*SILENT), owner.under_way
        )
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.objects = Objects(MOST_OBJECT)
        self.timer: asyncio.TimerHandle | None = None
        self.told_at: float | None = None  # when it first told something
        self.done = self.over = self.silent = self.doubt = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask, unless discovery moved or the watch was given up while the connection came up."""
        self.transport = cast(asyncio.Transport, transport)  # no subclass of it under uvloop
        if self.over or (self.watch and not (self.owner.wanted and self.owner.call is self)):
            self.close()
            return
        host, port = self.owner.address
        keep = "keep-alive" if self.watch else "close"
        self.transport.write(
            f"GET {self.target} HTTP/1.1\r\nHost: {host}:{port}\r\nConnection: {keep}\r\n\r\n".encode("ascii")
        )
        self._arm()

    def _arm(self) -> None:
        self.timer = self.owner.loop.call_at(self.dog.due, self._look)

    def _look(self) -> None:
        """Guards against a discovery that is cut off: nothing closes its connection, it just says no more."""
        now = self.owner.loop.time()
        if now < self.dog.due:
            self.doubt = False
            self._arm()
        elif not self.doubt:  # the node may have stood still itself, with news unread
            self.doubt = True
            self.timer = self.owner.loop.call_later(LOOK, self._look)
        else:
            if self.dog.trickles(now) and not self.objects.between:  # a list that takes its time, perhaps
                self.owner.under_way = min(2 * self.owner.under_way, UNDER_WAY_MOST)
            self.silent = True
            self.owner.warn("discovery is silent")
            self.close()

    def data_received(self, data: bytes) -> None:
        """Read; what is not HTTP ends the call."""
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as err:
            self.owner.warn("discovery: broken answer", str(err))
            self.close()

    def on_body(self, body: bytes) -> None:
        """Objects may be cut anywhere."""
        if self.over or self.parser.get_status_code() != 200:
            return
        now = self.owner.loop.time()
        self.dog.fed(now)
        for update in self._news(body):
            self.dog.told(now)
            self.owner.under_way = UNDER_WAY
            if self.told_at is None:
                self.told_at = now
            if update is None:
                self.owner.node.unchanged()
            else:
                self.done = not self.watch
                self.owner.news(update)

    def _news(self, body: bytes) -> Iterator[News | None]:
        try:
            for item in self.objects.feed(body):
                yield news_of(item) if item else None
        except (ListError, BrokenObject) as err:
            self._broken(err)
        except (ValueError, RecursionError) as err:
            self._broken(BrokenObject(str(err)))

    def _broken(self, err: ListError | BrokenObject) -> None:
        """What it said is lost, and later changes do not repeat it: only the whole list will do."""
        self.owner.warn("discovery: bad list", err.line)
        self.owner.revision = 0
        self.close()

    def on_message_complete(self) -> None:
        """The end of a whole list, or of a watch."""
        if not (self.watch or self.over or self.objects.between):
            self._broken(BrokenObject("the answer ends before its JSON does"))
        self.close()

    def close(self) -> None:
        """End the call; what else comes is not read."""
        self.over = True
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the owner."""
        if self.timer is not None:
            self.timer.cancel()
        self.owner.lost(self)


class Discovery:
    """Keeps the node's list up to date; the last list stays in force while discovery is away."""

    def __init__(self, node: Node, address: Address, revision: int) -> None:
        self.node, self.address, self.revision = node, address, revision
        self.call: Call | None = None  # the watch, from the moment it is dialled
        self.wanted = False
        self.wait = WAIT_FIRST
        self.under_way = UNDER_WAY
        self.loop = asyncio.get_running_loop()
        self.tasks: set[asyncio.Task[None]] = set()
        self.warned: dict[str, float] = {}  # by kind, when last
        self.muted: Counter[str] = Counter()

    def watch(self, on: bool) -> None:
        """Start or stop the watch."""
        self.wanted = on
        if not on and self.call is not None:
            self.call.close()
        elif on:
            self._connect()

    def move(self, address: Address) -> None:
        """Go to another address: the old one tells nothing more, so a watch there is opened anew at once."""
        self.address, self.wait = address, WAIT_FIRST
        old, self.call = self.call, None
        if old is not None:
            old.close()
        self._connect()

    def fetch(self) -> None:
        """Ask for the whole list once."""
        self._start(Call(self, "/discovery/hosts", False))

    def _connect(self, quick: bool = False) -> None:
        if self.wanted and self.call is None:
            self.call = Call(self, f"/discovery/hosts?watch=1&from={self.revision}", True, quick)
            self._start(self.call)

    def _start(self, call: Call) -> None:
        task = self.loop.create_task(self._dial(call))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _dial(self, call: Call) -> None:
        try:
            async with asyncio.timeout(HURRY if call.quick else CONNECT):
                await self.loop.create_connection(lambda: call, *self.address)
        except (OSError, TimeoutError) as err:
            self.warn("discovery: no connection", str(err) or "timed out")
            self.lost(call)

    def warn(self, what: str, why: str = "") -> None:
        """Log what went wrong, with how often it was left out: one such line in `WARN_EVERY` at most."""
        now = self.loop.time()
        if now - self.warned.get(what, -WARN_EVERY) < WARN_EVERY:
            self.muted[what] += 1
            return
        self.warned[what] = now
        more = self.muted.pop(what, 0)
        text = f"{what}: {why:.200}" if why else what
        log.warning("%s%s", text, f" ({more} more since such a line)" if more else "")

    def news(self, update: News) -> None:
        """Apply an object by its revision: a change that is not newer than the list held is an old one."""
        if update.complete:
            self.revision = update.revision
            self.node.list(update, api.ListKind.FULL)
        elif update.revision > self.revision:
            self.revision = update.revision
            self.node.list(update, api.ListKind.CHANGES)

    def lost(self, call: Call) -> None:
        """A call has ended: the module hears of it where it asks by itself, else the watch is tried again.

        A watch that has fallen silent is opened anew at once, and once more if that fails, in either case: in
        the module's first wait alone what was missed may come to count as told.
        """
        if call.watch:
            if call is not self.call:  # left behind when discovery moved
                return
            self.call = None
        if not self.wanted:
            return
        # News alone does not end the doubling: a list that breaks behind its first object would come ten
        # times a second.
        lasted = call.told_at is not None and self.loop.time() - call.told_at >= WAIT_MOST
        if lasted:
            self.wait = WAIT_FIRST
        if call.watch and call.silent and lasted:
            self._connect(quick=True)
        elif self.node.settings.must_ask and not (call.quick and call.told_at is None):
            if not call.done:
                self.node.list_failed()
        elif call.watch:
            self.loop.call_later(self.wait * random.uniform(0.5, 1.5), self._connect)
            self.wait = min(2 * self.wait, WAIT_MOST)
        if self.node.fleet is not None and not call.done:
            self.node.fleet.list_failed()
