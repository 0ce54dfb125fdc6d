"""A zone of 7,778 of 70,000 backends is lost and back cold within 2 s while a node carries its requests."""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Iterator
from dataclasses import replace
from functools import partial
from types import FrameType
from typing import cast

import pytest

from balancer import interface as api
from balancer.lab.scale import generated_inputs, size
from balancer.net import endpoint_updater
from balancer.net.connection_pool import ConnectionPool
from balancer.net.cooperative import CooperativeScheduler
from balancer.net.endpoint_updater import EndpointUpdater
from balancer.net.endpoints import EndpointUpdate, Member
from balancer.net.statistics import RequestStatistics
from balancer.net.stream import StreamMemory
from balancer.policy import Balancer
from balancer.sim.scheduler import EventScheduler
from tests.helpers import BASE, OverloadBudgetChecker, RuleChecker
from tests.helpers import member as listed_at

GAP_MS = 1000.0 * size.NODES / size.PEAK_PER_S  # between two requests: 193 a second
ANSWER_MS = 4.0
TURN_MS = 1.5  # from one turn of the list to the next, pause included
AWAY_MS, BACK_MS = 1_000.0, 1_000.0  # from the loss until the zone is back, and until all of that is told
CHANGED = 300  # backends of other zones that drain, and as many that are new, in the word of the loss
CALLS = size.BACKENDS // 10  # of Python or C that a turn may make: a walk over what is listed makes more
SETTINGS = replace(
    BASE,
    zone="z0",
    node_count=size.NODES,
    node_index=7,
    charges=api.Charges(cross_zone=0.1),
    slow_start_ms=60_000.0,
)
FULL_PER_S = size.PEAK_PER_S / size.BACKENDS  # of a backend, at the rate for which the tier is planned
ORDER = GONE, DRAINING, UP = (
    api.EndpointPhase.REMOVED,
    api.EndpointPhase.DRAINING,
    api.EndpointPhase.IN_SERVICE,
)


@pytest.fixture(scope="module")
def whole() -> list[Member]:
    """The whole list, of warm backends in nine zones."""
    return [member(generated_inputs.entry(number)) for number in range(size.BACKENDS)]


def member(entry: api.Endpoint) -> Member:
    return listed_at(entry, "127.0.0.1:9")


class World(EventScheduler):
    """One node's list, pool and module on a virtual clock: a turn of the list, then what is due before it."""

    def __init__(self) -> None:
        super().__init__(generated_inputs.START_MS)
        self.balancer, self.checker = Balancer(SETTINGS, 3), RuleChecker(SETTINGS)
        self.budget = OverloadBudgetChecker(SETTINGS, FULL_PER_S)
        self.seats: dict[str, int] = {}  # of backends sent to, by which they are taken together
        pool = ConnectionPool(SETTINGS, 1, RequestStatistics(), StreamMemory(192.0))
        self.listing = EndpointUpdater(pool, self.told, self.taken, cast(CooperativeScheduler, self))
        self.number = self.refused = 0
        self.phases: dict[str, api.EndpointPhase] = {}  # the last word told of each
        self.pieces: list[Counter[api.EndpointPhase]] = []
        self.by_zone = Counter[str]()  # attempts
        self.calls = [0]  # by turn
        self.in_force: list[int] = []
        self.work: Iterator[None] | None = None

    # --- the list

    def add(self, work: Iterator[None]) -> None:
        """Stands in for the node's turns."""
        self.at(self.now + TURN_MS, partial(self.turn, work))

    def turn(self, work: Iterator[None]) -> None:
        def count(frame: FrameType, event: str, arg: object) -> None:
            self.calls[-1] += event in ("call", "c_call")

        told = len(self.pieces)
        if self.in_force:  # the first list is taken before the node serves
            self.calls.append(0)
            sys.setprofile(count)
        more = next(work, self) is not self
        sys.setprofile(None)
        assert len(self.pieces) <= told + 1
        if more:
            self.add(work)

    def told(self, event: api.ListUpdate) -> None:
        self.pieces.append(Counter(entry.phase for entry in event.entries))
        self.phases.update((entry.backend, entry.phase) for entry in event.entries)
        self.tell(event)

    def taken(self, news: EndpointUpdate | None, kind: api.ListUpdateKind) -> None:
        assert news is not None
        self.in_force.append(news.revision)

    def put(self, revision: int, members: list[Member]) -> None:
        self.listing.put(EndpointUpdate(revision, True, tuple(members)), api.ListUpdateKind.SNAPSHOT)

    # --- requests

    def tell(self, event: api.Event) -> None:
        self.checker.event(self.now, event)
        acts = self.balancer.handle(self.now, event)
        self.checker.actions(self.now, acts)
        for act in acts:
            match act:
                case api.StartAttempt():
                    self.sent(act)
                case api.SetTimer():
                    self.at(act.fires_at, partial(self.tell, api.TimerFired(act.token)))
                case api.RejectRequest() | api.FailRequest():
                    self.refused += 1

    def sent(self, send: api.StartAttempt) -> None:
        assert self.phases[send.backend] is UP and send.backend in self.listing.pool.members
        entry = self.balancer.index.records[send.backend].entry
        self.by_zone[entry.zone] += 1
        # Five nodes feed a backend. Coins fall for each backend alone, so what one node sends to five of them
        # stands for what five nodes send to one: the rule is on all of that, and chance has its slack there.
        seat = self.seats.setdefault(entry.backend, len(self.seats))
        self.budget.send(self.now, replace(entry, backend=f"{seat // size.NODES_PER_ENDPOINT}"))
        attempt = len(self.checker.requests[send.request].attempts) - 1
        ok = api.AttemptEnded(send.request, attempt, send.backend, api.AttemptStatus.OK, ANSWER_MS, True)
        self.at(self.now + ANSWER_MS, partial(self.tell, ok))

    def load(self, until: float) -> None:
        """Requests until then, one each GAP_MS."""
        while self.now < until:
            self.run(self.now + GAP_MS)
            name = ("read", "pay", "once")[self.number % 3]
            self.tell(api.RequestArrived(f"r{self.number}", name, self.now + 1000.0))
            self.number += 1


def stops_first(pieces: list[Counter[api.EndpointPhase]]) -> bool:
    """Whether all that goes was told before what drains, and that before what serves."""
    order = [phase for piece in pieces for phase in ORDER if piece[phase]]
    return order == sorted(order, key=ORDER.index)


@pytest.mark.parametrize("zone", ["z0", "z1"], ids=["own", "other"])
async def test_a_zone_is_lost_and_back_cold_within_2_s_at_full_size(whole: list[Member], zone: str) -> None:
    """None is refused: what the zone does not bear yet others take."""
    world = World()
    world.put(1, whole)
    world.run(world.now + 10_000.0)
    assert world.in_force == [1] and len(world.balancer.index.order) == size.BACKENDS
    world.load(world.now + 1_000.0)
    warm = world.by_zone.copy()
    assert warm["z0"] > 0 and not world.refused

    # Lost; in the same word others drain, and others are new.
    begin, world.pieces, world.calls = world.now, [], [0]
    lost = [m.backend for m in whole if m.zone == zone]
    assert len(lost) == round(size.BACKENDS / size.ZONES)
    rest = [m for m in whole if m.zone != zone]
    drain = [replace(m, phase=DRAINING) for m in rest[:CHANGED]]
    numbers = (n for n in range(size.BACKENDS, 2 * size.BACKENDS) if generated_inputs.zone_name(n) != zone)
    new = [member(generated_inputs.entry(next(numbers))) for _ in range(CHANGED)]
    world.put(2, [*new, *drain, *rest[CHANGED:]])
    while world.in_force != [1, 2]:
        world.load(world.now + GAP_MS)
    assert world.now < begin + AWAY_MS
    assert stops_first(world.pieces)
    assert sum(world.pieces, Counter()) == {GONE: len(lost), DRAINING: CHANGED, UP: CHANGED}
    assert len(world.balancer.index.order) == size.BACKENDS - len(lost)
    before = world.by_zone[zone]
    world.load(begin + AWAY_MS)
    # The others take all of it.
    assert world.by_zone[zone] == before and not world.refused
    assert world.by_zone.total() == world.number

    # Back cold, those that drained and those that were new gone again.
    lost_pieces, world.pieces = world.pieces, []
    cold = [replace(m, started_at=world.now) if m.zone == zone else m for m in whole]
    world.put(3, cold)
    while world.in_force != [1, 2, 3]:
        world.load(world.now + GAP_MS)
    assert world.now < begin + AWAY_MS + BACK_MS
    assert sum(world.pieces, Counter()) == {GONE: CHANGED, UP: len(lost) + CHANGED}
    assert stops_first(world.pieces)
    assert len(world.balancer.index.order) == size.BACKENDS
    world.load(begin + AWAY_MS + BACK_MS + 2_000.0)
    world.run(world.now + 2_000.0)

    # No turn did more than its part, no backend got more than its budget, each request has its one answer.
    assert max(piece.total() for piece in lost_pieces + world.pieces) == endpoint_updater.BATCH_ENTRIES
    assert max(world.calls) <= CALLS
    assert world.budget.worst() <= 1.0
    assert world.by_zone.total() == world.number and not world.refused
    assert not world.balancer.requests.by_id and not world.checker.overdue(world.now)
