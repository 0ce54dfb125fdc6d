"""`balancer fleet`: the state of the tier as one node reports it on its console.

Exit code 0 means that every member is alive (`members`), or that more than half of the tier is present and
all peers heard from recently have the same view (`view`). Otherwise the exit code is 1, or 2 without a valid
response.
"""

from __future__ import annotations

import json
import time
from collections import Counter
from collections.abc import Callable
from http import HTTPStatus
from typing import Annotated, Any, TypeVar

import msgspec
import rich.live
import typer
from rich.console import Console, Group, RenderableType
from rich.table import Table
from rich.text import Text

from balancer.cli.output import ExitCode, error_exit
from balancer.errors import BalancerError
from balancer.net.endpoints import parse_address


class ConsoleAddressError(BalancerError):
    """The value of `--console` is not a valid address."""

    code = "CLI02"
    remedy = "write HOST:PORT with a literal IP address, as in PROXY_CONSOLE"


class ConsoleError(BalancerError):
    """A console does not answer, or its answer is not that of a node."""

    code = "CLI03"
    remedy = "check that the node runs; compare --console with the line console on HOST:PORT in its log"


class NotInTierError(BalancerError):
    """Membership or recovery does not run on the node, which therefore has no state to report."""

    code = "CLI04"
    remedy = "give the node a PROXY_FLEET file with [membership]; if it has one, look for MEM01 in its log"


CONSOLE_TIMEOUT_S = 2.0
WATCH_INTERVAL_S = 1.0
MAX_LISTED_NODES = 20
DAY_MS = 86_400_000
COLOURS = {"alive": "green", "suspect": "yellow", "dead": "red", "left": "dim", "unknown": "dim"}

Snapshot = TypeVar("Snapshot")

app = typer.Typer(
    help="Show the tier as one node sees it: its members, their agreement, and the recovery of the node.",
    no_args_is_help=True,
)

ConsoleOption = Annotated[str, typer.Option("--console", help="HOST:PORT of the console of a node.")]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON; with --watch, one line per update.")]
WatchOption = Annotated[bool, typer.Option("--watch", help="Update every second until Ctrl-C.")]


class Membership(msgspec.Struct):
    """The object `fleet.membership` of `/stats`; unknown keys are ignored."""

    present: bool
    me: int = 0
    nodes: int = 0
    present_nodes: int = 0
    generation: int = msgspec.field(name="life", default=0)
    incarnation: int = 0
    view: str = ""
    view_for_ms: int = 0
    view_reason: str = ""
    agreement: float = 1.0
    quorum: bool = False
    health: int = 0
    columns: list[str] = []
    members: list[list[Any]] = []
    counts: dict[str, int] = {}

    def rows(self) -> list[dict[str, Any]]:
        """Return a row for each member, with its node index and the fields named by `columns`."""
        return [{"node": n} | dict(zip(self.columns, m, strict=False)) for n, m in enumerate(self.members)]


class FleetStats(msgspec.Struct):
    """The object `fleet` of `/stats`."""

    membership: Membership | None = None
    recovery: dict[str, Any] | None = None


class Stats(msgspec.Struct):
    """The response to `GET /stats`, of which only `fleet` is read."""

    fleet: FleetStats | None = None


def read_fleet_stats(console: str) -> FleetStats:
    """Read the object `fleet` of `/stats` from a console; raises typer.Exit without a valid response."""
    # Imported here because httpx takes some 50 ms to import, which other commands need not wait for.
    import httpx

    try:
        host, port = parse_address(console)
    except ValueError as err:
        raise error_exit(ConsoleAddressError(f"--console is not HOST:PORT: {err}")) from None
    url = httpx.URL(scheme="http", host=host, port=port, path="/stats")
    try:
        # The proxy variables of the environment are ignored by trust_env=False.
        answer = httpx.get(url, timeout=CONSOLE_TIMEOUT_S, trust_env=False)
    except httpx.HTTPError as err:
        raise error_exit(ConsoleError(f"{console} does not answer: {err}")) from None
    if answer.status_code != HTTPStatus.OK:
        raise error_exit(
            ConsoleError(f"{console} returned status {answer.status_code} for GET /stats, expected 200")
        )
    try:
        stats = msgspec.json.decode(answer.content, type=Stats)
    except msgspec.MsgspecError as err:
        raise error_exit(ConsoleError(f"{console} returned no valid statistics of a node: {err}")) from None
    return stats.fleet or FleetStats()


def read_membership(console: str) -> Membership:
    """Read the membership from a console; raises typer.Exit if it does not run on the node."""
    membership = read_fleet_stats(console).membership
    if membership is None:
        raise error_exit(NotInTierError(
            f"{console}: membership is disabled on the node (PROXY_FLEET names no file with [membership])"
        ))  # fmt: skip
    if not membership.present:
        raise error_exit(NotInTierError(
            f"{console}: membership does not run on the node: its socket failed to open, or it has stopped"
        ))  # fmt: skip
    return membership


def format_duration(ms: float) -> str:
    """Return a duration in the largest fitting unit, rounded to a whole number."""
    for unit, size in (("d", DAY_MS), ("h", 3_600_000), ("min", 60_000), ("s", 1000)):
        if ms >= size:
            return f"{ms / size:.0f} {unit}"
    return f"{ms:.0f} ms"


def members_table(membership: Membership) -> RenderableType:
    """Return the members as a table."""
    table = Table(
        title=f"{membership.present_nodes} of {membership.nodes} present, as node {membership.me} sees it",
        title_justify="left",
    )
    for name in ("node", "state", "for", "generation", "incarnation", "its view"):
        table.add_column(
            name, justify="right" if name in ("node", "for", "generation", "incarnation") else "left"
        )
    for row in membership.rows():
        state, is_local = row["state"], row["node"] == membership.me
        view = membership.view if is_local else row["view"]
        shown_view = "" if view is None else view if view == membership.view else f"[yellow]{view}[/yellow]"
        colour = COLOURS.get(state, "")
        table.add_row(
            f"{row['node']}{'*' if is_local else ''}", f"[{colour}]{state}[/{colour}]",
            format_duration(row["changed_ms"]), str(row["life"]), str(row["incarnation"]), shown_view,
        )  # fmt: skip
    return table


def all_members_alive(membership: Membership) -> bool:
    """Return whether every member is alive, none of them suspected."""
    return all(row["state"] == "alive" for row in membership.rows())


def view_summary(membership: Membership) -> dict[str, Any]:
    """Return the view of the node as an object for JSON output."""
    states = Counter(row["state"] for row in membership.rows())
    differing = [
        row["node"]
        for row in membership.rows()
        if row["state"] in ("alive", "suspect")
        and row["view"] not in (None, membership.view)
        and row["node"] != membership.me
    ]
    return {
        "node": membership.me, "view": membership.view, "for_ms": membership.view_for_ms,
        "reason": membership.view_reason, "nodes": membership.nodes, "present": membership.present_nodes,
        "states": dict(states), "quorum": membership.quorum, "agreement": membership.agreement,
        "last_said_otherwise": differing, "health": membership.health, "life": membership.generation,
        "incarnation": membership.incarnation, "counts": membership.counts,
    }  # fmt: skip


def render_view(membership: Membership) -> RenderableType:
    """Return the view of the node as lines of text."""
    row = view_summary(membership)
    quorum = "more than half" if membership.quorum else "[red]a minority[/red]"
    agreement = (
        f"{membership.agreement:.0%}"
        if membership.agreement == 1
        else f"[yellow]{membership.agreement:.0%}[/yellow]"
    )
    states = ", ".join(f"{count} {state}" for state, count in sorted(row["states"].items()))
    differing = row["last_said_otherwise"]
    more = f" and {len(differing) - MAX_LISTED_NODES} more" if len(differing) > MAX_LISTED_NODES else ""
    listed = ", ".join(map(str, differing[:MAX_LISTED_NODES])) + more if differing else "none"
    counts = ", ".join(f"{name} {count}" for name, count in sorted(membership.counts.items()))
    lines = [
        f"node {membership.me}, generation {membership.generation}, incarnation {membership.incarnation}, "
        f"local health score {membership.health} of 8 (0: healthy)",
        f"view {membership.view} for {format_duration(membership.view_for_ms)} ({membership.view_reason})",
        f"{membership.present_nodes} of {membership.nodes} present, {quorum}: {states}",
        f"{agreement} of the peers heard from recently agree; "
        f"nodes that last reported another view: {listed}",
        f"counts: {counts}",
    ]
    return Group(*(Text.from_markup(line) for line in lines))


def is_agreed_majority(membership: Membership) -> bool:
    """Return whether more than half of the tier is present and all peers heard from recently agree."""
    return membership.quorum and membership.agreement == 1.0


def print_snapshots(
    console: str, as_json: bool, watch: bool, read: Callable[[str], Snapshot],
    to_json: Callable[[Snapshot], Any], render: Callable[[Snapshot], RenderableType],
    is_ok: Callable[[Snapshot], bool],
) -> typer.Exit:  # fmt: skip
    """Print a snapshot, or one per second until Ctrl-C; return the exit code for the last one."""
    snapshot = read(console)
    try:
        if watch and not as_json:
            with rich.live.Live(render(snapshot), console=Console(), refresh_per_second=2) as live_display:
                while True:
                    time.sleep(WATCH_INTERVAL_S)
                    snapshot = read(console)
                    live_display.update(render(snapshot))
        while watch:
            print(json.dumps(to_json(snapshot)), flush=True)
            time.sleep(WATCH_INTERVAL_S)
            snapshot = read(console)
    except KeyboardInterrupt:
        return typer.Exit(ExitCode.OK if is_ok(snapshot) else ExitCode.CHECK_FAILED)
    if as_json:
        print(json.dumps(to_json(snapshot)))
    else:
        Console().print(render(snapshot))
    return typer.Exit(ExitCode.OK if is_ok(snapshot) else ExitCode.CHECK_FAILED)


@app.command()
def members(console: ConsoleOption, as_json: JsonOption = False, watch: WatchOption = False) -> None:
    """Show every member and its state. Exit code 0: all alive; 1: some are not; 2: no valid response."""
    raise print_snapshots(
        console, as_json, watch, read_membership, Membership.rows, members_table, all_members_alive
    )


@app.command()
def view(console: ConsoleOption, as_json: JsonOption = False, watch: WatchOption = False) -> None:
    """Show whether the tier agrees. Exit code 0: a majority agrees; 1: it does not; 2: no valid response."""
    raise print_snapshots(
        console, as_json, watch, read_membership, view_summary, render_view, is_agreed_majority
    )
