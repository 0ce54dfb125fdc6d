"""Run a node with deliberate changes for the lab: `variant.py PACKAGE NAME...` instead of `-m PACKAGE`.

PACKAGE is the program's package in the revision that is run; in earlier revisions its name was `dillport`.

Names: `alone` ignores the fleet file; `random` sends to any listed backend that is permitted; `delay-MS`
delays every request by that many milliseconds; `burn-US` spends that many microseconds of CPU time on every
request; `clock-S` sets the wall clock ahead by that many seconds, `clock--S` back. This module needs only the
standard library and the node, and runs in the directory of the revision.
"""

from __future__ import annotations

import asyncio
import os
import sys
import time
from importlib import import_module
from typing import Any


def choose_randomly(package: str) -> None:
    """Send each attempt at once to a random permitted endpoint, without limits or load shedding."""
    try:
        routing = import_module(f"{package}.policy.routing")
    except ModuleNotFoundError:  # Earlier revisions have no module policy.routing.
        choose_randomly_in_former_policy(package)
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


def choose_randomly_in_former_policy(package: str) -> None:
    """Choose endpoints at random in an earlier revision, whose policy is a single module."""
    balancer = import_module(f"{package}.policy").Balancer

    def route(self: Any, req: Any) -> None:
        pool = [b for b in self.backends.values() if self._takes(b) and self._legal(req, b)]
        if pool:
            self._send(req, self.rng.choice(pool))
        else:
            self._finish(req, "none")

    balancer._route = route


def slow_requests(package: str, wait: float, burn: float) -> None:
    """Delay every request by `wait` s, or spend `burn` s of CPU time on it."""
    try:
        owner, name = import_module(f"{package}.net.request_lifecycle").RequestLifecycle, "accept"
    except ModuleNotFoundError:  # Earlier revisions have no module net.request_lifecycle.
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


def step_clock(offset_s: float) -> None:
    """Step the wall clock that this process reads by `offset_s`, which also affects its logs and files."""
    wall, wall_ns, offset_ns = time.time, time.time_ns, round(offset_s * 1e9)
    time.time = lambda: wall() + offset_s
    time.time_ns = lambda: wall_ns() + offset_ns


def apply_variant(package: str, name: str) -> None:
    """Apply the variant of a name, which `programs` has checked."""
    kind, _, amount = name.partition("-")
    if kind == "random":
        choose_randomly(package)
    elif kind == "alone":
        os.environ.pop("PROXY_FLEET", None)
    elif kind == "delay":
        slow_requests(package, float(amount) / 1000, 0.0)
    elif kind == "burn":
        slow_requests(package, 0.0, float(amount) / 1e6)
    else:
        step_clock(float(amount))


def main() -> int:
    """Apply the variants named on the command line, then run the node."""
    sys.path[0] = os.getcwd()
    package, *names = sys.argv[1:]
    for name in names:
        apply_variant(package, name)
    return int(import_module(f"{package}.__main__").main())


if __name__ == "__main__":
    sys.exit(main())
