"""Connections that this side closes, at the moments in which that is delicate."""

from __future__ import annotations

import asyncio
import gc
import os
import socket
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
import uvloop

from dillport.interface import Status
from dillport.net.figures import Figures
from dillport.net.stream import Budget
from dillport.net.upstream import Answer, Host, Pool
from tests.helpers import BASE
from tests.sockets import WAIT


class Turns(uvloop.Loop):
    """A loop that calls `hook` so many turns after it began to take a descriptor over."""

    hook: Callable[[], None]
    turns = 0

    async def create_connection(self, *args: Any, **more: Any) -> Any:
        """Calls made before the loop's own are carried out before them."""
        self._after(self.turns)
        return await super().create_connection(*args, **more)

    def _after(self, turns: int) -> None:
        self.call_soon(self._after, turns - 1) if turns else self.call_soon(self.hook)


def run(loop: asyncio.AbstractEventLoop, what: Coroutine[Any, Any, None]) -> None:
    """To its end, or fail."""
    try:
        loop.run_until_complete(asyncio.wait_for(what, WAIT))
    finally:
        loop.close()


@pytest.mark.parametrize("turns", [0, 1, 2])
def test_descriptor_of_a_connection_that_is_called_off_while_it_comes_up_is_closed_once(turns: int) -> None:
    """The second close would hit whoever has the number by then: a client that waits for its answer."""

    async def drive() -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        pool = Pool(BASE, 10, Figures(), Budget(192))
        pool.hosts["b0"] = Host(listener.getsockname(), banned=False)
        ended: list[Answer] = []
        called = asyncio.Event()
        others: list[socket.socket] = []

        def call_off() -> None:
            attempt.drop()
            others.extend(socket.socketpair())  # the lowest numbers that are free
            called.set()

        loop.hook, loop.turns = call_off, turns
        attempt = pool.start("b0", b"GET / HTTP/1.1\r\n\r\n", ended.append)
        assert attempt.connection is not None
        task = attempt.connection.task
        assert task is not None
        known = attempt.connection
        await called.wait()
        accepted = listener.accept()[0]
        accepted.settimeout(WAIT)
        assert accepted.recv(100) in (b"", b"GET / HTTP/1.1\r\n\r\n")
        await asyncio.wait([task])
        while known.sock.fileno() >= 0:  # the loop lets go of it some turns later
            await asyncio.sleep(0)
        del known, task
        gc.collect()
        for other in others:
            os.fstat(other.fileno())
        others[0].send(b"still here")
        assert others[1].recv(100) == b"still here"
        assert not ended
        assert not pool.count
        for sock in (*others, accepted, listener):
            sock.close()

    loop = Turns()
    run(loop, drive())


def test_connection_that_does_not_come_up_leaves_its_descriptor_alone_after() -> None:
    """Ruled out: the time-out cancels a connection attempt, and the number is free only once."""

    async def drive() -> None:
        full = socket.socket()  # bound and not listening: refused
        full.bind(("127.0.0.1", 0))
        pool = Pool(BASE, 10, Figures(), Budget(192))
        pool.hosts["b0"] = Host(full.getsockname(), banned=False)
        ended: asyncio.Queue[Answer] = asyncio.Queue()
        pool.start("b0", b"GET / HTTP/1.1\r\n\r\n", ended.put_nowait)
        assert (await ended.get()).status is Status.CONNECT_FAILED
        others = socket.socketpair()
        gc.collect()
        await asyncio.sleep(0)
        for other in others:
            os.fstat(other.fileno())
            other.close()
        full.close()

    run(uvloop.new_event_loop(), drive())
