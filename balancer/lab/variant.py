"""Run the node with deliberate changes, for the lab: `variant.py PACKAGE NAME...` in place of `-m PACKAGE`.

PACKAGE is the program's package in the revision that is played; its name was `dillport` once.

Names: `alone` leaves the fleet file out; `random` chooses any listed backend that may be sent to; `delay-MS`
holds every request back for so long; `burn-US` wastes so much processor time on every request; `clock-S` sets
its wall clock ahead by so many seconds, `clock--S` back. It runs on the standard library and the node alone,
in the folder of the revision that is played.
"""

from __future__ import annotations

import asyncio
import os
import sys
import time
from importlib import import_module
from typing import Any


def random_choice(package: str) -> None:
    """Send each attempt at once to an endpoint drawn from all that may have it: no limit, no shedding."""
    try:
        routing = import_module(f"{package}.policy.routing")
    except ModuleNotFoundError:  # an earlier revision
        former_random_choice(package)
        return
    reason = import_module(f"{package}.interface").GiveUpReason.NO_ENDPOINT

    def route(self: Any, request: Any, now: float) -> None:
        eligibility = self.eligibility
        pool = [
            endpoint
            for endpoint in self.index.records.values()
            if eligibility.is_in_service(endpoint) and eligibility.permits_attempt(request, endpoint, now)
        ]
        if pool:
            self.attempts.start(request, self.rng.choice(pool), now)
        else:
            self.requests.give_up(request, reason, now)

    routing.Router.route = route


def former_random_choice(package: str) -> None:
    """Do the same in a revision whose decisions are one module."""
    balancer = import_module(f"{package}.policy").Balancer

    def route(self: Any, req: Any) -> None:
        pool = [b for b in self.backends.values() if self._takes(b) and self._legal(req, b)]
        if pool:
            self._send(req, self.rng.choice(pool))
        else:
            self._finish(req, "none")

    balancer._route = route


def slower(package: str, wait: float, burn: float) -> None:
    """Hold every request back for `wait` s, or spend `burn` s of processor time on it."""
    try:
        owner, name = import_module(f"{package}.net.request_lifecycle").RequestLifecycle, "accept"
    except ModuleNotFoundError:  # an earlier revision
        owner, name = import_module(f"{package}.net.node").Node, "arrival"
    original = getattr(owner, name)

    def accept(self: Any, *args: Any, **kwargs: Any) -> None:
        until = time.thread_time() + burn
        while burn and time.thread_time() < until:
            pass
        if wait:
            asyncio.get_running_loop().call_later(wait, lambda: original(self, *args, **kwargs))
        else:
            original(self, *args, **kwargs)

    setattr(owner, name, accept)


def clock(by: float) -> None:
    """Step the wall clock of this process by `by` s: what it reads, writes and logs goes by that."""
    wall, wall_ns, by_ns = time.time, time.time_ns, round(by * 1e9)
    time.time = lambda: wall() + by
    time.time_ns = lambda: wall_ns() + by_ns


def change(package: str, name: str) -> None:
    """Change the node as a name says; `programs` has checked it."""
    kind, _, amount = name.partition("-")
    if kind == "random":
        random_choice(package)
    elif kind == "alone":
        os.environ.pop("PROXY_FLEET", None)
    elif kind == "delay":
        slower(package, float(amount) / 1000, 0.0)
    elif kind == "burn":
        slower(package, 0.0, float(amount) / 1e6)
    else:
        clock(float(amount))


def main() -> int:
    """Change the node as told, then run it."""
    sys.path[0] = os.getcwd()
    package, *names = sys.argv[1:]
    for name in names:
        change(package, name)
    return int(import_module(f"{package}.__main__").main())


if __name__ == "__main__":
    sys.exit(main())
