"""Every decision of one load-balancer node. Its types (settings, events, actions): balancer/interface.py.

`_pick` is Join-Up-To(m); `_draw` says which backends are eligible; `_send` and `_finish` check the rules.
"""

import hashlib
import math
import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

from balancer import interface as api
from balancer.admission import Admission
from balancer.index import Index, Least
from balancer.state import Attempt, Backend, Class, Members, Request

TRIFLE = 0.012  # a price of no more than this part of the result does not restrict the choice of backends
SAMPLE = 3  # backends looked at in one round: the paper's lowest-estimate search, sampled
GLANCES = 8  # members of a subset looked at, one at random each time, before all of them are
ROUNDS = 3  # rounds before the lowest of all that was seen is taken
PATIENCE = 3.0  # a probe is overdue after this many usual round trips: the backend stands still
SPREAD = 1.5  # second moment of job sizes over the squared mean (the paper's E[G^2]), allowed for in m
FEEDERS = 5  # nodes that feed one backend (subsetting)
SUBSET_MIN = 3  # fewest backends in a node's subset
NEAR = 1 / 3  # the concurrency limit steers for answers that usually take this part of the tightest aim
LIMIT_GAIN = 0.015  # relative step of the limit per answer and unit of error: small, as all nodes act alike
LIMIT_LEAST = 2.0  # lowest and first limit, for each backend that falls to this node if that is over one
TRIP_DRIFT = 1.005  # the least answer time of a backend is let rise by this with each answer: routes change
BYPASS = 3.0  # worth for its time, over the mean, from which a request does not wait for the limit
COLD_PART = 0.5  # part of what a cold backend can take before it falls that all nodes together may send it
TRIES_SAVED = 8  # the window of a fall over the time for which chances of cold backends may be saved up
FIRST = 2.0  # nodes at least that send at once to a backend that was put back: one may be idle or gone
EJECT_MAX = 5  # doublings of the ejection time
RETRY_SHARE = 0.15  # further attempts earned by each arrival (retry budget)
RETRY_BANK = 3.0  # and how many can be saved up
FIT = 0.9  # part of the expected time that must still fit before the aim, else sending is waste
THROTTLE = 1.4  # without looking, shedding begins once the cubed share of good sends is under one in this
SPILL = 0.1  # step of the share sent to other zones, per answer and unit of what they are better by
LOSSY = 0.05  # share of attempts without an answer from which answers are taken to get lost
GOLDEN = (math.sqrt(5) - 1) / 2  # its multiples lie evenly on a ring, whichever numbers a zone's nodes have
EWMA = 0.1  # weight of one sample in a running mean
AWAY = (1.0, 2.0)  # usual times of its class that a refused client is told to stay away, at least and most
RETURNING = (1.0, 12.0)  # the like while the tier returns, when many more come back
SHOWN = 500.0  # a backend that has been avoided for this long is shown as unavailable
ASK_PERIOD = 3_950.0  # from one call of discovery to the next at most, see net/watchdog.py
ASK_REST = 900.0  # of it, what is left for the wait after a call that took as long as one may
ASK_KNOWN = 6_000.0  # ms after which what discovery has counts as told, see net/watchdog.py
ASK_CROWDED = 1_200.0  # the longest wait until then where discovery itself ends calls: it may be crowded
ASK_TRIES = 4.0  # a wait is at most such a part of what is left until then, for a call that was not queued
ASK_LEAST = 800.0  # and this at least
ASK_TURNED_AWAY = 2_800.0  # from one call to the next at most where discovery itself turns calls away
TINY = 1e-9  # ms: a time to divide by is never 0
LOG_EVERY = 10_000.0  # a node logs at most one line in this time


class Balancer:
    """One node. `handle` takes an event and the clock and returns the actions."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.rng, self.now = random.Random(seed), 0.0
        self.acts: list[api.Action] = []
        self.index = Index()
        self.backends, self.order = self.index.records, self.index.order  # all; who may have new work
        self.classes: dict[str, Class] = {}
        self._configure(settings)
        self.home = self.width = 0  # so many of the first in it are in reach without a price; in the subset
        self.members: dict[bool, Members] = {}  # of the subset, and of its like on the far side
        self.bad, self.spill = [0.0, 0.0], 0.0  # share gone bad near and far; share of requests sent far
        self.opening = False  # the first list is coming in pieces
        self.even = 0.0  # backends in each zone, were they spread evenly
        self.fleet = 0  # most backends ever listed: what a warm one's share is measured by
        self.banned: set[str] = set()  # by the operators
        self.returned: dict[str, float] = {}  # when they put a backend back
        self.owed: set[str] = set()  # put back and sent nothing yet
        self.places: dict[str, int] = {}  # where a banned one stood in `order`
        self.requests: dict[str, Request] = {}
        self.held: list[Request] = []
        self.timers: dict[int, tuple[Callable[[Any], None], Any]] = {}
        self.token = self.out = self.asks_failed = self.arrived = self.shed = 0
        self.limit, self.least, self.bank, self.logged = LIMIT_LEAST, LIMIT_LEAST, RETRY_BANK, -LOG_EVERY
        self.asked, self.asks = -math.inf, 0  # when discovery was last asked for the list; which ask is next
        # Requests given up since the last gauge: they could not be in time, were shed by own success, waited
        # too long for the limit, found none eligible, or failed and may not go out again.
        self.why: Counter[str] = Counter()
        self.lost = 0.0  # share of attempts that got no answer of late
        # Arrivals, faded over a ramp, and the ms they came in; the last; how many may still try cold ones.
        self.came, self.came_in, self.last_came, self.may_try = 0.0, 0.0, math.inf, 1.0
        self.admission: Admission | None = None  # while the tier returns from a loss of power
        self.cold_since = 0.0  # what the list says to have started before that counts as started then
        self.trust = 1.0  # share of sends answered within the aim; where the node looks, on an idle sign
        self.rtt = 2.0 * settings.clock_granularity_ms  # usual round trip of a probe, until probes tell
        self.density = (
            sum(c.priority_weight / c.latency_objective_ms for c in settings.classes)
            * 4
            / len(settings.classes)
        )
        self.on: dict[type, Callable[[Any], None]] = {
            api.RequestArrived: self._arrival,
            api.AttemptEnded: self._outcome,
            api.HealthCheckEnded: self._probed,
            api.TimerFired: self._timer,
            api.ListUpdate: self._list,
            api.ClientDisconnected: self._gone,
            api.ResponseStarted: self._stream,
            api.Reconfigured: self._reconfigured,
            api.MaintenanceChanged: self._maintenance,
            api.TakeoverStarted: self._ask,
            api.RequestBodyReceived: self._arrived,
            api.LearnedStateRestored: self._recovered,
            api.RecoveryProgressed: self._recovering,
            api.PeerMessage: lambda event: None,
        }

    def _configure(self, settings: api.Settings) -> None:
        """Take settings. A class that stays hands on what was learned; requests keep their own record."""
        held, self.cfg = self.classes, settings
        self.classes = {
            c.name: replace(held[c.name], cfg=c) if c.name in held else Class(c, c.latency_objective_ms / 4)
            for c in settings.classes
        }
        self.strains = Least(self._ease)
        for cls in self.classes.values():
            cls.usual = self._in_time(cls.cfg, cls.usual)
            self.strains.push(cls.cfg.name)
        self.usual_sum = sum(c.usual for c in self.classes.values())  # ms; kept up as they change
        self.ramp = max(settings.slow_start_ms, TINY)  # ms; a deployment may have none
        self.longest_aim = max(c.latency_objective_ms for c in settings.classes)
        self.priced = settings.charges.cross_zone > TRIFLE  # the way to other zones
        self.looks = (
            settings.health_checks_allowed
            and settings.load_report_mode is not api.LoadReportMode.NONE
            and settings.charges.probe * SAMPLE <= TRIFLE
        )

    def _in_time(self, c: api.RequestClass, usual: float) -> float:
        """A usual time under which requests of the class are sent.

        Guards against a class whose aim got shorter: shed whole it would never learn that it can be met.
        """
        return min(usual, c.deadline if c.late_weight_fraction > 0 else c.latency_objective_ms)

    def _ease(self, class_name: str) -> float:
        """The contrary of a class's strain, so that the least is that of the most strained one."""
        return -cls.strain if (cls := self.classes.get(class_name)) is not None else math.inf

    def _reconfigured(self, ev: api.Reconfigured) -> None:
        nearness = self.cfg.zone, self.priced
        self._configure(ev.settings)
        self.asks_failed = 0  # discovery may be at another address
        if nearness != (self.cfg.zone, self.priced):
            self.order.sort(self._near)
        self.members.clear()
        self._measure()
        self._release()

    def _maintenance(self, ev: api.MaintenanceChanged) -> None:
        """Bans go by id and apart from the list, which cannot lift one."""
        name = ev.backend
        if ev.out:
            self.banned.add(name)
            self.owed.discard(name)
            if name in self.order:
                self.places[name] = self.order.index(name)
        else:  # it was restarted meanwhile
            self.banned.discard(name)
            # Older ones have no say any more: a backend is warm by then.
            self.returned = {
                k: at for k, at in self.returned.items() if self.now - at < self.cfg.slow_start_ms
            }
            self.owed &= self.returned.keys()
            self.returned[name] = max(self.returned.get(name, 0.0), ev.since)
            if self.now - ev.since < self.cfg.slow_start_ms and self._is_first(name):
                self.owed.add(name)
            if (b := self.backends.get(name)) is not None:
                b.restarted()
        self._refresh([name])
        if not ev.out:
            self.places.pop(name, None)  # it is not listed now, and comes as a new one

    def learned(self, now: float) -> api.LearnedState:
        """What an heir of this node can use, at the clock time `now`."""
        classes = {name: (c.usual, c.dev, c.strain) for name, c in self.classes.items()}
        known = [self.backends[name] for name in self.index.learned]
        backends = {
            b.entry.backend: (b.entry.started_at, b.slow, b.trip, b.fails, max(0.0, b.until - now))
            for b in known
            if b.entry.phase is not api.EndpointPhase.REMOVED and (b.fails or b.trip < math.inf)
        }
        return api.LearnedState(self.limit, self.trust, self.lost, classes, backends)

    def _recovered(self, ev: api.LearnedStateRestored) -> None:
        """Believed the less the older it is: in the time of a ramp a fleet becomes another one.

        A backend started or put back since is a new one; its estimate stays at what this process sent.
        """
        self.members.clear()
        keep, was = 0.5 ** (ev.age / self.ramp), ev.learned
        self.limit = max(self.limit, self.least + keep * (was.limit - self.least))
        self.trust, self.lost = 1.0 - keep * (1.0 - was.trust), keep * was.lost
        for name, (usual, dev, strain) in was.classes.items():
            if (c := self.classes.get(name)) is not None:
                c.usual, c.dev = self._in_time(c.cfg, c.usual + keep * (usual - c.usual)), keep * dev
                c.strain += keep * (strain - c.strain)
                self.strains.push(name)
        self.usual_sum = sum(c.usual for c in self.classes.values())
        for name, (started, slow, trip, fails, left) in was.backends.items():
            b = self.backends.get(name)
            if b is None or b.entry.started_at > started or name in self.returned or keep == 0.0:
                continue
            b.slow, b.trip = 1.0 + keep * (slow - 1.0), trip / keep
            if left > ev.age:
                b.fails, b.until, b.away = fails, self.now + left - ev.age, self.now
            self.index.note(b)

    def _recovering(self, ev: api.RecoveryProgressed) -> None:
        self.cold_since = ev.cold_since
        self.members.clear()
        if ev.phase is api.RecoveryPhase.FULL:
            self.admission = None
        elif self.admission is None:
            self.admission = Admission(ev, self.now)
        else:
            self._fill(self.admission)
            self.admission.word = ev
        self._release()

    def _fill(self, admission: Admission) -> None:
        warmth = [self._warmth(self.backends[name].entry) for name in self.order]
        admission.fill(self.now, warmth, self.fleet, self.cfg)

    def _takes(self, b: Backend) -> bool:
        """Whether the list and the operators let it have new work."""
        return b.entry.phase is api.EndpointPhase.IN_SERVICE and b.entry.backend not in self.banned

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Decide on one event at the clock time `now` (it never goes back)."""
        if (handler := self.on.get(type(event))) is None:
            raise api.CallError(f"not an event: {event!r}")
        self.now, self.acts = now, []
        handler(event)
        return self.acts

    def listed(self, name: str) -> bool:
        """Whether the list names this backend, or did so until lately."""
        return name in self.backends or name in self.index.former

    def unavailable(self, now: float) -> int:
        """How many listed backends get nothing now, or nothing but in a panic.

        A short ejection does not count: it is over before anyone has read of it.
        """
        avoided = sum(now - b.away >= SHOWN for b in self.index.set_aside(now))
        return self.index.listed - len(self.order) + avoided

    def _pick(self, pool: list[Backend], m: int) -> Backend:
        """JUT(m): the lowest estimate below m, ties at random; a random backend once all have reached m."""
        low = min(b.estimate for b in pool)
        if low < m:
            return self.rng.choice([b for b in pool if b.estimate == low])
        return self.rng.choices(pool, [b.weight for b in pool])[0]

    def _choose(self, req: Request, members: Members, m: int, crowd: float) -> Backend | None:
        """`_pick` of all eligible members; by rejection sampling, whose cost is not of their number, while no
        cold one is among them.

        One at random is taken if it is eligible and none can be lower, or, once all have reached m, with a
        chance in proportion to its weight: each has the chance that `_pick` gives it, at whichever glance,
        and when all glances were rejected `_pick` itself decides.
        """
        size, of = len(members.backends), members.warm
        pool = [
            b
            for b in members.cold
            if self._eligible(req, b, crowd, b.until)
            and self._bears(req, b, self._warmth(b.entry), 0, size, size)
        ]
        req.cold_ok = False
        for _ in range(GLANCES if of and not pool else 0):
            b = of[int(self.rng.random() * len(of))]
            fits = (
                b.estimate == members.floor
                if members.floor < m
                else (self.rng.random() * members.heaviest < b.weight)
            )
            if fits and self._eligible(req, b, crowd, b.until):
                return b
        members.floor = min([b.estimate for b in of], default=0)
        members.heaviest = max([b.weight for b in of], default=0.0)
        pool += [b for b in of if self._eligible(req, b, crowd, b.until)]
        return self._pick(pool, m) if pool else None

    def _members(self, size: int, far: bool) -> Members:
        """The first so many of the order, as `Order.window` counts."""
        held = self.members.get(far)
        if held is None or len(held.backends) != size or held.until <= self.now:
            some = self.index.window(0, size, far)
            warm, cold = list[Backend](), list[Backend]()
            for b in some:
                (cold if self._warmth(b.entry) < 1.0 else warm).append(b)
            until = min([self._warm_at(b.entry) for b in cold], default=math.inf)
            held = self.members[far] = Members(some, warm, cold, until)
        return held

    def _eligible(self, req: Request, b: Backend, crowd: float, until: float) -> bool:
        """Whether one may be given this request if it is warm; it counts as ejected until then."""
        return (
            b.out <= crowd
            and b.busy <= self.now
            and until <= self.now
            and b not in req.found
            and self._legal(req, b)
        )

    def _report(self, b: Backend, report: api.LoadReport | None, fresh: bool) -> None:
        """An idle sign zeroes the estimate, but for own attempts still out: a late sign knows none."""
        load = None if report is None else report.queue if report.in_flight is None else report.in_flight
        if load is None:
            return
        if load < 0.5:
            b.estimate = b.out
        elif fresh:  # the bound is known anew: a probe is one round trip old
            b.estimate = max(b.out, round(load))
        for members in self.members.values():
            members.floor = min(members.floor, b.estimate)

    def _cap(self, req: Request) -> int:
        """m: how many requests can stand in line and the last still meet its aim."""
        return max(1, int(req.cls.cfg.latency_objective_ms / (SPREAD * max(req.cls.usual, 1e-9))))

    def _draw(
        self, req: Request, count: int, of: list[Backend], crowd: float = math.inf, panic: bool = False
    ) -> list[Backend]:
        """Up to `count` eligible ones at random. Slow start: cold ones are thinned out, in fractions.

        Each request goes to a cold backend with a chance of COLD_PART of the fall multiple times its warmth,
        out of the fleet as large as it was before restarts: all nodes together keep its budget, however many.
        """
        out: list[Backend] = []
        for place, b in enumerate(self.rng.sample(of, min(len(of), 3 * count))):
            if not self._eligible(req, b, crowd, 0.0 if panic else b.until):
                continue
            warmth = self._warmth(b.entry)
            if warmth < 1.0 and not self._bears(req, b, warmth, place, count, len(of)):
                continue
            out.append(b)
            if len(out) >= count:
                break
        req.cold_ok = False
        return out

    def _bears(self, req: Request, b: Backend, warmth: float, place: int, count: int, of: int) -> bool:
        """Whether a cold backend, drawn as the one at `place`, may be given this request; `count` of so many
        are wanted, and what is drawn beyond that is drawn for those that were not eligible.

        All nodes of a zone feed the first of its backends to return: they bear no more than in a full zone.
        """
        among: float = min(count, of)
        chance = COLD_PART * self.cfg.overload_multiple * warmth * len(self.order) / self.fleet
        if self._near(b):
            chance *= min(1.0, max(self.home, of) / self.even)
        if self.admission is not None:
            if not self.admission.allows(req.dense):
                return False
            chance, among = self.admission.eased(chance, among, warmth, self.trust)
        elif place >= count or self.may_try < 1.0:  # beyond count it got the chance of several
            return False
        return req.cold_ok and self.rng.random() * among <= chance

    def _warmth(self, entry: api.Endpoint) -> float:
        """The part of its capacity that a backend surely has by now."""
        left, cold = self._warm_at(entry) - self.now, self.cfg.cold_capacity_fraction
        if left <= 0:
            return 1.0
        return cold + (1.0 - cold) * max(0.0, 1.0 - left / self.ramp)

    def _warm_at(self, entry: api.Endpoint) -> float:
        """From when on it is warm; 0: it was so when the clock began."""
        started = max(entry.started_at, self.returned.get(entry.backend, 0.0), self.cold_since)
        return started + self.ramp if started > 0 else 0.0

    def _legal(self, req: Request, b: Backend) -> bool:
        """May this request go to this backend without taking effect twice? One attempt is out at a time."""
        if not req.attempts:
            return True
        bound = self._bound(req)
        return bound is not None and all(place == _place(req, b) for place in bound)

    def _bound(self, req: Request) -> set[str | int] | None:
        """The zones or cells, all of them, that its next attempt has to be in; None: none may be made."""
        c, bound = req.cls.cfg, set[str | int]()
        for a in req.attempts:
            if a.status is None:
                return None
            if a.status in api.NOT_EXECUTED or c.idempotency is api.Idempotency.IDEMPOTENT:
                continue
            if c.idempotency is api.Idempotency.NOT_IDEMPOTENT or self.now > self._forgotten(req, a):
                return None
            if c.deduplication_scope is not api.DeduplicationScope.ALL:
                bound.add(_place(req, a.backend))
        return bound

    def _may_go_on(self, req: Request) -> bool:
        """Whether any backend may have its next attempt: one in service, where it is bound to."""
        bound = self._bound(req)
        if bound is None or len(bound) > 1:
            return False
        there = (
            self.index.zones
            if req.cls.cfg.deduplication_scope is api.DeduplicationScope.ZONE
            else self.index.cells
        )
        return all(place in there for place in bound) if bound else len(self.order) > 0

    def _forgotten(self, req: Request, a: Attempt) -> float:
        """When the backends of its group may take a keyed repeat for a new request."""
        return a.sent + req.cls.cfg.deduplication_window_ms - 2 * self.cfg.clock_granularity_ms

    def _window(self, req: Request) -> float:
        """Until when a further attempt may leave: its connection may come up much later. 0: no limit."""
        if req.cls.cfg.idempotency is not api.Idempotency.WITH_KEY:
            return 0.0
        return min(
            (self._forgotten(req, a) for a in req.attempts if a.status not in api.NOT_EXECUTED), default=0.0
        )

    def _panic(self, req: Request, count: int, of: list[Backend], crowd: float = math.inf) -> list[Backend]:
        """Nothing this node feeds is eligible: its own view may be the culprit, so ejections are ignored."""
        self._log(f"panic: {len(of)} backends in view, none eligible, ignoring ejections")
        return self._draw(req, count, of, crowd, panic=True)

    def _eject(self, b: Backend) -> None:
        """Outlier ejection with exponential backoff and jitter."""
        self._left_alone(b)
        b.fails = min(b.fails + 1, EJECT_MAX)
        b.until = self.now + self.longest_aim * 2 ** (b.fails - 1) * self.rng.uniform(0.5, 1.5)
        self.index.note(b)

    def _left_alone(self, b: Backend) -> None:
        if max(b.busy, b.until) <= self.now:
            b.away = self.now

    def _arrival(self, ev: api.RequestArrived) -> None:
        cls, most = self._came_under(ev)
        c = cls.cfg
        useful = self._useful(cls, ev.deadline, ev.work_hint)
        density = c.priority_weight / cls.usual
        self.density += EWMA / 2 * (density - self.density)
        self.bank, self.arrived = min(RETRY_BANK, self.bank + RETRY_SHARE), self.arrived + 1
        req = Request(
            ev.request,
            cls,
            ev.work_hint,
            ev.deadline,
            useful,
            density > BYPASS * self.density,
            most,
            arriving=ev.arriving,
        )
        self.requests[ev.request] = req
        self._earn_tries()
        if self.admission is not None and self.admission.due(self.now):
            self._fill(self.admission)
        # What cannot meet its aim is shed at once: cheaper for all than a failure after the aim.
        if self._fits(req):
            self._route(req)
        else:
            self._finish(req, "late")

    def _earn_tries(self) -> None:
        """A token bucket of requests that may try cold backends: filled at the mean rate of arrivals over the
        time of a ramp, or at what the limit lets out if that is more, as after a lull.

        What warm ones take, the limit bounds. Where all are cold a request that finds none costs nothing, its
        client returns, and a burst would send them as many times more.
        """
        past, self.last_came = max(0.0, self.now - self.last_came), self.now
        keep = math.exp(-past / self.ramp)
        self.came, self.came_in = self.came * keep + 1.0, self.came_in * keep + past
        tick, usual = max(self.cfg.clock_granularity_ms, TINY), self.usual_sum / len(self.classes)
        rate = max(self.limit / max(usual, tick), self.came / max(self.came_in, tick))  # a ms
        most = max(1.0, rate * self.cfg.overload_window_ms / TRIES_SAVED)
        self.may_try = min(most, self.may_try + rate * past)

    def _came_under(self, ev: api.RequestArrived) -> tuple[Class, int]:
        """Its class and most attempts: a reload between its head and its last byte is for later ones."""
        under, held = ev.under or self.cfg, self.classes.get(ev.class_name)
        if under is not self.cfg:
            c = next((c for c in under.classes if c.name == ev.class_name), None)
            if c is not None and (held is None or held.cfg != c):
                held = Class(c, c.latency_objective_ms / 4) if held is None else replace(held, cfg=c)
        if held is None:
            raise api.CallError(f"unknown class: {ev.class_name!r}")
        return held, under.max_attempts

    def _useful(self, cls: Class, deadline: float, work: float | None) -> float:
        """Until when an answer is worth something, for a request that is in whole now."""
        c, left = cls.cfg, deadline - self.now
        latency_objective_ms = (
            c.deadline
            if c.late_weight_fraction > 0
            else c.latency_objective_ms + c.objective_per_work * (work or 0.0) - self._age(cls, left)
        )
        return min(deadline, self.now + latency_objective_ms)

    def _arrived(self, ev: api.RequestBodyReceived) -> None:
        """The body is in: the backend's work and the request's time begin."""
        if (req := self.requests.get(ev.request)) is None or not req.arriving or req.over:
            return
        req.arriving, req.deadline = False, ev.deadline
        req.useful = self._useful(req.cls, ev.deadline, req.hint)
        if req.out:
            attempt = req.attempts[-1]
            attempt.counted, attempt.sent = True, self.now
            attempt.backend.out, self.out = attempt.backend.out + 1, self.out + 1

    def _age(self, cls: Class, left: float) -> float:
        """First tries all get the same time; a retry gets what is left of the deadline, which tells its age.

        Guards against refusing every first try once one retry came with more time than first tries have.
        """
        same = abs(left - cls.allowance) <= 2 * self.cfg.clock_granularity_ms
        cls.votes += 1 if same else -1
        if cls.votes < 0:
            cls.allowance, cls.votes, same = left, 1, True
        return 0.0 if same else max(0.0, cls.cfg.deadline - left)

    def _fits(self, req: Request, ahead: float = 0.0) -> bool:
        """Can it still be served before its aim, after `ahead` of waiting?"""
        return req.arriving or self.now + FIT * ((req.hint or req.cls.usual) + ahead) < req.useful

    def _route(self, req: Request) -> None:
        passing = max(RETRY_SHARE, THROTTLE * self.trust**3)  # quiet nodes shed in fractions, by own success
        if self.looks:
            req.rounds, req.found = 0, []
            self._look(req)
        elif not (req.attempts or req.dense) and self.rng.random() > passing:
            self._finish(req, "success")
        elif self.out < self.limit or req.dense or req.arriving:
            self._dispatch(req)
        else:  # hold: last come first served, so that what is sent has time left
            self.held.append(req)
            self._at(req.useful - FIT * req.cls.usual, self._expire, req)

    def _expire(self, req: Request) -> None:
        if req in self.held:
            self.held.remove(req)
            self._finish(req, "held")

    def _release(self) -> None:
        while self.held and self.out < self.limit:
            req = self.held.pop()
            if req.over:  # its client has left
                continue
            if self._fits(req):
                self._dispatch(req)
            else:
                self._finish(req, "held")

    def _dispatch(self, req: Request) -> None:
        """Without looking: JUT over the subset, but for members crowded by this node's own count."""
        if self.owed and not req.attempts and (back := self._back()) is not None:
            self._send(req, back)
            return
        # Wider for a node that carries far more than its part, lest it crowd the few that fall to it, but no
        # wider than there are backends: the limit is shared over them.
        k = max(1, min(max(self.width, self.out), len(self.order)))
        # Own zone first, others as far as they are better by more than the price: hot or failing zones spill.
        far = self.rng.random() < self.spill
        if req.attempts:  # a repeat stays on its side: it may be bound to the zone
            far = not self._near(req.attempts[0].backend)
        crowd, side = math.inf if req.dense else self.limit / k, self.home
        if far := far and self.home < len(self.order):
            side = len(self.order) - self.home
        members = self._members(min(k, side), far)  # a subset that is wider than the side would mix both
        # Every node takes its part of what a backend may be given after it showed idle.
        m = max(1, self._cap(req) // self.cfg.node_count)
        b = self._choose(req, members, m, crowd)
        if b is None and (pool := self._beyond(req, k, len(members.backends), far, crowd)):
            b = self._pick(pool, m)
        if b is None or self._warmth(b.entry) < 1.0:
            self.may_try = max(0.0, self.may_try - 1.0)
        if b is None and not far and self.rng.random() < self._missing(members):
            b = self._choose(req, self._members(min(k, len(self.order) - self.home), True), m, crowd)
        if b is not None:
            self._send(req, b)
        else:
            self._finish(req, "none")

    def _missing(self, members: Members) -> float:
        """The part of its requests without a near backend that other zones are to take: the part of its near
        ones that is cold, as after the loss of a whole zone.

        Guards against refusing what others have room for. Where near ones are crowded or fail, others are
        not flooded; nothing goes that would earn less than its way.
        """
        if self.home >= len(self.order) or self.cfg.charges.cross_zone >= 1.0 or not members.backends:
            return 0.0
        return len(members.cold) / len(members.backends)

    def _beyond(self, req: Request, k: int, size: int, far: bool, crowd: float) -> list[Backend]:
        """None of the subset, of this size, is eligible: its reserve, or any of both in panic."""
        view = self.index.window(0, 2 * k, far)
        return self._draw(req, k, view[size:], crowd) or self._panic(req, k, view, crowd)

    def _is_first(self, name: str) -> bool:
        """Whether this node is one of those that send a backend that was put back a request at once.

        All nodes hear of it at about the same time. It surely carries one request after the other; so much of
        that as a cold one bears is spread over the nodes, for each backend from another place on.
        """
        usual = self.usual_sum / max(1, len(self.classes))
        surely = (
            self.cfg.overload_multiple
            * self.cfg.cold_capacity_fraction
            * self.cfg.overload_window_ms
            / max(usual, 1e-9)
        )
        return self._ring(name) * self.cfg.node_count < max(FIRST, COLD_PART * surely)

    def _back(self) -> Backend | None:
        """A backend that was put back gets a request at once: cold and far ones might wait long for theirs,
        and the operators look whether it is in use again."""
        for name in sorted(self.owed):
            b = self.backends.get(name)
            if b is not None and self._takes(b) and max(b.busy, b.until) <= self.now:
                self.owed.discard(name)
                return b
        return None

    def _look(self, req: Request) -> None:
        """Ask a few backends how they are; the request waits one round trip."""
        req.rounds, req.looks, k = req.rounds + 1, req.looks + 1, self.width
        view = self.index.window(0, 2 * k)
        pool = self._draw(req, SAMPLE, view[:k]) or self._draw(req, SAMPLE, view[k:])
        for b in pool or self._panic(req, SAMPLE, view):
            req.pending.add(b.entry.backend)
            if b.waiting is None:
                b.waiting = []
                self.acts.append(api.CheckHealth(b.entry.backend))
            b.waiting.append(req)
        self._at(
            self.now + PATIENCE * self.rtt + self.cfg.clock_granularity_ms, self._overdue, (req, req.looks)
        )
        if not req.pending:
            self._settle(req)

    def _overdue(self, what: tuple[Request, int]) -> None:
        """Probes that are not back in the usual time: the backend stands still, whatever the cause."""
        req, look = what
        if req.looks == look and req.pending:
            for name in sorted(req.pending):
                b = self.backends[name]
                b.until = max(b.until, self.now + req.cls.usual * self.rng.uniform(0.5, 1.5))
                self.index.note(b)
            self._settle(req)

    def _probed(self, ev: api.HealthCheckEnded) -> None:
        b = self.backends[ev.backend]
        waiting, b.waiting = b.waiting or [], None
        if ev.status is api.AttemptStatus.OK:
            self.rtt += EWMA * (ev.duration - self.rtt)
            self._report(b, ev.report, True)
            b.until = min(b.until, self.now)
        else:
            self._eject(b)
        for req in waiting:
            if ev.backend in req.pending:
                req.pending.discard(ev.backend)
                if ev.status is api.AttemptStatus.OK:
                    req.found.append(b)
                # Guards against reports that freeze: an idle sign is believed as often as such sends succeed.
                if b.estimate == 0 and self.rng.random() > self.trust:
                    b.estimate = self._cap(req)
                if not req.pending or (req.found and b.estimate == 0):
                    self._settle(req)
        self._forget(b)

    def _settle(self, req: Request) -> None:
        """All that was asked has answered, or an idle backend has: decide."""
        req.pending = set()
        pool = [b for b in req.found if self._takes(b) and self._legal(req, b)]
        low, m = min((b.estimate for b in pool), default=math.inf), self._cap(req)
        if low > 0 and req.rounds < ROUNDS:
            self._look(req)
        elif low < m and self._fits(req, max(0.0, low - 0.5) * req.cls.usual):
            self._send(req, self._pick(pool, m))
        else:
            self._finish(req, "none")

    def _send(self, req: Request, b: Backend) -> None:
        """The one place where an attempt is made: drains, repeats, closed requests and limits end here."""
        if (
            req.over
            or req.stream
            or not self._takes(b)
            or not self._legal(req, b)
            or len(req.attempts) >= req.most
            or (self.now >= req.deadline and not req.arriving)
        ):
            self._finish(req, "late")
            return
        if self.admission is not None and self._warmth(b.entry) < 1.0:
            self.admission.took()
        before = self._window(req)
        req.attempts.append(Attempt(b, self.now, b.estimate == 0 or not self.looks))
        req.out, b.estimate = req.out + 1, b.estimate + 1
        if req.arriving:  # a slow client keeps no place from others: the backend has yet to begin
            req.attempts[-1].counted = False
        else:
            b.out, self.out = b.out + 1, self.out + 1
        # An answer after the aim is worth nothing: give up just before, so that the failure is not late.
        c, left, tick = req.cls.cfg, req.useful - self.now, self.cfg.clock_granularity_ms
        stop = max(tick, left - 2 * tick) if req.useful < req.deadline else 0.0
        # Guards against answers that get lost: one that may come late is asked for again while it has worth.
        cut, again = (
            max(c.latency_objective_ms / 2, req.cls.usual + 4 * req.cls.dev),
            c.idempotency is not api.Idempotency.NOT_IDEMPOTENT,
        )
        if self.lost > LOSSY and c.late_weight_fraction > 0 and again and cut + req.cls.usual < left:
            stop, req.attempts[-1].cut = cut, True
        req.attempts[-1].short = (stop or req.deadline - self.now) < cut
        self.acts.append(api.StartAttempt(req.id, b.entry.backend, stop, before))

    def _outcome(self, ev: api.AttemptEnded) -> None:
        req = self.requests.get(ev.request)
        if req is None or ev.attempt >= len(req.attempts):
            return
        attempt = req.attempts[ev.attempt]
        if attempt.status is not None:
            if req.stream:  # the end of a long answer
                if ev.status is api.AttemptStatus.RESET:
                    self._eject(attempt.backend)
                self._close(req)
            return
        b = attempt.backend
        self._over(req, attempt, ev.status)
        self._report(b, ev.report, False)
        hasty = attempt.short and ev.status is api.AttemptStatus.TIMEOUT
        if not hasty and ev.status not in (
            api.AttemptStatus.CANCELLED,
            api.AttemptStatus.NOT_STARTED,
        ):  # these tell nothing
            self._learn(req, attempt, ev)
            if ev.status in (
                api.AttemptStatus.OK,
                api.AttemptStatus.TIMEOUT,
            ):  # others do not tell of crowding
                self._steer(req.cls, b, ev)
        if ev.closed or req.over:
            self._close(req)
        elif ev.spent:
            self._finish(req, "failed")
        else:
            self._again(req)
        self._release()

    def _over(self, req: Request, attempt: Attempt, status: api.AttemptStatus) -> None:
        attempt.status, req.out = status, req.out - 1
        if attempt.counted:
            attempt.backend.out, self.out = attempt.backend.out - 1, self.out - 1
            self._forget(attempt.backend)

    def _forget(self, b: Backend) -> None:
        """Drop one that is gone once nothing of it is out: lists change for ever, and memory is bounded."""
        if self.index.forget(b) and b.entry.backend not in self.banned:
            self.places.pop(b.entry.backend, None)

    def _learn(self, req: Request, attempt: Attempt, ev: api.AttemptEnded) -> None:
        b, cls = attempt.backend, req.cls
        if attempt.fair and ev.status in (
            api.AttemptStatus.OK,
            api.AttemptStatus.REJECTED,
            api.AttemptStatus.TIMEOUT,
        ):
            good = ev.status is api.AttemptStatus.OK and ev.duration <= cls.cfg.latency_objective_ms
            self.lost += EWMA * ((ev.status is api.AttemptStatus.TIMEOUT) - self.lost)
            # A backend without room says nothing of the next one, an answer lost nothing of the load.
            if good or self.looks or not (attempt.cut or ev.status is api.AttemptStatus.REJECTED):
                self.trust += EWMA * (1 + self.looks) * (good - self.trust)
            b.slow += EWMA * ((ev.duration if good else cls.cfg.latency_objective_ms) / cls.usual - b.slow)
            for members in self.members.values():
                members.heaviest = max(members.heaviest, b.weight)
            far = not self._near(b)
            self.bad[far] += EWMA * (1 - good - self.bad[far])
            gain = SPILL * (self.bad[0] - self.bad[1] - self.cfg.charges.cross_zone)
            self.spill = max(0.0, min(1.0, self.spill + gain))
        if ev.status is api.AttemptStatus.OK:
            b.fails = 0
            if attempt.fair:
                cls.dev += EWMA * (abs(ev.duration - cls.usual) - cls.dev)
                step = EWMA * (ev.duration - cls.usual)
                cls.usual += step
                if self.classes.get(cls.cfg.name) is cls:
                    self.usual_sum += step
        elif ev.status is api.AttemptStatus.REJECTED:
            self._left_alone(b)
            b.busy = self.now + cls.usual * self.rng.uniform(0.5, 1.5)
            self.index.note(b)
        else:
            self._eject(b)
            if ev.status is api.AttemptStatus.CONNECT_FAILED:
                b.busy = b.until

    def _steer(self, cls: Class, b: Backend, ev: api.AttemptEnded) -> None:
        """The concurrency limit: in proportion to how near answers are to the tightest aim.

        The way there and back is left out: no limit shortens it, and with far backends it alone would hold
        the limit at its lowest. It is that of the backend's zone: a quiet node has few answers of a backend,
        none of a new one, and the least of those would hold the time in its queue.
        Guards against crowding a fleet until it turns slow, which takes far longer to undo. It rises only
        while it binds: quiet nodes whose limit floats up would flood the fleet when a burst comes.
        """
        if ev.status is api.AttemptStatus.OK:
            b.trip = min(b.trip * TRIP_DRIFT, ev.duration)
            self.index.note(b)
            took = ev.duration - min(b.trip, self.index.least_trip(b.entry.zone))
        else:
            took = cls.cfg.latency_objective_ms
        goal = (
            NEAR * cls.cfg.latency_objective_ms
        )  # an answer at once weighs as much as one at the aim: a log has no floor
        cls.strain += EWMA / 2 * (math.log(max(took, NEAR * goal) / goal) - cls.strain)
        self.strains.push(cls.cfg.name)
        excess = -self.strains.least()
        if excess > 0 or self.out >= self.limit - 1.0:
            self.limit *= 1 - LIMIT_GAIN * max(-1.0, min(1.0, excess))
        self.limit = max(self.limit, self.least)

    def _again(self, req: Request) -> None:
        """The attempt failed: try elsewhere while that can meet the aim and the retry budget lasts."""
        cost = 0.0 if req.attempts[-1].cut else 1.0  # a lost answer is no sign of load
        may = self.bank >= cost and len(req.attempts) < req.most and self._fits(req)
        may = may and self._may_go_on(req)  # else it waits in vain
        self.bank -= cost * may
        if may:
            self._route(req)
        else:
            self._finish(req, "failed")

    def gauge(self) -> str:
        """What holds requests back, for the line of counts: its figures since the last call."""
        why = " ".join(f"given_up_{name}={count}" for name, count in sorted(self.why.items()))
        self.why.clear()
        now = f"limit={self.limit:.1f} out={self.out} held={len(self.held)} trust={self.trust:.2f}"
        return f"{now} {why}".rstrip()

    def _finish(self, req: Request, why: str) -> None:
        """The one place where a final answer is given: a refusal only while a repeat does no harm."""
        if req.over or req.stream:
            return
        self.why[why] += 1
        c = req.cls.cfg
        harmless = (
            c.idempotency is api.Idempotency.IDEMPOTENT
            or all(a.status in api.NOT_EXECUTED for a in req.attempts)
            or (
                c.idempotency is api.Idempotency.WITH_KEY
                and c.deduplication_scope is api.DeduplicationScope.ALL
            )
        )
        away = self.cfg.max_retry_after_ms
        if harmless and away > 0:  # until there is room; guards against clients that come back in step
            wide = AWAY if self.admission is None else RETURNING
            away = min(away, req.cls.usual * self.rng.uniform(*wide))
        self.acts.append(api.RejectRequest(req.id, away, why) if harmless else api.FailRequest(req.id, why))
        self.shed += 1
        if self.arrived >= 50 and self.shed > self.arrived / 4:  # worth a line to the people on call
            self._log(f"shedding: {self.shed} of {self.arrived} requests refused or failed")
        self._close(req)

    def _close(self, req: Request) -> None:
        """Nothing more is sent for it; an attempt still out is called off."""
        req.over, req.pending = True, set()
        if req.out and self.cfg.cancellation_allowed and not req.stream:
            self.acts.append(api.CancelAttempt(req.id, len(req.attempts) - 1))
        if not req.out:
            self.requests.pop(req.id, None)

    def _gone(self, ev: api.ClientDisconnected) -> None:
        if (req := self.requests.get(ev.request)) is not None and not req.over:
            self._close(req)

    def _stream(self, ev: api.ResponseStarted) -> None:
        if (req := self.requests.get(ev.request)) is None:
            return
        req.stream = True
        if req.cls.cfg.streamed or not req.out:
            return
        # A long answer: the backend's work is done, and a client that reads slowly keeps no place of others.
        attempt = req.attempts[ev.attempt]
        self._over(req, attempt, api.AttemptStatus.OK)
        done = api.AttemptEnded(ev.request, ev.attempt, ev.backend, api.AttemptStatus.OK, ev.duration, False)
        self._learn(req, attempt, done)
        self._steer(req.cls, attempt.backend, done)
        self._release()

    def _at(self, when: float, call: Callable[[Any], None], what: Any) -> None:
        self.token += 1
        self.timers[self.token] = (call, what)
        self.acts.append(api.SetTimer(when, self.token))

    def _timer(self, ev: api.TimerFired) -> None:
        call, what = self.timers.pop(ev.token, (lambda _: None, None))
        call(what)

    def _log(self, text: str) -> None:
        if self.now - self.logged >= LOG_EVERY:
            self.logged, self.arrived, self.shed = self.now, 0, 0
            self.acts.append(api.WriteLog(text))

    def _list(self, ev: api.ListUpdate) -> None:
        if ev.kind is api.ListUpdateKind.FAILED:  # back off with jitter; the last list stays in force
            self.asks_failed = min(self.asks_failed + 1, EJECT_MAX)
            # A change may count as told before a longer wait is over. That call may be another one than the
            # last asked for here: a watch is opened anew without a word.
            left = max(ASK_REST, self.asked + ASK_PERIOD - self.now)
            most = min(1.5 * self.cfg.list_max_age_ms / 32 * 2**self.asks_failed, left)
            most = self._ask_soon(most, ev.failure or api.DiscoveryFailure())
            wait = most * self.rng.uniform(1 / 3, 1.0)
            self._ask_in(wait)
            self._log(f"list: call failed {self.asks_failed} times, asking again in {wait / 1000:.1f} s")
            return
        self.asks_failed = 0
        if ev.kind is api.ListUpdateKind.CACHED and self.cfg.must_subscribe:
            # Without a backend in service the node cannot serve before discovery has told one.
            some = any(e.phase is api.EndpointPhase.IN_SERVICE for e in ev.entries)
            most = min(self.cfg.list_max_age_ms / 2, ASK_PERIOD) if some else 0.0
            self._ask_in(self.rng.uniform(0.0, most))
        entries = ev.entries
        if ev.kind is not api.ListUpdateKind.DELTA:
            left_out = sorted(self.backends.keys() - {e.backend for e in entries})
            entries = [
                replace(self.backends[x].entry, phase=api.EndpointPhase.REMOVED) for x in left_out
            ] + entries
        for entry in entries:
            self.index.take(entry)
        self._refresh({entry.backend: None for entry in entries}, ev.more)

    def _ask_soon(self, most: float, failure: api.DiscoveryFailure) -> float:
        """The longest wait for the next call, out of `most`, so that several can fail in a crowded queue.

        Guards against a wait that grows while the time runs out in which a change counts as told.
        """
        if not failure.reached:
            return most
        time_left = ASK_KNOWN - failure.silent_ms
        if time_left <= 0:
            return min(most, max(ASK_REST, self.asked + ASK_TURNED_AWAY - self.now))
        if failure.queued:
            return min(most, ASK_CROWDED)
        return min(most, ASK_CROWDED, max(ASK_LEAST, time_left / ASK_TRIES))

    def _refresh(self, names: Iterable[str], more: bool = False) -> None:
        """Who of these may have new work has changed, or may have: this node's own order of the list.

        The first `width` are the subset it feeds, the next its reserve. Small subsets keep connections few
        and own counts telling. They start evenly laid; changes move few.
        """
        empty = not self.order
        self.opening = self.opening or empty
        listed = [b for name in names if (b := self.backends.get(name)) is not None]
        came = list[Backend]()
        for b in listed:
            if b.block is None:
                if self._takes(b):
                    came.append(b)
            elif not self._takes(b):
                self.index.leave(b.entry.backend)
            elif b.near != self._near(b):
                self.order.turn(b.entry.backend, not b.near)
            if b.entry.phase is api.EndpointPhase.REMOVED:
                self._forget(b)
        if empty:
            self._lay_out(sorted(b.entry.backend for b in came))
        else:
            for near in (True, False):
                names = [b.entry.backend for b in came if self._near(b) is near]
                self.index.join(self._spots(names, len(self.order.side(near))), near)
        for far, members in list(self.members.items()):
            now = self.index.window(0, len(members.backends), far)
            if now != members.backends or not set(now).isdisjoint(listed):
                del self.members[far]
        self.fleet = max(self.fleet, len(self.order))
        self._measure()
        if self.opening:  # nobody knows yet which zone serves well: all that is listed gets the same
            self.spill = 1.0 - self.home / max(1, len(self.order))
        self.opening = self.opening and more

    def _spots(self, names: list[str], wide: int) -> list[tuple[int, str]]:
        """Before which of so many, the near ones or the far ones, each of these goes.

        One that was banned returns to its place: a node that fed it before feeds it again. A new one falls
        into as many subsets as any other: twice the nodes would feed it twice as much.
        """
        taken, free, of = dict[int, str](), 0, wide + len(names)
        turns = {name: self._ring(name) for name in names}
        wanted = [(self.places.pop(name, int(turn * of)), turn, name) for name, turn in turns.items()]
        for place, _, name in sorted(wanted):  # where one has gone before, the next one takes the next place
            free = max(free, min(place, of - 1))
            taken[free], free = name, free + 1
        holes = (place for place in range(of) if place not in taken)
        for place in range(of, free):  # on a ring, the first ones follow the last
            taken[next(holes)] = taken.pop(place)
        return [(place - number, name) for number, (place, name) in enumerate(sorted(taken.items()))]

    def _lay_out(self, names: list[str]) -> None:
        nears = {name for name in names if self._near(self.backends[name])}
        near = [name for name in names if name in nears] or names
        wide, own = len(near), min(self._width(len(names)), len(near))
        first = int(self.cfg.node_index * GOLDEN % 1.0 * wide)
        even = [near[(first + j * wide // own) % wide] for j in range(own)]  # whole steps: none twice
        rest = sorted(set(names) - set(even))
        order = even + self.rng.sample(rest, len(rest))
        for side in (True, False):
            self.index.join([(0, name) for name in order if (name in nears) is side], side)

    def _width(self, wide: int) -> int:
        """How many of so many backends this node feeds."""
        if self.looks:  # a request looks at no more: others would only fill the backends' connection tables
            return min(wide, SAMPLE * ROUNDS)
        return min(wide, max(SUBSET_MIN, math.ceil(FEEDERS * wide / self.cfg.node_count)))

    def _measure(self) -> None:
        """What follows from how many may have new work."""
        n = len(self.order)
        self.width, self.home = self._width(n), len(self.order.near) or n
        self.least = LIMIT_LEAST * max(1.0, n / self.cfg.node_count)
        self.limit = max(self.limit, self.least)
        self.even = n / max(1, len(self.index.zones))

    def _ask_in(self, wait: float) -> None:
        """The last one that was set counts: each would be followed by the next, for ever."""
        self.asks += 1
        self._at(self.now + wait, self._ask_due, self.asks)

    def _ask_due(self, ask: int) -> None:
        if ask == self.asks:
            self._ask(None)

    def _ask(self, _: object) -> None:
        self.asks, self.asked = self.asks + 1, self.now
        self.acts.append(api.WatchEndpoints())

    def _ring(self, name: str) -> float:
        """This node's place on a ring, 0 to 1, that the nodes share out evenly; each backend turns it."""
        turn = int.from_bytes(hashlib.blake2b(name.encode(), digest_size=6).digest()) / 2**48
        return (self.cfg.node_index * GOLDEN + turn) % 1.0

    def _near(self, b: Backend) -> bool:
        return not self.priced or b.entry.zone == self.cfg.zone


def _place(req: Request, b: Backend) -> str | int:
    """What binds a repeat of this request: the zone of its backend, or the cell."""
    return b.entry.zone if req.cls.cfg.deduplication_scope is api.DeduplicationScope.ZONE else b.entry.cell
