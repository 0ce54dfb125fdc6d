"""The pool's idle connections: which goes when one must, and that no backend listed costs anything then."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from balancer import interface as api
from balancer.net.backend_connection import BackendConnection
from balancer.net.connection_pool import IDLE_TIMEOUT_FRACTION, ConnectionPool, EndpointConnections
from balancer.net.endpoints import Member
from balancer.net.sharded_dict import ShardedDict
from balancer.net.statistics import RequestStatistics
from balancer.net.stream import StreamMemory
from tests.helpers import BASE
from tests.virtual_discovery import VirtualLoop


class Unwalked(ShardedDict[Member]):
    """Backends of which there are too many to look through."""

    def __iter__(self) -> Any:
        raise AssertionError

    keys = values = items = __iter__


class Endpoints(dict[str, EndpointConnections]):
    """Those that were sent to may be as many."""

    def __iter__(self) -> Any:
        raise AssertionError

    keys = values = items = __iter__


def members(*names: str, phase: api.EndpointPhase = api.EndpointPhase.IN_SERVICE) -> tuple[Member, ...]:
    return tuple(Member(n, "a", 0, 1.0, phase, 0.0, host_port="127.0.0.1:9") for n in names)


def played(play: Callable[[ConnectionPool, VirtualLoop], None]) -> None:
    """With a pool of four backends that nothing walks through."""

    async def run() -> None:
        pool = ConnectionPool(BASE, 10, RequestStatistics(), StreamMemory(192))
        pool.members, pool.endpoints = Unwalked(), Endpoints()
        pool.update(members("b0", "b1", "b2", "b3"), False)
        play(pool, loop)
        pool.close()
        assert pool.connection_count == 0 and not pool.idle

    async def never(*_: object) -> None:
        raise AssertionError

    loop = VirtualLoop(never)
    try:
        loop.run_until_complete(run())
    finally:
        loop.close()


def idle(pool: ConnectionPool, loop: VirtualLoop, *names: str) -> list[BackendConnection]:
    """Connections to these that fall idle one after the other."""
    out = []
    for name in names:
        loop.clock_selector.now += 0.01
        out.append(BackendConnection(pool, pool.endpoint(name)))
        pool.connection_count += 1
        pool.release(out[-1], True)
    return out


def test_the_connection_that_has_been_idle_longest_makes_room() -> None:
    def play(pool: ConnectionPool, loop: VirtualLoop) -> None:
        made = idle(pool, loop, "b3", "b0", "b3", "b1")
        pool.remove_idle(made[0])
        pool.release(made[0], True)  # used once more
        order = [made[1], made[2], made[3], made[0]]
        for number, expected in enumerate(order):
            assert [one.is_closed for one in order] == [i < number for i in range(4)]
            assert pool.evict_longest_idle() and expected.is_closed
        assert not pool.evict_longest_idle() and pool.connection_count == 0
        assert [pool.endpoints[name].idle for name in ("b0", "b1", "b3")] == [[]] * 3 and len(
            pool.endpoints
        ) == 3

    played(play)


def test_a_sweep_closes_what_has_been_idle_for_long_and_looks_again_while_any_is() -> None:
    def play(pool: ConnectionPool, loop: VirtualLoop) -> None:
        old = idle(pool, loop, "b2", "b0")
        loop.clock_selector.now += IDLE_TIMEOUT_FRACTION * pool.idle_timeout_s
        young = idle(pool, loop, "b2")
        pool.sweep()
        assert [one.is_closed for one in (*old, *young)] == [True, True, False]
        assert pool.sweep_timer is not None and pool.endpoints["b2"].idle == young
        loop.clock_selector.now += IDLE_TIMEOUT_FRACTION * pool.idle_timeout_s + 0.01
        pool.sweep()
        assert young[0].is_closed and pool.sweep_timer is None

    played(play)


def test_what_is_closed_with_its_backend_is_not_closed_again_for_room() -> None:
    def play(pool: ConnectionPool, loop: VirtualLoop) -> None:
        made = idle(pool, loop, "b0", "b1", "b1")
        pool.update(members("b1", phase=api.EndpointPhase.DRAINING), False)
        pool.set_maintenance("b0", True)
        assert all(one.is_closed for one in made) and not pool.evict_longest_idle()

    played(play)


def test_the_backends_in_service_are_counted_as_the_list_goes_on() -> None:
    def play(pool: ConnectionPool, loop: VirtualLoop) -> None:
        assert pool.in_service_count == 4
        pool.update(members("b0", "b1", phase=api.EndpointPhase.DRAINING) + members("b1", "b4"), False)
        assert pool.in_service_count == 4
        pool.update(members("b0", "b2", "b9", phase=api.EndpointPhase.REMOVED), False)
        assert pool.in_service_count == 3 and len(pool.members) == 3

    played(play)


def test_hosts_share_no_idle_connections() -> None:
    def play(pool: ConnectionPool, loop: VirtualLoop) -> None:
        made, other = idle(pool, loop, "b0"), idle(pool, loop, "b1")
        assert pool.endpoints["b0"].idle == made and pool.endpoints["b1"].idle == other

    played(play)


def test_only_what_is_sent_to_has_a_host_of_its_own() -> None:
    """Guards against a record and a parsed address for each backend of a list of 70,000."""

    def play(pool: ConnectionPool, loop: VirtualLoop) -> None:
        assert not pool.endpoints and len(pool.members) == 4
        idle(pool, loop, "b1")
        pool.update(members("b1", phase=api.EndpointPhase.DRAINING), False)
        assert (
            list(dict.keys(pool.endpoints)) == ["b1"]
            and not pool.endpoint("b1").accepts_requests
            and pool.endpoint("b2").accepts_requests
        )
        pool.update(members("b1", "b2", phase=api.EndpointPhase.REMOVED), False)
        assert not pool.endpoints and len(pool.members) == 2

    played(play)
