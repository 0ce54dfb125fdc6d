"""An experiment: its TOML file, decoded to frozen structs and checked before anything moves.

Times within a run are seconds in the file (`at`, `for`, `seconds`), and milliseconds where the name says
`_ms`.
"""

from __future__ import annotations

import tomllib
from collections.abc import Iterable
from pathlib import Path
from typing import Any, Literal

import msgspec
from msgspec import field

from balancer.errors import BalancerError

ZONES = ("a", "b", "c")
MOST_LATE = 0.45  # of the time: a spell of 0.9 s and a rest of 1.1 s at least, see `models/connect_delay.py`


class SpecError(BalancerError):
    """An experiment makes no sense; the text names the dotted field."""

    code = "LAB01"
    remedy = "correct the field that is named, in the file or after --set; lab list has the names there are"


class Table(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, rename="kebab"):
    """A table of the file: its names have hyphens there."""


class Fleet(Table, frozen=True):
    """The nodes and their limits, as the platform states them."""

    nodes: int = 3
    zones: tuple[str, ...] = ZONES
    cores: float = 1.0
    memory_mb: int = 192
    sockets: int = 1024
    membership: bool = False  # nodes get a fleet file with `[membership]`
    durable: bool = False  # and with `[durable]` and a directory that outlasts a node's processes
    recovery: bool = False  # and with `[recovery]`, which needs the members
    ready_within: float = 30.0  # s


class Backends(Table, frozen=True):
    """The backends: what they bear and how they fail by themselves."""

    count: int = 9
    cell_size: int = 3
    cores: int = 2
    speed: tuple[float, float] = (0.9, 1.1)  # of a standard core, drawn per backend
    slots_per_core: float = 1.0
    queue_per_core: int = 250
    thrash: float = 0.1  # added to every time of service per request held per core over `thrash-at`
    thrash_at: float = 5.0
    cold_from: float = 0.45  # share of its capacity just after a start
    cold_s: float = 5.0  # warm by then at the latest, by work done if sooner
    cold: bool = False  # all of them are cold when the run begins
    error_rate: float = 0.0
    drops_expired: bool = True
    connections_per_core: int = 200
    handshake_ms: float = 0.5  # work of a new connection
    handshake_rtts: int = 1


class Discovery(Table, frozen=True):
    """The service that lists the backends."""

    mode: Literal["ask", "push"] = "ask"
    notice_s: float = 1.5  # until it learns of a drain or of a backend that is gone
    add_s: float = 0.8  # until it lists a backend that came
    spread_ms: float = 50.0  # until a watch is told, at most
    call_ms: float = 4.0  # work of one call; calls are handled in turn
    timeout_ms: float = 1000.0  # a call that has to wait longer fails
    indented: bool = False  # lists come over many lines
    ends: bool = False  # a watch ends where something has changed, instead of telling it


class Network(Table, frozen=True):
    """One-way delays without faults."""

    same_ms: float = 0.2
    cross_ms: float = 4.0
    client_ms: float = 0.3
    jitter: float = 0.1  # of the delay
    peers: bool = False  # whether nodes may send one another datagrams
    peer_ms: float = 4.0


class RequestClass(Table, frozen=True):
    """A class of request, in the names of the settings."""

    name: str
    effect: Literal["retryable", "dedup", "fragile"]
    share: float
    value: float = 1.0
    aim_ms: float = 150.0
    deadline_ms: float = 800.0
    late_worth: float = 0.25
    group: Literal["all", "zone", "cell"] = "all"
    memory_span_ms: float = 2500.0


CLASSES = (
    RequestClass(name="browse", effect="retryable", share=0.8),
    RequestClass(
        name="change-order",
        effect="dedup",
        share=0.12,
        value=4.0,
        aim_ms=250.0,
        deadline_ms=1200.0,
        group="cell",
    ),
    RequestClass(
        name="place-order", effect="fragile", share=0.08, value=8.0, aim_ms=250.0, deadline_ms=1000.0
    ),
)


class Load(Table, frozen=True):
    """What clients want. `rate` is first tries a second over all zones; 0: from `utilisation`."""

    rate: float = 0.0
    utilisation: float = 0.5  # of what all backends together bear
    work_ms: float = 20.0  # mean work of a request on a standard core
    work_cv: float = 0.5
    shape: Literal["steady", "wave", "bursty"] = "steady"
    swing: float = 0.3
    zone_skew: float = 0.0  # the first zone has this much more than the mean, the last as much less
    classes: tuple[RequestClass, ...] = CLASSES


class Clients(Table, frozen=True):
    """How clients and the fronts before them behave."""

    retries: int = 2
    try_share: float = 0.5  # of its time that a try gets while another one may follow
    backoff_ms: float = 40.0
    honour: float = 0.3  # share of clients that follow `Retry-After`
    impatient: float = 0.0  # share of tries whose client leaves before its time
    per_connection: int = 60  # mean requests until a client opens a new connection
    notice_s: float = 1.5  # until a front sees that a node is dead


class Rules(Table, frozen=True):
    """The figures of the rules, as the settings state them."""

    answer_slack_ms: float = 20.0
    drain_grace_ms: float = 1000.0
    fall_ms: float = 3000.0
    fall_multiple: float = 3.0
    cold_share: float = 0.4
    ramp_time_ms: float = 6000.0
    max_attempts: int = 4


class Fault(Table, frozen=True, tag_field="kind"):
    """Something that happens `at` so many seconds after the clients' first arrival."""

    at: float

    @property
    def until(self) -> float:
        """When it ends, in seconds; a fault without an end of its own ends as it begins."""
        return self.at + (getattr(self, "for_", 0.0) or 0.0)


class Kill(Fault, frozen=True, tag="kill"):
    """Nodes get SIGKILL, backends vanish with resets; in `batches` with `every` seconds between."""

    what: str
    restart_after: float | None = None  # s
    keep_tmp: bool = False
    batches: int = 1
    every: float = 1.0


class Terminate(Fault, frozen=True, tag="terminate"):
    """Nodes get SIGTERM, and SIGKILL after the platform's grace; then they start again."""

    what: str
    restart_after: float | None = 0.2
    keep_tmp: bool = False
    batches: int = 1
    every: float = 1.0


class Stall(Fault, frozen=True, tag="stall"):
    """Nodes get SIGSTOP and later SIGCONT; backends stand still."""

    what: str
    for_: float = field(name="for")


class Upgrade(Fault, frozen=True, tag="upgrade"):
    """A second process starts beside each node; once it is ready the first gets SIGTERM."""

    what: str


class Reload(Fault, frozen=True, tag="reload"):
    """Nodes get a new file and SIGHUP: `attempts` allowed from now on, or a file that is `broken`.

    With `moves` the file names another address of discovery: the one before takes no new connections, and
    closes those that it has a while later.
    """

    what: str
    attempts: int = 3
    broken: bool = False
    moves: bool = False
    batches: int = 1
    every: float = 1.0


class Disk(Fault, frozen=True, tag="disk"):
    """The nodes' `$TMPDIR` and durable directory take no more bytes (`full`), no new files (`readonly`)."""

    what: str
    for_: float = field(name="for")
    mode: Literal["full", "readonly"] = "full"


class DiskLeft(Table, frozen=True):
    """What some nodes find on their disks after a power cut; without one it is `sound`: cut, but legally."""

    nodes: str
    state: Literal["empty", "damaged", "old", "swapped"]


class ClockStep(Table, frozen=True):
    """The wall clocks of some nodes are off by so many seconds from the return on."""

    nodes: str
    by: float


class Power(Fault, frozen=True, tag="power"):
    """All chosen lose power at one moment and come back, in a drawn order, over `return-over` seconds.

    The first is back `restart-after` the cut, discovery `discovery-after` that. Who is in `never` stays away.
    What a node's durable directory holds then is drawn by `power.py`.
    """

    what: tuple[str, ...] = ("nodes", "backends", "discovery")
    restart_after: float = 1.0  # s
    return_over: float = 3.0  # s
    discovery_after: float = 0.0  # s
    never: tuple[str, ...] = ()
    disks: tuple[DiskLeft, ...] = ()
    clocks: tuple[ClockStep, ...] = ()


class Drain(Fault, frozen=True, tag="drain"):
    """Backends are listed as terminating, end `for` seconds later and come back cold `restart-after` that."""

    what: str
    for_: float = field(name="for", default=3.0)
    restart_after: float = 1.0


class Maint(Fault, frozen=True, tag="maint"):
    """The operators take backends out at the consoles of `nodes`, and put them back at every node's."""

    what: str
    for_: float = field(name="for")
    nodes: str = "nodes"


class Gray(Fault, frozen=True, tag="gray"):
    """Backends answer a `share` of the requests with an error, after `answer-ms`; health checks pass."""

    what: str
    for_: float = field(name="for")
    share: float = 0.6
    answer_ms: float = 1.0


class Slow(Fault, frozen=True, tag="slow"):
    """Backends need `times` as long."""

    what: str
    for_: float = field(name="for")
    times: float = 3.0


class Resets(Fault, frozen=True, tag="resets"):
    """Backends reset the connection under a `share` of the requests, after they have run."""

    what: str
    for_: float = field(name="for")
    share: float = 0.2


class Link(Fault, frozen=True, tag="link"):
    """The way from one set of parties to another; `both` ways unless told otherwise.

    `cut` is silence: open connections stay open, new ones never come up, datagrams vanish. Over TCP a loss
    is a wait for the retransmission; `duplicate` and `reorder` are for datagrams.
    """

    from_: str = field(name="from")
    to: str
    for_: float = field(name="for")
    both: bool = True
    cut: bool = False
    reset: bool = False  # open connections are reset as it begins
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    loss: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    kbit_per_s: float = 0.0  # 0: no bound


class DiscoveryDown(Fault, frozen=True, tag="discovery-down"):
    """Calls end with a reset, watches end."""

    for_: float = field(name="for")


class DiscoveryLate(Fault, frozen=True, tag="discovery-late"):
    """What discovery has to tell comes so much later."""

    for_: float = field(name="for")
    by_ms: float = 2000.0


class WatchSilent(Fault, frozen=True, tag="watch-silent"):
    """The watches that nodes have open then say nothing more and stay open; new ones are sound."""

    what: str = "nodes"


class LateConnect(Fault, frozen=True, tag="late-connect"):
    """New connections to backends come up a second late in a `share` of the time, by node and backend."""

    what: str
    for_: float = field(name="for")
    share: float = 0.2


class Surge(Fault, frozen=True, tag="surge"):
    """The clients' rate is `times` as high, in one zone or in all."""

    for_: float = field(name="for")
    times: float = 2.0
    zone: str = ""


AnyFault = (Kill | Terminate | Stall | Upgrade | Reload | Disk | Power | Drain | Maint | Gray | Slow | Resets
            | Link | DiscoveryDown | DiscoveryLate | WatchSilent | LateConnect | Surge)  # fmt: skip


class Expect(Table, frozen=True):
    """What the run has to show: a figure of the summary within its bounds."""

    figure: str
    min: float | None = None
    max: float | None = None


class Experiment(Table, frozen=True):
    """One experiment file."""

    name: str
    about: str = ""
    seconds: float = 10.0
    warmup: float = 1.0  # s at the start that no figure counts
    fleet: Fleet = Fleet()
    backends: Backends = Backends()
    discovery: Discovery = Discovery()
    network: Network = Network()
    load: Load = Load()
    clients: Clients = Clients()
    rules: Rules = Rules()
    faults: tuple[AnyFault, ...] = ()
    expect: tuple[Expect, ...] = ()

    @property
    def node_names(self) -> list[str]:
        """n0, n1, ..."""
        return [f"n{i}" for i in range(self.fleet.nodes)]

    @property
    def backend_names(self) -> list[str]:
        """s0, s1, ..."""
        return [f"s{i}" for i in range(self.backends.count)]

    def zone_of(self, party: str) -> str:
        """The zone of a node (n3), a backend (s7) or a client (c-b); discovery has none."""
        if party.startswith("c-"):
            return party[2:]
        if party[0] in "ns":
            return self.fleet.zones[int(party[1:]) % len(self.fleet.zones)]
        return ""

    def cell_of(self, backend: int) -> int:
        """The cell of backend number `backend`; no two zones share one."""
        zones = len(self.fleet.zones)
        return backend % zones + zones * (backend // zones // self.backends.cell_size)

    @property
    def rate(self) -> float:
        """First tries a second over all zones."""
        speed = sum(self.backends.speed) / 2
        bears = self.backends.count * self.backends.cores * speed * 1000 / self.load.work_ms
        return self.load.rate or self.load.utilisation * bears


def choose(spec: Experiment, selector: str) -> list[str]:
    """The parties that a selector names, in a fixed order.

    `KIND` or `KIND:WHICH`; kinds: nodes, backends, clients, discovery; WHICH: `3`, `0-2`, `70%`, `zone=a` or
    `zone!=a`. A share is spread evenly over the numbers. Raises SpecError.
    """
    kind, _, which = selector.partition(":")
    everyone = {
        "nodes": spec.node_names, "backends": spec.backend_names, "discovery": ["d"],
        "clients": [f"c-{zone}" for zone in spec.fleet.zones],
    }  # fmt: skip
    if kind not in everyone:
        raise SpecError(f"{selector!r} names none of {', '.join(everyone)}")
    names = everyone[kind]
    if not which:
        return names
    if "zone" in which:
        left, _, zone = which.rpartition("=")
        if zone not in spec.fleet.zones or left not in ("zone", "zone!"):
            raise SpecError(f"{selector!r} names no zone of the fleet")
        return [n for n in names if (spec.zone_of(n) == zone) == (left == "zone")]
    if which.endswith("%") and which[:-1].isdecimal() and 0 < int(which[:-1]) <= 100:
        count = max(1, round(len(names) * int(which[:-1]) / 100))
        return [names[i * len(names) // count] for i in range(count)]
    first, _, last = which.partition("-")
    if first.isdecimal() and (last or first).isdecimal() and int(first) <= int(last or first) < len(names):
        return names[int(first) : int(last or first) + 1]
    raise SpecError(f"{selector!r} names nothing here: there are {len(names)} {kind}")


def parties(spec: Experiment, fault: Fault) -> list[str]:
    """The parties that a fault strikes; none for one that strikes a way or a service. Raises SpecError."""
    what = getattr(fault, "what", ())
    selectors = (what,) if isinstance(what, str) else what
    return list(dict.fromkeys(name for one in selectors for name in choose(spec, one)))


def batches(names: list[str], count: int) -> list[list[str]]:
    """The names in `count` parts of about the same size, in order; none is empty."""
    count = min(count, len(names))
    return [names[i * len(names) // count : (i + 1) * len(names) // count] for i in range(count)]


def _assign(raw: dict[str, Any], assignment: str) -> None:
    path, eq, text = assignment.partition("=")
    if not eq:
        raise SpecError(f"--set {assignment}: not KEY=VALUE")
    try:
        value = tomllib.loads(f"v = {text}")["v"]
    except tomllib.TOMLDecodeError:
        value = text
    *tables, last = path.split(".")
    here: Any = raw
    for name in tables:
        here = here[int(name)] if isinstance(here, list) and name.isdecimal() else here.setdefault(name, {})
        if not isinstance(here, (dict, list)):
            raise SpecError(f"{path}: {name} is no table")
    if isinstance(here, list):
        raise SpecError(f"{path}: a list takes no value")
    here[last] = value


def _positive(spec: Experiment) -> Iterable[tuple[str, bool]]:
    """Each bound that the types cannot say, by its dotted field."""
    yield "seconds", 0 < spec.seconds <= 3600
    yield "warmup", 0 <= spec.warmup < spec.seconds
    yield "fleet.nodes", 1 <= spec.fleet.nodes <= 200
    yield "fleet.zones", 0 < len(set(spec.fleet.zones)) == len(spec.fleet.zones) <= spec.backends.count
    yield "fleet.cores", 0 < spec.fleet.cores <= 1
    yield "fleet.memory-mb", spec.fleet.memory_mb >= 32
    yield "fleet.sockets", spec.fleet.sockets >= 64
    yield "fleet.membership", not spec.fleet.membership or spec.network.peers
    yield "fleet.recovery", not spec.fleet.recovery or spec.fleet.membership
    yield "backends.count", 1 <= spec.backends.count <= 200
    yield "backends.cores", spec.backends.cores >= 1
    yield "backends.speed", 0 < spec.backends.speed[0] <= spec.backends.speed[1]
    yield "backends.cold-from", 0 < spec.backends.cold_from <= 1
    yield "backends.error-rate", 0 <= spec.backends.error_rate <= 1
    yield "load.work-ms", spec.load.work_ms > 0
    yield "load.work-cv", spec.load.work_cv >= 0
    yield "load.swing", 0 <= spec.load.swing < 1
    yield "load.zone-skew", 0 <= spec.load.zone_skew < 1
    yield "load.utilisation", 0 <= spec.load.utilisation <= 10
    yield "load.rate", 0 < spec.rate <= 50_000
    yield "load.classes", bool(spec.load.classes) and sum(c.share for c in spec.load.classes) > 0
    yield "clients.retries", 0 <= spec.clients.retries <= 10
    yield "clients.try-share", 0 < spec.clients.try_share <= 1
    yield "clients.per-connection", spec.clients.per_connection >= 1
    yield "rules.max-attempts", spec.rules.max_attempts >= 1


def _check(spec: Experiment) -> None:
    for name, holds in _positive(spec):
        if not holds:
            value: Any = spec
            for part in name.replace("-", "_").split("."):
                value = getattr(value, part)
            raise SpecError(f"{name} makes no sense: {value!r:.80}")
    for index, fault in enumerate(spec.faults):
        if not (0 <= fault.at < spec.seconds and fault.until <= spec.seconds):
            raise SpecError(f"faults[{index}].at is not within the run's {spec.seconds:g} s")
        if isinstance(fault, LateConnect) and not 0 < fault.share <= MOST_LATE:
            raise SpecError(f"faults[{index}].share makes no sense: {fault.share!r:.80}")
        if isinstance(fault, Power):
            for name in ("restart_after", "return_over", "discovery_after"):
                if getattr(fault, name) < 0:
                    raise SpecError(f"faults[{index}].{name.replace('_', '-')} is below 0")
        for name, selector, kinds in _selectors(fault):
            try:
                chosen = choose(spec, selector)
            except SpecError as err:
                raise SpecError(f"faults[{index}].{name}: {err}") from None
            if not all(n[0] in kinds for n in chosen):
                raise SpecError(f"faults[{index}].{name}: {selector!r} cannot have a {tag(fault)}")
    for index, expect in enumerate(spec.expect):
        if expect.min is None and expect.max is None:
            raise SpecError(f"expect[{index}].min and max are both missing")


def _selectors(fault: AnyFault) -> Iterable[tuple[str, str, str]]:
    """Each selector of a fault: its dotted field, itself, and first letters of the parties it may name."""
    if isinstance(fault, Link):
        yield "from", fault.from_, "nscd"
        yield "to", fault.to, "nscd"
    elif isinstance(fault, Power):
        for name, some in (("what", fault.what), ("never", fault.never)):
            for one in some:
                yield name, one, kinds_of(fault)
        for index, left in enumerate(fault.disks):
            yield f"disks.{index}.nodes", left.nodes, "n"
        for index, step in enumerate(fault.clocks):
            yield f"clocks.{index}.nodes", step.nodes, "n"
    elif (what := getattr(fault, "what", None)) is not None:
        yield "what", what, kinds_of(fault)
    if isinstance(fault, Maint):
        yield "nodes", fault.nodes, "n"


def tag(fault: Fault) -> str:
    """A fault's name in the file."""
    return str(type(fault).__struct_config__.tag)


def kinds_of(fault: Fault) -> str:
    """First letters of the parties that a fault can hit."""
    if isinstance(fault, (Kill, Stall)):
        return "ns"
    if isinstance(fault, Power):
        return "nsd"
    return "n" if isinstance(fault, (Terminate, Upgrade, Reload, Disk, WatchSilent)) else "s"


def load(path: Path, sets: Iterable[str] = ()) -> Experiment:
    """The experiment in a file, with `--set` fields; raises SpecError."""
    try:
        raw = tomllib.loads(path.read_text("utf-8"))
    except (OSError, UnicodeDecodeError) as err:
        raise SpecError(f"{path} cannot be read: {err}") from None
    except tomllib.TOMLDecodeError as err:
        raise SpecError(f"{path} is not TOML: {err}") from None
    for assignment in sets:
        try:
            _assign(raw, assignment)
        except (IndexError, TypeError):
            raise SpecError(f"--set {assignment}: there is no such field") from None
    try:
        spec = msgspec.convert(raw, Experiment)
    except msgspec.ValidationError as err:
        text, _, where = str(err).partition(" - at `$.")
        raise SpecError(f"{where.rstrip('`') or path.name}: {text}") from None
    _check(spec)
    return spec
