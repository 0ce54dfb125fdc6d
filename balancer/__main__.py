"""Starts one node: configuration, signals, exit code."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import logging
import os
import signal
import sys
from collections.abc import Coroutine
from functools import partial
from typing import TYPE_CHECKING

import uvloop

from balancer.errors import BalancerError
from balancer.interface import ListUpdateKind, Settings, TakeoverStarted
from balancer.net import config as config_file
from balancer.net.config import Config, load
from balancer.net.config_errors import ConfigError
from balancer.net.console import Console
from balancer.net.discovery import DiscoveryClient
from balancer.net.front import Front
from balancer.net.handover import SOON, SUFFIX, give, take
from balancer.net.node import Node
from balancer.net.pair import LOOK, Pair, steer, unsteer
from balancer.net.parts import Parts

if TYPE_CHECKING:
    from balancer.net.fleet import Fleet

ACCEPT = 0.8  # s to go on accepting after SIGTERM: connections come for 0.4 s more
END = 0.2  # s before SIGKILL by which the last answer is written
LEAVE = 0.1  # s before SIGKILL by which it is out: the process has still to end
CLOSE = 0.3  # s before that when idle connections are closed: a request that crosses it is still answered
FRESH = 3.0  # s for discovery to tell the list to a process that takes over; it has 6 s to be ready


class ListenError(BalancerError):
    """An address that the node is to serve on, or its console, cannot be had."""

    code = "NOD01"
    remedy = "see who listens there (ss -ltnp): give that one, or this, another listen or PROXY_CONSOLE"


class PartsError(BalancerError):
    """The fleet file asks for parts whose libraries are not installed."""

    code = "NOD03"
    remedy = "install requirements-fleet.txt where run has its libraries, or unset PROXY_FLEET"


def reload(node: Node, discovery: DiscoveryClient, fleet: Fleet | None) -> None:
    """SIGHUP: the configuration file has been replaced; a bad one changes nothing."""
    try:
        config = config_file.reload(os.environ, node.config)
        rooms = fleet.checked(os.environ, config) if fleet is not None else None
    except ConfigError as err:
        node.figures.reload_errors += 1
        logging.warning("reload: %s; nothing is taken", err.line)
        return
    node.reconfigure(config)
    if rooms is not None:
        rooms()
    logging.info("reload: classes %s, %d attempts, discovery at %s:%d",
                 " ".join(node.classes), config.settings.max_attempts, *config.discovery)  # fmt: skip
    if config.discovery != discovery.address:
        discovery.move(config.discovery)


def until_killed(settings: Settings) -> float:
    """Seconds from SIGTERM to SIGKILL at the soonest: the longest deadline, 3 s at most, and 0.7 s."""
    return min(max(c.deadline for c in settings.classes) / 1000, 3.0) + 0.7


def fleet_of(config: Config) -> Fleet | None:
    """The fleet's rooms, where `PROXY_FLEET` names their file; else nothing of them is even imported."""
    if not os.environ.get("PROXY_FLEET"):
        return None
    from balancer.net.fleet import Fleet

    return Fleet(os.environ, config)


async def serve(config: Config) -> None:
    """Run until SIGTERM or SIGINT, then answer what was taken and return. Raises ConfigError, SlotError."""
    loop = asyncio.get_running_loop()
    node = Node(config)
    node.fleet = fleet = fleet_of(config)
    known, recovered = config.known, None
    if fleet is not None:
        known, recovered = fleet.known(known), fleet.recovered()
    node.discovery = discovery = DiscoveryClient(node, config.discovery, known.revision)
    if fleet is not None:
        node.discovery = fleet.steer(node, discovery, known)
    front, console = Front(node, config.limits_per_process(1)[0]), Console(node)
    pair = Pair(node.meeting, partial(beside_changed, node, fleet))
    parts = Parts(node, front, pair)
    pair.looked = lambda: share(node, front, pair.beside, parts)
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload, node, discovery, fleet)
    beside = False
    if config.console is not None:
        await console.listen(config.console)
        logging.info("console on %s:%d", *console.address)
        beside = pair.start()
        share(node, front, beside, parts)
        node.bans.start(beside, *(fleet.bans() if fleet is not None else ()))
    if fleet is not None:
        fleet.take_over()
    node.list(known, ListUpdateKind.CACHED)
    if not config.settings.must_subscribe:
        node.discovery.watch(True)
    if node.listing.pending:  # a long list: what was learned is of backends that are in it
        await unless(stop, node.listing.wait_idle())
    if recovered is not None and not (fleet is not None and fleet.returning):
        node.event(recovered)
    ready = fleet is None or not fleet.returning or await unless(stop, fleet.returned(beside))
    if ready and beside:
        ready = await unless(stop, take_place(node, parts, recovered is None))
    if ready:
        await listen(node, front, pair, fleet)
        await stop.wait()
        await end(node, front, pair, parts, fleet)
    else:
        node.stopping = True
        pair.refresh()
        if fleet is not None and not pair.beside:
            fleet.leave()
    discovery.watch(False)
    node.pool.close()
    console.close()
    node.bans.stop()
    pair.stop()
    if fleet is not None:
        fleet.close()
    logging.info("%s ends", config.name)


async def take_place(node: Node, parts: Parts, ask: bool) -> None:
    """Another process of this node runs: be as ready as it is before both listen; `ask` it what it knows."""
    logging.info("another process of this node runs: taking over")
    node.event(TakeoverStarted())
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(FRESH):
            await node.fresh.wait()
            while not parts.enough:
                await asyncio.sleep(LOOK)
    if ask:
        node.loop.call_later(SOON, inherit, node)


async def listen(node: Node, front: Front, pair: Pair, fleet: Fleet | None) -> None:
    """Serve clients, and be present in the tier."""
    gc.freeze()
    await front.listen(node.config.listen, shared=node.config.console is not None)
    node.listening = True
    node.turns.skips_pauses = False
    if front.socket is not None and node.config.console is not None:
        unsteer(front.socket)
    node.pulse(node.loop.time())
    logging.info("%s serves on %s:%d", node.config.name, *front.address)
    if fleet is not None and not pair.beside:
        fleet.start()


async def unless(stop: asyncio.Event, what: Coroutine[None, None, None]) -> bool:
    """Carry it out, unless the process is to end before that; whether it was carried out."""
    tasks = asyncio.create_task(what), asyncio.create_task(stop.wait())
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()
    if tasks[0].done():
        tasks[0].result()
    return not stop.is_set()


def beside_changed(node: Node, fleet: Fleet | None, beside: bool) -> None:
    """The other process of this node has begun or ended; a successor then takes its place as a member."""
    if beside and fleet is not None and not node.stopping:
        fleet.hand_over()
    if beside and node.listening and not node.stopping:  # a successor has come
        give(node.meeting.with_suffix(SUFFIX), node.balancer.learned(node.now()))
    if fleet is not None and not beside and node.listening and not node.stopping:
        fleet.take_over()  # where a successor had done so, and is gone
        fleet.start()


def inherit(node: Node) -> None:
    """Go on from what the process before has learned, where it has left that."""
    if (left := take(node.meeting.with_suffix(SUFFIX))) is not None:
        node.event(left)
        logging.info("handover: learned state taken over, limit %.1f", left.learned.limit)


def share(node: Node, front: Front, beside: bool, parts: Parts | None = None) -> None:
    """Keep to this process's part of the descriptors: half of them where no part can be told.

    What is idle beyond that goes at once, what is in use when it ends; until then it counts as held.
    """
    limits = parts.limits() if parts is not None else None
    clients, upstream = limits or node.config.limits_per_process(2 if beside else 1)
    before, front.limit, node.pool.limit = front.limit, clients, upstream
    node.pool.trim()
    if clients < before:
        front.displace()
        # Guards requests against a 503 for being over a cap that was lowered under them.
        front.limit = max(clients, min(before, len(front.connections)))
    if parts is not None:
        parts.tell()


async def end(node: Node, front: Front, pair: Pair, parts: Parts, fleet: Fleet | None) -> None:
    """Answer all that was taken, before SIGKILL comes."""
    loop = asyncio.get_running_loop()
    killed = loop.time() + until_killed(node.settings)
    last = killed - END
    pair.refresh()
    node.succeeded, node.stopping = pair.beside, True
    if fleet is not None and not node.succeeded:
        fleet.leave()
    if node.succeeded and front.socket is not None:
        parts.leaving = steer(front.socket, 0 if pair.later else 1)
        await asyncio.sleep(last - CLOSE - loop.time())  # to the last: it may come on any open connection
    else:
        await asyncio.sleep(min(ACCEPT, last - CLOSE - loop.time()))
    front.stop()
    await front.drained(max(0.0, last - loop.time()))
    await node.finish(max(0.0, last - loop.time()))
    await front.close(max(0.0, killed - LEAVE - loop.time()))


def main() -> int:
    """Entry point; a bad configuration ends with one plain line on standard error."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    try:
        uvloop.run(serve(load(os.environ)))
        return 0
    except BalancerError as err:
        why = err
    except ModuleNotFoundError as err:
        why = PartsError(f"PROXY_FLEET needs requirements-fleet.txt: {err}")
    except OSError as err:
        why = ListenError(f"listen: {err}")
    print(f"balancer: {why.sentence}", file=sys.stderr)
    return 2


if __name__ == "__main__":
    sys.exit(main())
