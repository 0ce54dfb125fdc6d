"""The tables of an experiment file, apart from its faults, as frozen structs.

Names have hyphens in the file. Times within a run are seconds (`at`, `for`, `seconds`), and milliseconds
where the name says `_ms`.
"""

from __future__ import annotations

from typing import Literal

import msgspec

DEFAULT_ZONES = ("a", "b", "c")


class Table(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, rename="kebab"):
    """A table of the file; its keys have hyphens in place of underscores."""


class Fleet(Table, frozen=True):
    """The nodes and their limits, as the platform states them."""

    nodes: int = 3
    zones: tuple[str, ...] = DEFAULT_ZONES
    cores: float = 1.0
    memory_mb: int = 192
    sockets: int = 1024
    membership: bool = False  # nodes get a fleet file with `[membership]`
    durable: bool = False  # and with `[durable]` and a directory that outlasts a node's processes
    recovery: bool = False  # and with `[recovery]`, which needs membership
    ready_within: float = 30.0  # s


class Backends(Table, frozen=True):
    """The capacity of the backends and their failures without a fault."""

    count: int = 9
    cell_size: int = 3
    cores: int = 2
    speed: tuple[float, float] = (0.9, 1.1)  # of a standard core, drawn per backend
    slots_per_core: float = 1.0
    queue_per_core: int = 250
    thrash: float = 0.1  # added to each service time per request over `thrash-at` per core
    thrash_at: float = 5.0
    cold_capacity_share: float = 0.45  # of its capacity just after a start
    warm_up_s: float = 5.0  # warm by then at the latest, by work done if sooner
    start_cold: bool = False  # all of them are cold when the run begins
    error_rate: float = 0.0
    drops_expired: bool = True
    connections_per_core: int = 200
    handshake_ms: float = 0.5  # work of a new connection
    handshake_rtts: int = 1


class Discovery(Table, frozen=True):
    """The service that lists the backends."""

    mode: Literal["poll", "push"] = "poll"
    removal_delay_s: float = 1.5  # until it learns that a backend drains or is gone
    addition_delay_s: float = 0.8  # until it lists a backend that came
    watch_spread_ms: float = 50.0  # over which the events of one change are sent to all watches
    call_service_ms: float = 4.0  # service time of one call; calls are handled in turn
    timeout_ms: float = 1000.0  # a call that has to wait longer fails
    multi_line: bool = False  # lists are written over many lines
    watch_ends_on_change: bool = False  # a watch ends at a change instead of sending an event


class Network(Table, frozen=True):
    """One-way delays without faults."""

    same_zone_ms: float = 0.2
    cross_zone_ms: float = 4.0
    client_ms: float = 0.3
    jitter: float = 0.1  # of the delay
    peer_datagrams: bool = False  # whether nodes may send one another datagrams
    peer_ms: float = 4.0


class RequestClass(Table, frozen=True):
    """A class of request, in the names of the settings."""

    name: str
    effect: Literal["retryable", "dedup", "fragile"]
    share: float
    value: float = 1.0
    objective_ms: float = 150.0
    deadline_ms: float = 800.0
    late_value: float = 0.25  # share of the value of an answer after the objective
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
    """The clients' demand. `rate` is first attempts a second over all zones; 0: from `utilisation`."""

    rate: float = 0.0
    utilisation: float = 0.5  # of the capacity of all backends together
    work_ms: float = 20.0  # mean work of a request on a standard core
    work_cv: float = 0.5
    shape: Literal["steady", "wave", "bursty"] = "steady"
    amplitude: float = 0.3
    zone_skew: float = 0.0  # the first zone has this much more than the mean, the last as much less
    classes: tuple[RequestClass, ...] = DEFAULT_CLASSES


class Clients(Table, frozen=True):
    """The behaviour of clients and of the front-end proxies before them."""

    retries: int = 2
    attempt_time_share: float = 0.5  # of the deadline that an attempt gets while a retry may follow
    backoff_ms: float = 40.0
    retry_after_share: float = 0.3  # share of clients that follow `Retry-After`
    impatient_share: float = 0.0  # share of attempts whose client leaves before its time
    requests_per_connection: int = 60  # mean
    failure_detection_s: float = 1.5  # until a front-end proxy sees that a node is dead


class Rules(Table, frozen=True):
    """The limits of the platform's rules, in the names of the settings."""

    answer_slack_ms: float = 20.0
    drain_grace_ms: float = 1000.0
    fall_ms: float = 3000.0
    fall_multiple: float = 3.0
    cold_share: float = 0.4
    ramp_time_ms: float = 6000.0
    max_attempts: int = 4


class Expectation(Table, frozen=True):
    """An expectation: a figure of the summary within its bounds."""

    figure: str
    min: float | None = None
    max: float | None = None
