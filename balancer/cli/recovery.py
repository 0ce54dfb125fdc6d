"""`balancer fleet recovery`: progress of a node's recovery. Exit code 0: it is over; 1: not yet."""

from __future__ import annotations

import msgspec
from rich.console import Group, RenderableType
from rich.text import Text

from balancer.cli.fleet import AbsentError, AsJson, At, SilentError, Watch, ago, read_fleet_stats, show
from balancer.cli.output import stop
from balancer.recovery.stats import NOT_TRUSTED, RecoveryStats

MAX_SHOWN_NODES = 20
COLOURS = {"verify": "red", "ask": "red", "listed": "yellow", "warming": "yellow", "full": "green"}


def read_console(console: str) -> RecoveryStats:
    """Return what the console says now.

    Raises:
        typer.Exit: With one line if there is no valid answer.
    """
    found = read_fleet_stats(console).recovery
    if found is None:
        why = f"{console}: recovery is off there (PROXY_FLEET names no file with [recovery])"
        raise stop(AbsentError(why))
    try:
        return msgspec.convert(found, RecoveryStats)
    except msgspec.ValidationError as err:
        raise stop(SilentError(f"{console} gives no figures of recovery: {err}")) from None


def table(seen: RecoveryStats) -> RenderableType:
    """Return the table for people."""
    lines = [
        _phase_line(seen),
        f"heard {seen.reported_peers} of {seen.peers} peers; waits for {_awaited(seen.awaited_peers)}",
        _trust_line(seen.trusted),
        f"{seen.bans} bans in {seen.entries} entries, register {seen.register_hash}",
        _list_line(seen),
        f"counts: {', '.join(f'{name} {count}' for name, count in sorted(seen.counts.items())) or 'none'}",
    ]
    if seen.failed:
        lines.append("[red]recovery has failed by a defect, see the log: the node continues alone[/]")
    return Group(*(Text.from_markup(line) for line in lines))


def _phase_line(seen: RecoveryStats) -> str:
    colour = COLOURS.get(seen.phase, "")
    until = f", {ago(seen.remaining_ms)} more at most" if seen.remaining_ms is not None else ""
    return f"phase [{colour}]{seen.phase}[/] for {ago(seen.since_ms)}{until}, path {seen.path}"


def _awaited(nodes: list[int]) -> str:
    shown = ", ".join(map(str, nodes[:MAX_SHOWN_NODES])) or "nobody"
    hidden = len(nodes) - MAX_SHOWN_NODES
    return f"{shown} and {hidden} more" if hidden > 0 else shown


def _trust_line(trusted: dict[str, str]) -> str:
    used = [f"{kind} ({level})" for kind, level in trusted.items() if level != NOT_TRUSTED]
    unused = [kind for kind, level in trusted.items() if level == NOT_TRUSTED]
    return f"saved state: used {', '.join(used) or 'nothing'}; not used {', '.join(unused) or 'nothing'}"


def _list_line(seen: RecoveryStats) -> str:
    source = "sent by discovery" if seen.endpoint_list.fresh else "as it was saved"
    return (
        f"list of revision {seen.endpoint_list.revision} {source}, "
        f"{seen.endpoint_list.restricted} avoided; "
        f"share of the capacity of cold backends {seen.share:.1%}"
    )


def is_over(seen: RecoveryStats) -> bool:
    """Return whether the recovery is over."""
    return seen.phase == "full"


def recovery(console: At, as_json: AsJson = False, watch: Watch = False) -> None:
    """Show the progress of recovery from a power loss. Exit code 0: it is over; 1: not yet; 2: no answer."""
    raise show(console, as_json, watch, read_console, msgspec.to_builtins, table, is_over)
