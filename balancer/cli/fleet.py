"""`balancer fleet`: what one node's console says of the tier. Exit code 0: all is well; 1: it is not.

Well is: every member present and none suspected (`members`); more than half of the tier present, and all
peers heard lately hold the same for present (`view`).
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

from balancer.cli.output import Exit, stop
from balancer.errors import BalancerError
from balancer.net.endpoints import parse_address


class ArgumentError(BalancerError):
    """`--console` names no address."""

    code = "CLI02"
    remedy = "write HOST:PORT with a literal address, as PROXY_CONSOLE has it"


class SilentError(BalancerError):
    """A console does not answer, or it is no node's."""

    code = "CLI03"
    remedy = "compare --console with the node's line console on HOST:PORT; look whether the node runs"


class AbsentError(BalancerError):
    """The node that was asked takes no part in the tier."""

    code = "CLI04"
    remedy = "give it a PROXY_FLEET file with [membership]; where it has one, its log says MEM01 and why"


CONSOLE_TIMEOUT_S = 2.0
WATCH_INTERVAL_S = 1.0
MAX_LISTED_NODES = 20
DAY_MS = 86_400_000
COLOURS = {"alive": "green", "suspect": "yellow", "dead": "red", "left": "dim", "unknown": "dim"}

Shown = TypeVar("Shown")

app = typer.Typer(
    help="The tier as one node sees it: who is present, whether the others agree, how far its return is.",
    no_args_is_help=True,
)

At = Annotated[str, typer.Option("--console", help="HOST:PORT of a node's console.")]
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON, with --watch a line for each look.")]
Watch = Annotated[bool, typer.Option("--watch", help="Look every second until Ctrl-C.")]


class Membership(msgspec.Struct):
    """`fleet.membership` of `/stats`, as far as it is shown; what is unknown is skipped."""

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
        """Return the members, each with its number and named fields."""
        return [{"node": n} | dict(zip(self.columns, m, strict=False)) for n, m in enumerate(self.members)]


class FleetStats(msgspec.Struct):
    """The `fleet` object."""

    membership: Membership | None = None
    recovery: dict[str, Any] | None = None


class Stats(msgspec.Struct):
    """`GET /stats`, as far as it is read here."""

    fleet: FleetStats | None = None


def read_fleet_stats(console: str) -> FleetStats:
    """Read the `fleet` object of a console; raises typer.Exit where there is none."""
    import httpx  # some 50 ms that the other commands need not wait

    try:
        host, port = parse_address(console)
    except ValueError as err:
        raise stop(ArgumentError(f"--console makes no sense: {err}")) from None
    url = httpx.URL(scheme="http", host=host, port=port, path="/stats")
    try:
        answer = httpx.get(url, timeout=CONSOLE_TIMEOUT_S, trust_env=False)  # no proxy of the shell
    except httpx.HTTPError as err:
        raise stop(SilentError(f"{console} does not answer: {err}")) from None
    if answer.status_code != HTTPStatus.OK:
        raise stop(SilentError(f"{console} answers {answer.status_code} to GET /stats"))
    try:
        stats = msgspec.json.decode(answer.content, type=Stats)
    except msgspec.MsgspecError as err:
        raise stop(SilentError(f"{console} gives no figures of a node: {err}")) from None
    return stats.fleet or FleetStats()


def read_membership(console: str) -> Membership:
    """Read the membership of a console; raises typer.Exit where there is none."""
    found = read_fleet_stats(console).membership
    if found is None:
        raise stop(AbsentError(
            f"{console}: membership is off there (PROXY_FLEET names no file with [membership])"
        ))  # fmt: skip
    if not found.present:
        raise stop(AbsentError(
            f"{console}: the node takes no part: its socket could not be had, or it has ended"
        ))  # fmt: skip
    return found


def ago(ms: float) -> str:
    """Return a time span for people."""
    for unit, size in (("d", DAY_MS), ("h", 3_600_000), ("min", 60_000), ("s", 1000)):
        if ms >= size:
            return f"{ms / size:.0f} {unit}"
    return f"{ms:.0f} ms"


def table_of(seen: Membership) -> RenderableType:
    """Return the members for people."""
    table = Table(title=f"{seen.present_nodes} of {seen.nodes} present, as node {seen.me} sees it",
                  title_justify="left")  # fmt: skip
    for name in ("node", "state", "for", "life", "incarnation", "its view"):
        table.add_column(name, justify="right" if name in ("node", "for", "life", "incarnation") else "left")
    for row in seen.rows():
        state, own = row["state"], row["node"] == seen.me
        view = seen.view if own else row["view"]
        note = "" if view is None else view if view == seen.view else f"[yellow]{view}[/yellow]"
        colour = COLOURS.get(state, "")
        table.add_row(f"{row['node']}{'*' if own else ''}", f"[{colour}]{state}[/{colour}]",
                      ago(row["changed_ms"]), str(row["life"]), str(row["incarnation"]), note)  # fmt: skip
    return table


def all_members_alive(seen: Membership) -> bool:
    """Return whether every member is present and none is suspected."""
    return all(row["state"] == "alive" for row in seen.rows())


def view_summary(seen: Membership) -> dict[str, Any]:
    """Return the view in few fields."""
    states = Counter(row["state"] for row in seen.rows())
    others = [r["node"] for r in seen.rows()
              if r["state"] in ("alive", "suspect") and r["view"] not in (None, seen.view)
              and r["node"] != seen.me]  # fmt: skip
    return {
        "node": seen.me, "view": seen.view, "for_ms": seen.view_for_ms, "reason": seen.view_reason,
        "nodes": seen.nodes, "present": seen.present_nodes, "states": dict(states), "quorum": seen.quorum,
        "agreement": seen.agreement, "last_said_otherwise": others, "health": seen.health,
        "life": seen.generation, "incarnation": seen.incarnation, "counts": seen.counts,
    }  # fmt: skip


def view_of(seen: Membership) -> RenderableType:
    """Return the view for people."""
    row = view_summary(seen)
    quorum = "more than half" if seen.quorum else "[red]a minority[/red]"
    agree = f"{seen.agreement:.0%}" if seen.agreement == 1 else f"[yellow]{seen.agreement:.0%}[/yellow]"
    states = ", ".join(f"{count} {state}" for state, count in sorted(row["states"].items()))
    named = row["last_said_otherwise"]
    more = f" and {len(named) - MAX_LISTED_NODES} more" if len(named) > MAX_LISTED_NODES else ""
    others = ", ".join(map(str, named[:MAX_LISTED_NODES])) + more if named else "none"
    counts = ", ".join(f"{name} {count}" for name, count in sorted(seen.counts.items()))
    lines = [
        f"node {seen.me}, life {seen.generation}, incarnation {seen.incarnation}, late by {seen.health} of 8",
        f"view {seen.view} for {ago(seen.view_for_ms)} ({seen.view_reason})",
        f"{seen.present_nodes} of {seen.nodes} present, {quorum}: {states}",
        f"{agree} of the peers heard lately agree; last said otherwise: {others}",
        f"counts: {counts}",
    ]
    return Group(*(Text.from_markup(line) for line in lines))


def is_agreed_majority(seen: Membership) -> bool:
    """Whether this node is of a majority whose views agree."""
    return seen.quorum and seen.agreement == 1.0


def show(
    at: str, as_json: bool, watch: bool, read: Callable[[str], Shown], data: Callable[[Shown], Any],
    draw: Callable[[Shown], RenderableType], is_well: Callable[[Shown], bool],
) -> typer.Exit:  # fmt: skip
    """Look once, or again and again; the exit code is that of the last look."""
    seen = read(at)
    try:
        if watch and not as_json:
            with rich.live.Live(draw(seen), console=Console(), refresh_per_second=2) as picture:
                while True:
                    time.sleep(WATCH_INTERVAL_S)
                    seen = read(at)
                    picture.update(draw(seen))
        while watch:
            print(json.dumps(data(seen)), flush=True)
            time.sleep(WATCH_INTERVAL_S)
            seen = read(at)
    except KeyboardInterrupt:
        return typer.Exit(Exit.HELD if is_well(seen) else Exit.SHORT)
    if as_json:
        print(json.dumps(data(seen)))
    else:
        Console().print(draw(seen))
    return typer.Exit(Exit.HELD if is_well(seen) else Exit.SHORT)


@app.command()
def members(console: At, as_json: AsJson = False, watch: Watch = False) -> None:
    """Every member, its state and life. Exit code 0: all present; 1: some are not; 2: no answer."""
    raise show(console, as_json, watch, read_membership, Membership.rows, table_of, all_members_alive)


@app.command()
def view(console: At, as_json: AsJson = False, watch: Watch = False) -> None:
    """Whether the tier agrees. Exit code 0: a majority that agrees; 1: not; 2: no answer."""
    raise show(console, as_json, watch, read_membership, view_summary, view_of, is_agreed_majority)
