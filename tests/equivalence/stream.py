"""Generate seeded input of the simulator's wire protocol: an environment that reacts to the program.

Lines that start with `X_` extend the documented wire protocol by events that a real node sees and the
simulator does not send: bans, new settings, recovery, and requests whose body is still being received. The
adapter of each revision translates them.
"""

from __future__ import annotations

import heapq
import itertools
import json
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

Exchange = Callable[[list[str]], list[str]]

SPAN_MS = 24_000.0
GRANULARITY_MS = 0.25
OUTCOMES = ("fault", "no_room", "no_route", "cut", "undone", "stale_send")


@dataclass
class Backend:
    """A simulated backend, as it is listed and as it behaves."""

    name: str
    zone: str
    cell: int
    weight: float
    phase: str = "up"
    started_at: float = 0.0
    slowness: float = 1.0
    failing: float = 0.0
    hangs: bool = False

    def entry(self) -> str:
        """Return the ENTRY line of this backend in an endpoint list."""
        started = "-" if self.started_at == 0 else f"{self.started_at:.3f}"
        return f"ENTRY {self.cell} kind {self.name} {self.weight:g} {self.phase} {started} {self.zone}"


@dataclass
class Request:
    """A request that was sent to an instance, and the attempts that the instance has started for it."""

    instance: int
    name: str
    deadline: float
    class_name: str
    # For each attempt, whether it has ended.
    attempts: list[bool] = field(default_factory=list)
    # For each attempt, the name of its backend.
    backends: list[str] = field(default_factory=list)
    closed: bool = False


class World:
    """The simulated environment of a program, which records the input and output of the program."""

    def __init__(self, seed: int, exchange: Exchange, extended: bool) -> None:
        """Draw the environment of `seed`; `extended` adds events that the simulator does not send."""
        self.extended = extended
        self.random = random.Random(f"equivalence {seed}")
        self.exchange = exchange
        self.input: list[str] = []
        self.output: list[str] = []
        self.now = self.begin = round(self.random.choice((0.0, 1e5, 1.7e12)) + self.random.random() * 1000, 3)
        self.queue: list[tuple[float, int, Callable[[], list[str]], int]] = []
        self.numbers = itertools.count()
        self.idents = itertools.count(self.random.getrandbits(40))
        self.settings = [self._settings(i) for i in range(self.random.choice((1, 2, 3)))]
        self.requests: dict[str, Request] = {}
        self.tails = set[int]()
        self.revision = 1
        self.learned: dict[int, str] = {}
        count = self.random.choice((3, 8, 20, 60, 250))
        self.backends = {b.name: b for b in (self._backend(i) for i in range(count))}
        self.rate = self.random.choice((0.02, 0.08, 0.2)) * (1 if count > 3 else 0.5)

    # --- Random settings and backends.

    def _settings(self, number: int) -> dict[str, Any]:
        dice = self.random
        first = number == 0
        if first:
            zones = ["north", "south", "west"][: dice.choice((1, 2, 3))]
            how = dice.choice(("inline", "on_probe", "on_probe", "off"))
            self.common: dict[str, Any] = {
                "granularity": dice.choice((0.25, 1.0, 5.0)),
                "group-size": dice.choice((1, 3, 20, 200)),
                "failure-domains": zones,
                "discovery": dice.choice(("subscribe", "automatic")),
                "charges": {
                    "probe": dice.choice((0.0, 0.001, 0.02)),
                    "cross-zone": dice.choice((0.0, 0.02, 0.3)),
                },
                "load-info": {"how": how, "names": dice.choice((["active"], ["waiting", "active"], ["cpu"]))},
                "limits": {
                    "probing": dice.random() < 0.7, "cancel": dice.random() < 0.7,
                    "retry-after": dice.random() < 0.7, "max-retry-after": 600.0,
                    "most-tries": dice.choice((1, 2, 3, 6)), "peers": False, "second-copies": False,
                },
                "rules": {
                    "answer-slack": 20.0,
                    "ask-within": dice.choice((4_000.0, 10_000.0)),
                    "drain-grace": 1000.0,
                    "cold-share": dice.choice((0.1, 0.35, 1.0)), "fall": dice.choice((500.0, 3000.0)),
                    "fall-multiple": dice.choice((1.5, 3.0)),
                    "ramp-time": dice.choice((0.0, 3_000.0, 9_000.0)),
                },
                "request-classes": [self._class(i) for i in range(dice.choice((1, 2, 4)))],
                "projects": [{"name": "p", "quota-per-s": 5.0, "share": 0.5}] if dice.random() < 0.3 else [],
                "weight-source": dice.choice(("off", "nominal")),
            }  # fmt: skip
        return {
            **self.common,
            "me": number,
            "zone": dice.choice(self.common["failure-domains"]),
        }

    def _class(self, number: int) -> dict[str, Any]:
        dice = self.random
        objective = dice.choice((60.0, 150.0, 400.0))
        return {
            "name": f"c{number}",
            "effect": dice.choice(("retryable", "dedup", "fragile")),
            "group": dice.choice(("all", "zone", "cell")),
            "objective": objective,
            "give-up": objective * dice.choice((1.0, 2.0, 4.0)),
            "late-worth": dice.choice((0.0, 0.5)),
            "memory-span": dice.choice((0.0, 300.0, 2_500.0)),
            "streamed": dice.random() < 0.15,
            "aim-stretch": dice.choice((0.0, 2.0)),
            "value": dice.choice((1.0, 1.0, 8.0)),
        }

    def _backend(self, number: int) -> Backend:
        dice = self.random
        zone = dice.choice(self.common["failure-domains"])
        cell = 10 * self.common["failure-domains"].index(zone) + dice.randrange(3)
        made = Backend(f"10.0.{number // 200}.{number % 200}:80", zone, cell, dice.choice((1.0, 1.0, 2.0)))
        made.slowness = dice.uniform(0.5, 1.8)
        if dice.random() < 0.1:
            made.failing = dice.choice((0.2, 0.9))
        made.hangs = dice.random() < 0.04
        return made

    # --- The schedule of events.

    def _at(self, when: float, instance: int, make: Callable[[], list[str]]) -> None:
        when = max(self.now, round(when / GRANULARITY_MS) * GRANULARITY_MS)
        heapq.heappush(self.queue, (when, next(self.numbers), make, instance))

    def play(self) -> None:
        """Start all instances and process events until none is scheduled."""
        lines = []
        for number, settings in enumerate(self.settings):
            lines += [f"CONTEXT {number}", f"START {self.random.getrandbits(63)} {json.dumps(settings)}"]
            lines += self._list("disk")
        self._batch(lines)
        for number in range(len(self.settings)):
            if self.common["discovery"] == "automatic":
                self.tails.add(number)
                self._at(self.now + 5, number, lambda: self._list("snapshot"))
            self._at(self.now + self.random.expovariate(self.rate), number, self._arrive(number))
        self._at(self.now + 700, -1, self._trouble)
        self._at(self.now + 500, -1, self._inspect_all)
        while self.queue:
            due = self.queue[0][0]
            lines, self.now = [], due
            while self.queue and self.queue[0][0] == due:
                _, _, make, instance = heapq.heappop(self.queue)
                made = make()
                if made and instance >= 0:
                    lines.append(f"CONTEXT {instance}")
                lines += made
            self._batch(lines)

    def _batch(self, lines: list[str]) -> None:
        if not lines:
            return
        batch = [f"SYNC {self.now:.6f}", *lines, "GO"]
        self.input += batch
        reply = self.exchange(batch)
        self.output += reply
        who = -1
        for line in reply:
            word, *parts = line.split(" ")
            if word == "SPEAKING":
                who = int(parts[0])
            elif (react := getattr(self, f"_on_{word.lower()}", None)) is not None:
                react(who, *parts)

    @property
    def over(self) -> bool:
        """Whether the play is past the time after which no new events are generated."""
        return self.now > self.begin + SPAN_MS

    # --- Events that occur without an action of the program.

    def _arrive(self, number: int) -> Callable[[], list[str]]:
        def make() -> list[str]:
            if self.over:
                return []
            dice = self.random
            burst = 6.0 if int((self.now - self.begin) / 2_000) % 4 == 2 else 1.0
            self._at(self.now + dice.expovariate(self.rate * burst), number, self._arrive(number))
            kind = dice.choice(self.settings[number]["request-classes"])
            name = f"{next(self.idents):016x}"
            left = kind["give-up"] * dice.choice((1.0, 1.0, 1.0, 0.6, 0.05))
            request = self.requests[name] = Request(number, name, self.now + left, kind["name"])
            self._at(request.deadline, number, lambda: self._expire(request))
            if dice.random() < 0.02:
                self._at(self.now + dice.uniform(0, left), number, lambda: self._leave(request))
            if self.extended and dice.random() < 0.04:
                self._at(self.now + dice.uniform(1, 300), number, lambda: self._body(request, left))
                return [f"X_ARRIVAL {name} {request.deadline:.6f} {kind['name']} 1 {dice.randrange(2)}"]
            if self.extended and dice.random() < 0.02:
                return [f"X_ARRIVAL {name} {request.deadline:.6f} {kind['name']} 0 1"]
            hint = f"{dice.uniform(1, 40):.3f}" if dice.random() < 0.3 else "-"
            return [f"ORDER {name} 0 k{dice.randrange(50)} {request.deadline:.6f} - {hint} {kind['name']} 0"]

        return make

    def _body(self, request: Request, left: float) -> list[str]:
        if request.closed:
            return []
        request.deadline = self.now + left
        self._at(request.deadline, request.instance, lambda: self._expire(request))
        return [f"X_ARRIVED {request.name} {request.deadline:.6f}"]

    def _leave(self, request: Request) -> list[str]:
        if request.closed:
            return []
        request.closed = True
        return [f"CANCELLED_BY_CLIENT {request.name}"]

    def _expire(self, request: Request) -> list[str]:
        if request.deadline > self.now:
            return []
        lines = []
        for number, over in enumerate(request.attempts):
            if not over:
                lines += self._resolve(request, number, "too_slow", 1.0)
        if not request.closed:
            self._at(self.now + 20, request.instance, lambda: self._leave(request))
        return lines

    def _trouble(self) -> list[str]:
        """Change random backends, and schedule the update for the instances that watch the endpoint list."""
        if self.over:
            return []
        dice = self.random
        self._at(self.now + dice.uniform(100, 1_500), -1, self._trouble)
        changed: list[Backend] = []
        for backend in dice.sample(list(self.backends.values()), dice.choice((1, 1, 2))):
            match dice.randrange(8):
                case 0:
                    backend.phase = "draining"
                case 1:
                    backend.phase = "removed"
                case 2 | 3:
                    backend.phase, backend.started_at = "up", self.now
                case 4:
                    backend.failing = dice.choice((0.0, 0.9))
                case 5:
                    backend.hangs = not backend.hangs
                case 6:
                    backend.weight = dice.choice((0.5, 1.0, 3.0))
                case 7:
                    backend.zone = dice.choice(self.common["failure-domains"])
            changed.append(backend)
        if dice.random() < 0.3:
            new = self._backend(len(self.backends) + 1000)
            new.started_at = self.now
            self.backends[new.name] = new
            changed.append(new)
        if dice.random() < 0.08:  # All backends of one zone restart.
            zone = dice.choice(self.common["failure-domains"])
            changed = [b for b in self.backends.values() if b.zone == zone]
            for backend in changed:
                backend.phase, backend.started_at = "up", self.now
        self.revision += 1
        if self.is_outage:
            for number in sorted(self.tails):
                self._at(self.now, number, self._failure)
            self.tails.clear()
        for number in sorted(self.tails):
            self._at(self.now + dice.uniform(0, 50), number, lambda: self._changes(changed))
        for number in range(len(self.settings) if self.extended else 0):
            self._at(self.now + dice.uniform(0, 700), number, lambda n=number: self._extra(n))  # type: ignore[misc]
        return []

    def _extra(self, number: int) -> list[str]:
        """Return the lines of an event that the simulator does not send, or no lines."""
        dice = self.random
        name = dice.choice(list(self.backends))
        phase, share = dice.choice(("listed", "warming", "full")), dice.choice((0.0, 0.02, 0.3, 1.0))
        match dice.randrange(16):
            case 0:
                self._at(
                    self.now + dice.uniform(0, 3_000), number, lambda: [f"X_BAN {name} 0 {self.now:.6f}"]
                )
                return [f"X_BAN {name} 1 0"]
            case 1:
                return [f"X_BAN {name} 0 {self.now - dice.uniform(0, 500):.6f}"]
            case 2:
                fresh = dict(self.settings[number])
                fresh["zone"] = dice.choice(fresh["failure-domains"])
                fresh["limits"] = {**fresh["limits"], "most-tries": dice.choice((1, 3))}
                fresh["request-classes"] = [
                    {**kind, "objective": kind["objective"] * dice.choice((0.5, 1.0, 1.5))}
                    for kind in fresh["request-classes"]
                ] + ([self._class(next(self.numbers))] if dice.random() < 0.3 else [])
                self.settings[number] = fresh
                return [f"X_SETTINGS {json.dumps(fresh)}"]
            case 3:
                return ["X_TAKING_OVER"]
            case 4:
                since = dice.choice((0.0, self.now - 300))
                rate = dice.choice((0.0, 50.0, 400.0))
                return [f"X_RECOVERING {phase} {share} {since:.6f} {rate}"]
            case 5:
                return ["X_LEARNED"]
            case 6 if number in self.learned:
                return [f"X_RECOVERED {dice.choice((0.0, 200.0, 9_000.0))} {self.learned[number]}"]
            case 7:
                silent, flags = (
                    dice.choice((100.0, 5_000.0, 9_000.0)),
                    f"{dice.randrange(2)} {dice.randrange(2)}",
                )
                return [f"X_LIST_FAILED {silent} {flags}"]
            case 8:
                names = sorted(self.backends)
                half = len(names) // 2
                return [
                    *self._list("snapshot", names[:half], "X_LIST", 1),
                    *self._list("diff", names[half:], "X_LIST", 0),
                ]
            case 9 | 10:
                self.tails.discard(number)
                return self._failure()
        return []

    def _inspect_all(self) -> list[str]:
        if self.over or not self.extended:
            return []
        self._at(self.now + 500, -1, self._inspect_all)
        lines = []
        for number in range(len(self.settings)):
            lines += [f"CONTEXT {number}", f"X_STATE {self.random.choice(list(self.backends))}"]
        return lines

    def _list(self, mode: str, names: list[str] | None = None, word: str = "DIRECTORY_UPDATE",
              more: int | None = None) -> list[str]:  # fmt: skip
        some = [self.backends[name] for name in (sorted(self.backends) if names is None else names)]
        if mode != "diff":
            some = [backend for backend in some if backend.phase != "removed"]
        head = f"{word} {mode} {self.revision} {len(some)}" + ("" if more is None else f" {more}")
        return [head, *(backend.entry() for backend in some)]

    def _changes(self, changed: list[Backend]) -> list[str]:
        return [f"DIRECTORY_UPDATE diff {self.revision} {len(changed)}", *(b.entry() for b in changed)]

    # --- Reactions to the actions of the program.

    def _on_place(self, who: int, name: str, timeout: str, backend: str, *rest: str) -> None:
        request, dice = self.requests[name], self.random
        number = len(request.attempts)
        request.attempts.append(False)
        request.backends.append(backend)
        there = self.backends[backend]
        took = dice.expovariate(1 / 25) * there.slowness + 1
        reason = "pass"
        if there.phase != "up":
            reason, took = dice.choice(("no_room", "no_route")), 2.0
        elif dice.random() < there.failing or dice.random() < 0.03:
            reason, took = dice.choice(OUTCOMES), took / 4
        elif there.hangs or dice.random() < 0.01:
            return
        elif dice.random() < 0.08:
            at = self.now + took / 2
            self._at(at, who, lambda: self._stream(request, number, backend, took / 2))
        if 0 < float(timeout) < took:
            reason, took = "too_slow", float(timeout)
        self._at(self.now + took, who, lambda: self._resolve(request, number, reason, took))

    def _stream(self, request: Request, number: int, backend: str, took: float) -> list[str]:
        if request.attempts[number] or request.closed:
            return []
        return [f"ACCEPTED {request.name} {number} {backend} {took:.6f}"]

    def _resolve(self, request: Request, number: int, reason: str, took: float) -> list[str]:
        if request.attempts[number]:
            return []
        request.attempts[number] = True
        request.closed = request.closed or reason == "pass"
        spent = int(self.extended and self.random.random() < 0.03)
        closed, gauge = int(request.closed), self._gauge("inline")
        text = f"{number} {request.backends[number]} {reason} {took:.6f} {closed} {gauge}"
        return [f"X_RESOLVED {request.name} {text} {spent}" if spent else f"RESOLVED {request.name} {text}"]

    def _gauge(self, how: str) -> str:
        info = self.common["load-info"]
        if info["how"] != how and not (info["how"] == "inline" and how == "on_probe"):
            return "-"
        return ",".join(self.random.choice(("0", "1", "3.5", "12", "-")) for _ in info["names"])

    def _on_inspect(self, who: int, backend: str) -> None:
        there = self.backends[backend]
        good = there.phase == "up" and not there.hangs and self.random.random() > there.failing / 2
        took = self.random.uniform(0.5, 8) if good else self.random.uniform(5, 200)

        def make() -> list[str]:
            return [
                f"SAMPLED {'pass' if good else 'no_route'} {took:.6f} {backend} {self._gauge('on_probe')}"
            ]

        self._at(self.now + took, who, make)

    def _on_notify_me(self, who: int, when: str, token: str) -> None:
        self._at(float(when), who, lambda: [f"WAKE {token}"])

    def _on_push_back(self, who: int, name: str, *rest: str) -> None:
        self.requests[name].closed = True

    def _on_surrender(self, who: int, name: str, *rest: str) -> None:
        self.requests[name].closed = True

    def _on_abandon(self, who: int, name: str, attempt: str) -> None:
        request = self.requests[name]
        number = int(attempt)
        self._at(self.now + 1, who, lambda: self._resolve(request, number, "undone", 1.0))

    def _on_tail(self, who: int, on: str) -> None:
        if self.over:
            return
        if self.is_outage or self.random.random() < 0.3:
            self._at(self.now + self.random.choice((2.0, 300.0)), who, self._failure)
            return

        def make() -> list[str]:
            self.tails.add(who)
            return self._list("snapshot")

        self._at(self.now + self.random.uniform(5, 400), who, make)

    @property
    def is_outage(self) -> bool:
        """Whether discovery calls fail now; an outage of 5 s is long enough for several failures in a row."""
        return int((self.now - self.begin) / 5_000) % 3 == 1

    def _failure(self) -> list[str]:
        """Return the line of a failed discovery call, with the details that a real node has if extended."""
        if not self.extended:
            return ["DIRECTORY_UPDATE error - -"]
        silent = self.random.choice((100.0, 2_000.0, 5_500.0, 9_000.0))
        return [f"X_LIST_FAILED {silent} {self.random.randrange(2)} {self.random.randrange(2)}"]

    def _on_x_learned(self, who: int, *parts: str) -> None:
        self.learned[who] = " ".join(parts)
