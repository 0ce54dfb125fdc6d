"""Test eviction and sweeping of idle backend connections, without iteration over the endpoint list."""

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


class NonIterableMembers(ShardedDict[Member]):
    """Endpoint list that fails on iteration, which would be too slow with many endpoints."""

    def __iter__(self) -> Any:
        raise AssertionError

    keys = values = items = __iter__


class NonIterableEndpoints(dict[str, EndpointConnections]):
    """Connection states that fail on iteration, as they may be as many as the endpoints listed."""

    def __iter__(self) -> Any:
        raise AssertionError

    keys = values = items = __iter__


def members(*names: str, phase: api.EndpointPhase = api.EndpointPhase.IN_SERVICE) -> tuple[Member, ...]:
    return tuple(Member(n, "a", 0, 1.0, phase, 0.0, host_port="127.0.0.1:9") for n in names)


def run_with_pool(body: Callable[[ConnectionPool, VirtualLoop], None]) -> None:
    """Run `body` with a pool of four endpoints that fails on iteration over them."""

    async def run() -> None:
        pool = ConnectionPool(BASE, 10, RequestStatistics(), StreamMemory(192))
        pool.members, pool.endpoints = NonIterableMembers(), NonIterableEndpoints()
        pool.update(members("b0", "b1", "b2", "b3"), False)
        body(pool, loop)
        pool.close()
        assert pool.connection_count == 0 and not pool.idle

    async def unexpected_call(*_: object) -> None:
        raise AssertionError

    loop = VirtualLoop(unexpected_call)
    try:
        loop.run_until_complete(run())
    finally:
        loop.close()


def add_idle(pool: ConnectionPool, loop: VirtualLoop, *names: str) -> list[BackendConnection]:
    """Add connections to these endpoints that become idle one after the other."""
    out = []
    for name in names:
        loop.clock_selector.now += 0.01
        out.append(BackendConnection(pool, pool.endpoint(name)))
        pool.connection_count += 1
        pool.release(out[-1], True)
    return out


def test_eviction_closes_the_connection_idle_longest() -> None:
    def body(pool: ConnectionPool, loop: VirtualLoop) -> None:
        made = add_idle(pool, loop, "b3", "b0", "b3", "b1")
        pool.remove_idle(made[0])
        # After its reuse, the first connection has been idle for the shortest time.
        pool.release(made[0], True)
        order = [made[1], made[2], made[3], made[0]]
        for number, expected in enumerate(order):
            assert [one.is_closed for one in order] == [i < number for i in range(4)]
            assert pool.evict_longest_idle() and expected.is_closed
        assert not pool.evict_longest_idle() and pool.connection_count == 0
        assert [pool.endpoints[name].idle for name in ("b0", "b1", "b3")] == [[]] * 3 and len(
            pool.endpoints
        ) == 3

    run_with_pool(body)


def test_sweep_closes_expired_idle_connections_and_repeats_while_any_is_idle() -> None:
    def body(pool: ConnectionPool, loop: VirtualLoop) -> None:
        old = add_idle(pool, loop, "b2", "b0")
        loop.clock_selector.now += IDLE_TIMEOUT_FRACTION * pool.idle_timeout_s
        young = add_idle(pool, loop, "b2")
        pool.sweep()
        assert [one.is_closed for one in (*old, *young)] == [True, True, False]
        assert pool.sweep_timer is not None and pool.endpoints["b2"].idle == young
        loop.clock_selector.now += IDLE_TIMEOUT_FRACTION * pool.idle_timeout_s + 0.01
        pool.sweep()
        assert young[0].is_closed and pool.sweep_timer is None

    run_with_pool(body)


def test_connections_closed_by_drain_or_maintenance_are_not_evicted_again() -> None:
    def body(pool: ConnectionPool, loop: VirtualLoop) -> None:
        made = add_idle(pool, loop, "b0", "b1", "b1")
        pool.update(members("b1", phase=api.EndpointPhase.DRAINING), False)
        pool.set_maintenance("b0", True)
        assert all(one.is_closed for one in made) and not pool.evict_longest_idle()

    run_with_pool(body)


def test_in_service_count_follows_list_updates() -> None:
    def body(pool: ConnectionPool, loop: VirtualLoop) -> None:
        assert pool.in_service_count == 4
        pool.update(members("b0", "b1", phase=api.EndpointPhase.DRAINING) + members("b1", "b4"), False)
        assert pool.in_service_count == 4
        pool.update(members("b0", "b2", "b9", phase=api.EndpointPhase.REMOVED), False)
        assert pool.in_service_count == 3 and len(pool.members) == 3

    run_with_pool(body)


def test_idle_connections_are_kept_per_endpoint() -> None:
    def body(pool: ConnectionPool, loop: VirtualLoop) -> None:
        made, other = add_idle(pool, loop, "b0"), add_idle(pool, loop, "b1")
        assert pool.endpoints["b0"].idle == made and pool.endpoints["b1"].idle == other

    run_with_pool(body)


def test_only_endpoints_with_attempts_have_connection_state() -> None:
    """Guards against memory for a record and a parsed address per endpoint of a list of 70,000."""

    def body(pool: ConnectionPool, loop: VirtualLoop) -> None:
        assert not pool.endpoints and len(pool.members) == 4
        add_idle(pool, loop, "b1")
        pool.update(members("b1", phase=api.EndpointPhase.DRAINING), False)
        assert (
            list(dict.keys(pool.endpoints)) == ["b1"]
            and not pool.endpoint("b1").accepts_requests
            and pool.endpoint("b2").accepts_requests
        )
        pool.update(members("b1", "b2", phase=api.EndpointPhase.REMOVED), False)
        assert not pool.endpoints and len(pool.members) == 2

    run_with_pool(body)
