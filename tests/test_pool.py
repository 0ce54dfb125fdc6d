"""The pool's idle connections: which goes when one must, and that no backend listed costs anything then."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from balancer import interface as api
from balancer.net.endpoints import Member
from balancer.net.figures import Figures
from balancer.net.shards import Shards
from balancer.net.stream import Budget
from balancer.net.upstream import KEEP, Connection, Host, Pool
from tests.helpers import BASE
from tests.virtual_discovery import VirtualLoop


class Unwalked(Shards[Member]):
    """Backends of which there are too many to look through."""

    def __iter__(self) -> Any:
        raise AssertionError

    keys = values = items = __iter__


class Hosts(dict[str, Host]):
    """Those that were sent to may be as many."""

    def __iter__(self) -> Any:
        raise AssertionError

    keys = values = items = __iter__


def members(*names: str, phase: api.EndpointPhase = api.EndpointPhase.IN_SERVICE) -> tuple[Member, ...]:
    return tuple(Member(n, "a", 0, 1.0, phase, 0.0, host_port="127.0.0.1:9") for n in names)


def played(play: Callable[[Pool, VirtualLoop], None]) -> None:
    """With a pool of four backends that nothing walks through."""

    async def run() -> None:
        pool = Pool(BASE, 10, Figures(), Budget(192))
        pool.members, pool.hosts = Unwalked(), Hosts()
        pool.update(members("b0", "b1", "b2", "b3"), False)
        play(pool, loop)
        pool.close()
        assert pool.count == 0 and not pool.idle

    async def never(*_: object) -> None:
        raise AssertionError

    loop = VirtualLoop(never)
    try:
        loop.run_until_complete(run())
    finally:
        loop.close()


def idle(pool: Pool, loop: VirtualLoop, *names: str) -> list[Connection]:
    """Connections to these that fall idle one after the other."""
    out = []
    for name in names:
        loop.skipping_selector.now += 0.01
        out.append(Connection(pool, pool.host(name)))
        pool.count += 1
        pool.release(out[-1], True)
    return out


def test_the_connection_that_has_been_idle_longest_makes_room() -> None:
    def play(pool: Pool, loop: VirtualLoop) -> None:
        made = idle(pool, loop, "b3", "b0", "b3", "b1")
        pool.take(made[0])
        pool.release(made[0], True)  # used once more
        order = [made[1], made[2], made[3], made[0]]
        for number, expected in enumerate(order):
            assert [one.closed for one in order] == [i < number for i in range(4)]
            assert pool._evict() and expected.closed
        assert not pool._evict() and pool.count == 0
        assert [pool.hosts[name].idle for name in ("b0", "b1", "b3")] == [[]] * 3 and len(pool.hosts) == 3

    played(play)


def test_a_sweep_closes_what_has_been_idle_for_long_and_looks_again_while_any_is() -> None:
    def play(pool: Pool, loop: VirtualLoop) -> None:
        old = idle(pool, loop, "b2", "b0")
        loop.skipping_selector.now += KEEP * pool.idle_limit
        young = idle(pool, loop, "b2")
        pool._sweep()
        assert [one.closed for one in (*old, *young)] == [True, True, False]
        assert pool.sweeper is not None and pool.hosts["b2"].idle == young
        loop.skipping_selector.now += KEEP * pool.idle_limit + 0.01
        pool._sweep()
        assert young[0].closed and pool.sweeper is None

    played(play)


def test_what_is_closed_with_its_backend_is_not_closed_again_for_room() -> None:
    def play(pool: Pool, loop: VirtualLoop) -> None:
        made = idle(pool, loop, "b0", "b1", "b1")
        pool.update(members("b1", phase=api.EndpointPhase.DRAINING), False)
        pool.ban("b0", True)
        assert all(one.closed for one in made) and not pool._evict()

    played(play)


def test_the_backends_in_service_are_counted_as_the_list_goes_on() -> None:
    def play(pool: Pool, loop: VirtualLoop) -> None:
        assert pool.listed == 4
        pool.update(members("b0", "b1", phase=api.EndpointPhase.DRAINING) + members("b1", "b4"), False)
        assert pool.listed == 4
        pool.update(members("b0", "b2", "b9", phase=api.EndpointPhase.REMOVED), False)
        assert pool.listed == 3 and len(pool.members) == 3

    played(play)


def test_hosts_share_no_idle_connections() -> None:
    def play(pool: Pool, loop: VirtualLoop) -> None:
        made, other = idle(pool, loop, "b0"), idle(pool, loop, "b1")
        assert pool.hosts["b0"].idle == made and pool.hosts["b1"].idle == other

    played(play)


def test_only_what_is_sent_to_has_a_host_of_its_own() -> None:
    """Guards against a record and a parsed address for each backend of a list of 70,000."""

    def play(pool: Pool, loop: VirtualLoop) -> None:
        assert not pool.hosts and len(pool.members) == 4
        idle(pool, loop, "b1")
        pool.update(members("b1", phase=api.EndpointPhase.DRAINING), False)
        assert list(dict.keys(pool.hosts)) == ["b1"] and not pool.host("b1").up and pool.host("b2").up
        pool.update(members("b1", "b2", phase=api.EndpointPhase.REMOVED), False)
        assert not pool.hosts and len(pool.members) == 2

    played(play)
