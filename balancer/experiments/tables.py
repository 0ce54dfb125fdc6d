"""The tables of an experiment file, apart from its faults, as frozen structs.

The keys in the file are the field names in kebab case. The suffix of a name gives its unit (`_s`, `_ms`);
the times `at`, `for`, `seconds`, `warmup` and `every` have none and are in seconds.
"""

from __future__ import annotations

from typing import Literal

import msgspec

DEFAULT_ZONES = ("a", "b", "c")


class Table(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, rename="kebab"):
    """A table of the file; its keys have hyphens in place of underscores."""


class Fleet(Table, frozen=True):
    """The nodes, their resource limits and the tables of their fleet file.

    `cores` is the processor time that a node may use, as a share of one core.
    """

    nodes: int = 3
    zones: tuple[str, ...] = DEFAULT_ZONES
    cores: float = 1.0
    memory_mb: int = 192
    sockets: int = 1024
    # Each node gets a fleet file with the table [membership].
    membership: bool = False
    # The fleet file has the table [durable], with a directory that outlives the processes of a node.
    durable: bool = False
    # The fleet file has the table [recovery], which requires `membership`.
    recovery: bool = False
    # The maximum number of seconds that a run waits for its nodes to become ready.
    ready_within: float = 30.0


class Backends(Table, frozen=True):
    """The capacity of the backends and the errors that they return without a fault."""

    count: int = 9
    cell_size: int = 3
    cores: int = 2
    # The range from which the speed of a backend, relative to a standard core, is drawn.
    speed: tuple[float, float] = (0.9, 1.1)
    slots_per_core: float = 1.0
    queue_per_core: int = 250
    # The share by which contention lengthens service times for each request per core beyond `thrash_at`.
    thrash: float = 0.1
    thrash_at: float = 5.0
    # The share of its capacity that a backend has directly after a cold start.
    cold_capacity_share: float = 0.45
    # The time until a cold backend has its full capacity, which completed work shortens.
    warm_up_s: float = 5.0
    # All backends are cold at the beginning of the run.
    start_cold: bool = False
    error_rate: float = 0.0
    drops_expired: bool = True
    connections_per_core: int = 200
    # The processor time that a new connection costs its backend.
    handshake_ms: float = 0.5
    handshake_rtts: int = 1


class Discovery(Table, frozen=True):
    """The service that lists the backends."""

    mode: Literal["poll", "push"] = "poll"
    # The delay with which discovery learns that a backend is draining or has been removed.
    removal_delay_s: float = 1.5
    # The delay with which discovery lists a newly started backend.
    addition_delay_s: float = 0.8
    # The time within which the events of one change are sent to the watches, one after the other.
    watch_spread_ms: float = 50.0
    # The time that discovery takes for each call; it handles calls one at a time.
    call_service_ms: float = 4.0
    # The time in discovery's queue after which a call fails.
    timeout_ms: float = 1000.0
    # Endpoint lists are written as indented JSON over many lines.
    multi_line: bool = False
    # A change ends a watch instead of being sent as an event.
    watch_ends_on_change: bool = False


class Network(Table, frozen=True):
    """One-way delays without faults; `jitter` is a share of the delay."""

    same_zone_ms: float = 0.2
    cross_zone_ms: float = 4.0
    client_ms: float = 0.3
    jitter: float = 0.1
    # Nodes may send datagrams to one another.
    peer_datagrams: bool = False
    peer_ms: float = 4.0


class RequestClass(Table, frozen=True):
    """A request class, in the terms of the node's settings."""

    name: str
    effect: Literal["retryable", "dedup", "fragile"]
    share: float
    value: float = 1.0
    objective_ms: float = 150.0
    deadline_ms: float = 800.0
    # The share of the full value that a response has after the latency objective.
    late_value: float = 0.25
    group: Literal["all", "zone", "cell"] = "all"
    memory_span_ms: float = 2500.0


DEFAULT_CLASSES = (
    RequestClass(name="browse", effect="retryable", share=0.8),
    RequestClass(
        name="change-order",
        effect="dedup",
        share=0.12,
        value=4.0,
        objective_ms=250.0,
        deadline_ms=1200.0,
        group="cell",
    ),
    RequestClass(
        name="place-order", effect="fragile", share=0.08, value=8.0, objective_ms=250.0, deadline_ms=1000.0
    ),
)


class Load(Table, frozen=True):
    """The request load from clients.

    `rate` is the number of first attempts per second over all zones; 0 derives it from `utilisation`.
    """

    rate: float = 0.0
    # The offered work as a share of the capacity of all backends together.
    utilisation: float = 0.5
    # The mean work of a request, in ms on a standard core.
    work_ms: float = 20.0
    work_cv: float = 0.5
    shape: Literal["steady", "wave", "bursty"] = "steady"
    amplitude: float = 0.3
    # The share by which the first zone's request rate is above the mean, and the last zone's is below it.
    zone_skew: float = 0.0
    classes: tuple[RequestClass, ...] = DEFAULT_CLASSES


class Clients(Table, frozen=True):
    """The behaviour of the clients and of the front-end proxies that pass their requests to nodes."""

    retries: int = 2
    # The share of the request's deadline that an attempt may take while a retry can still follow.
    attempt_time_share: float = 0.5
    backoff_ms: float = 40.0
    # The share of the clients that honours the response header Retry-After.
    retry_after_share: float = 0.3
    # The share of the attempts in which the client disconnects before its time limit.
    impatient_share: float = 0.0
    # The mean number of requests that a client sends over one connection.
    requests_per_connection: int = 60
    # The time within which a front-end proxy detects that a node is dead.
    failure_detection_s: float = 1.5


class Rules(Table, frozen=True):
    """The limits of the platform's rules, in the terms of the node's settings."""

    answer_slack_ms: float = 20.0
    drain_grace_ms: float = 1000.0
    fall_ms: float = 3000.0
    fall_multiple: float = 3.0
    cold_share: float = 0.4
    ramp_time_ms: float = 6000.0
    max_attempts: int = 4


class Expectation(Table, frozen=True):
    """The bounds within which a figure of the summary must lie."""

    figure: str
    min: float | None = None
    max: float | None = None
