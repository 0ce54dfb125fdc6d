"""The faults that an experiment injects.

`at` is in seconds after the earliest possible arrival of a client request. Other times without a unit in
their name are in seconds, too. `targets` (`what` in the file) selects the parties that a fault affects, see
`selectors`.
"""

from __future__ import annotations

from typing import Literal

from msgspec import field

from balancer.experiments.tables import Table


class Fault(Table, frozen=True, tag_field="kind"):
    """A fault that begins at a given time of the run."""

    at: float

    @property
    def ends_at(self) -> float:
        """The second of the run at which the fault ends; without a duration it ends as it begins."""
        return self.at


class TimedFault(Fault, frozen=True):
    """A fault with a duration."""

    duration_s: float = field(name="for")

    @property
    def ends_at(self) -> float:
        """The second of the run at which the fault ends."""
        return self.at + self.duration_s


class BatchedFault(Fault, frozen=True):
    """A fault that affects its targets in `batches`, one batch every `every` seconds."""

    targets: str = field(name="what")
    batches: int = 1
    every: float = 1.0


class Kill(BatchedFault, frozen=True, tag="kill"):
    """Send SIGKILL to nodes; stop backends with connection resets.

    The targets start again after `restart_after` seconds, or never.
    """

    restart_after: float | None = None
    keep_tmp: bool = False


class Terminate(BatchedFault, frozen=True, tag="terminate"):
    """Send SIGTERM to nodes, SIGKILL after the platform's grace period, and start them again.

    `signals` selects further signals: a second SIGTERM, SIGHUP directly before or after the first, or another
    SIGTERM during the restart, before the node is ready. `restart_after` is in seconds.
    """

    restart_after: float | None = 0.2
    keep_tmp: bool = False
    signals: Literal["once", "twice", "reload-first", "reload-behind", "while-starting"] = "once"


class Reload(BatchedFault, frozen=True, tag="reload"):
    """Write a new configuration file for nodes and send SIGHUP; `broken` truncates the file.

    With `moves_discovery` the file has a new address of discovery: the former address accepts no new
    connections and closes the open ones some time later. With `peers` the file lists only that many nodes of
    the tier until the next reload; None lists all.
    """

    max_attempts: int = 3
    broken: bool = False
    moves_discovery: bool = False
    peers: int | None = None


class Stall(TimedFault, frozen=True, tag="stall"):
    """Send SIGSTOP to nodes and SIGCONT after the duration; make backends process nothing in between."""

    targets: str = field(name="what")


class Upgrade(Fault, frozen=True, tag="upgrade"):
    """Start a second process of each node; send SIGTERM to the first one once the second is ready."""

    targets: str = field(name="what")


class DiskFault(TimedFault, frozen=True, tag="disk"):
    """Make `$TMPDIR` and the durable directory reject writes (`full`) or new files (`readonly`)."""

    targets: str = field(name="what")
    mode: Literal["full", "readonly"] = "full"


class DiskState(Table, frozen=True):
    """The state of the durable directories of some nodes after a power loss.

    Other nodes find a state that a crash can leave. `old` is an earlier copy; `swapped` exchanges the
    directories of the selected nodes.
    """

    nodes: str
    state: Literal["empty", "damaged", "old", "swapped"]


class ClockStep(Table, frozen=True):
    """The offset of the wall clocks of some nodes after a power loss."""

    nodes: str
    offset_s: float


class PowerLoss(Fault, frozen=True, tag="power"):
    """Cut the power of all targets at once, then restore it one by one in random order.

    All times are in seconds. The first target returns `restart_after` seconds after the loss, the others
    within `return_over` seconds of it. Discovery returns `discovery_after` seconds after the first target.
    Targets in `never` do not return. `lab/power_loss.py` draws what the loss leaves in the durable directory
    of a node.
    """

    targets: tuple[str, ...] = field(name="what", default=("nodes", "backends", "discovery"))
    restart_after: float = 1.0
    return_over: float = 3.0
    discovery_after: float = 0.0
    never: tuple[str, ...] = ()
    disks: tuple[DiskState, ...] = ()
    clocks: tuple[ClockStep, ...] = ()


class Drain(TimedFault, frozen=True, kw_only=True, tag="drain"):
    """Drain backends: list them as terminating, stop them after the duration and restart them cold.

    `restart_after` is the number of seconds between the stop and the restart.
    """

    targets: str = field(name="what")
    duration_s: float = field(name="for", default=3.0)
    restart_after: float = 1.0


class Maintenance(TimedFault, frozen=True, tag="maint"):
    """Ban backends through the consoles of `nodes`; lift the bans through the consoles of all nodes."""

    targets: str = field(name="what")
    nodes: str = "nodes"


class GrayFailure(TimedFault, frozen=True, tag="gray"):
    """Make backends answer a `share` of the requests with an error while health checks pass."""

    targets: str = field(name="what")
    share: float = 0.6
    answer_ms: float = 1.0


class Slowdown(TimedFault, frozen=True, tag="slow"):
    """Multiply the service times of backends."""

    targets: str = field(name="what")
    factor: float = 3.0


class ConnectionResets(TimedFault, frozen=True, tag="resets"):
    """Make backends reset the connection of a `share` of the requests after doing their work."""

    targets: str = field(name="what")
    share: float = 0.2


class LinkFault(TimedFault, frozen=True, tag="link"):
    """Impair the network between two sets of parties, in both directions unless `both` is false.

    `cut` drops everything silently: open connections stay open, new ones are never established, datagrams
    are lost. On TCP connections `loss` delays data by the retransmission timeout; `duplicate` and `reorder`
    affect datagrams only.
    """

    source: str = field(name="from")
    destination: str = field(name="to")
    both: bool = True
    cut: bool = False
    # Open connections between the two sets are reset when the fault begins.
    reset: bool = False
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    loss: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    # The bandwidth of the link; 0 means unlimited.
    kbit_per_s: float = 0.0


class DiscoveryOutage(TimedFault, frozen=True, tag="discovery-down"):
    """Make discovery reset its connections, which ends all watches, and fail all calls."""


class DiscoveryDelay(TimedFault, frozen=True, tag="discovery-late"):
    """Delay the watch events of discovery."""

    delay_ms: float = 2000.0


class SilentWatches(Fault, frozen=True, tag="watch-silent"):
    """Make the open discovery watches of nodes send nothing more but stay open; new watches work."""

    targets: str = field(name="what", default="nodes")


class SlowConnects(TimedFault, frozen=True, tag="late-connect"):
    """Delay new connections to backends by one second during a `share` of the time."""

    targets: str = field(name="what")
    share: float = 0.2


class Surge(TimedFault, frozen=True, tag="surge"):
    """Multiply the request rate of the clients, in one zone or in all."""

    factor: float = 2.0
    zone: str = ""


AnyFault = (Kill | Terminate | Stall | Upgrade | Reload | DiskFault | PowerLoss | Drain | Maintenance
            | GrayFailure | Slowdown | ConnectionResets | LinkFault | DiscoveryOutage | DiscoveryDelay
            | SilentWatches | SlowConnects | Surge)  # fmt: skip


def fault_kind(fault: Fault) -> str:
    """Return the `kind` that a fault has in the experiment file."""
    return str(type(fault).__struct_config__.tag)
