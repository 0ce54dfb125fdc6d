"""`balancer fleet recovery`: how far the return of a node is. Exit code 0: it is over; 1: not yet."""

from __future__ import annotations

from typing import Any

import msgspec
from rich.console import Group, RenderableType
from rich.text import Text

from balancer.cli.fleet import AbsentError, AsJson, At, SilentError, Watch, ago, read_fleet_stats, show
from balancer.cli.output import stop

COLOURS = {"verify": "red", "ask": "red", "listed": "yellow", "warming": "yellow", "full": "green"}


class Recovery(msgspec.Struct):
    """`fleet.recovery` of `/stats`; what is unknown is skipped."""

    phase: str
    path: str
    since_ms: int = 0
    share: float = 1.0
    trusted: dict[str, str] = {}  # by kind of what was kept: whether it is used, and on whose word
    asked: int = 0
    heard: int = 0
    waits_for: list[int] = []
    until_ms: int | None = None
    bans: int = 0
    rows: int = 0
    register: str = ""
    listed: dict[str, Any] = msgspec.field(default_factory=dict, name="list")
    counts: dict[str, int] = {}
    failed: bool = False


def look(console: str) -> Recovery:
    """What the console says now; raises typer.Exit with one line where it says nothing of use."""
    found = read_fleet_stats(console).recovery
    if found is None:
        why = f"{console}: recovery is off there (PROXY_FLEET names no file with [recovery])"
        raise stop(AbsentError(why))
    try:
        return msgspec.convert(found, Recovery)
    except msgspec.ValidationError as err:
        raise stop(SilentError(f"{console} gives no figures of a return: {err}")) from None


def drawn(seen: Recovery) -> RenderableType:
    """For people."""
    colour = COLOURS.get(seen.phase, "")
    until = f", {ago(seen.until_ms)} more at most" if seen.until_ms is not None else ""
    named = ", ".join(map(str, seen.waits_for[:20])) or "nobody"
    more = f" and {len(seen.waits_for) - 20} more" if len(seen.waits_for) > 20 else ""
    used = [f"{kind} ({word})" for kind, word in seen.trusted.items() if word != "no"]
    unused = [kind for kind, word in seen.trusted.items() if word == "no"]
    told = "told by discovery" if seen.listed.get("fresh") else "as it was kept"
    lines = [
        f"phase [{colour}]{seen.phase}[/] for {ago(seen.since_ms)}{until}, path {seen.path}",
        f"heard {seen.heard} of {seen.asked} asked; waits for {named}{more}",
        f"of what was kept: used {', '.join(used) or 'nothing'}; not used {', '.join(unused) or 'nothing'}",
        f"{seen.bans} bans in {seen.rows} rows, register {seen.register}",
        f"list of revision {seen.listed.get('revision', 0)} {told}, "
        f"{seen.listed.get('restricted', 0)} avoided; share of the work on cold backends {seen.share:.1%}",
        f"counts: {', '.join(f'{name} {count}' for name, count in sorted(seen.counts.items())) or 'none'}",
    ]
    if seen.failed:
        lines.append("[red]the room has failed by a defect, see the log: the node goes on alone[/]")
    return Group(*(Text.from_markup(line) for line in lines))


def over(seen: Recovery) -> bool:
    """Whether the return is over."""
    return seen.phase == "full"


def recovery(console: At, as_json: AsJson = False, watch: Watch = False) -> None:
    """How far a return from a power loss is. Exit code 0: it is over; 1: not yet; 2: no answer."""
    raise show(console, as_json, watch, look, msgspec.to_builtins, drawn, over)
