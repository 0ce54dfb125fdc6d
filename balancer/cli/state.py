"""`balancer state`: verify, show or compact a node's state directory.

Exit code 0: valid; 1: something in it is not as it was written; 2: it cannot be read, or must not be changed.
"""

from __future__ import annotations

import json
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Annotated

import typer
from rich.console import Console
from rich.table import Table

from balancer.cli.output import Exit, stop
from balancer.durable.filesystem import SystemDirectory
from balancer.durable.reader import DirectoryContents, read_directory
from balancer.durable.state import DurableState, replay
from balancer.durable.timestamp import Timestamp
from balancer.durable.writer import LogWriter
from balancer.errors import BalancerError

app = typer.Typer(help="A node's durable state: verify, show, compact.", no_args_is_help=True)

MS_PER_S = 1000


class StateDirectoryError(BalancerError):
    """A directory of durable state cannot be read, or there is none."""

    code = "CLI05"
    remedy = "name the directory that durable.directory has, as a user who may read it"


class DirectoryInUseError(BalancerError):
    """A directory must not be changed while a process of its node lives."""

    code = "CLI06"
    remedy = "end the node first; its own start makes the directory small as well"


PathArgument = Annotated[Path, typer.Argument(metavar="FOLDER", help="What durable.directory names.")]
JsonOption = Annotated[bool, typer.Option("--json", help="Print the result as JSON on standard output.")]


@dataclass(frozen=True)
class Verification:
    """The result of checking a directory; the fields are the keys of the JSON output."""

    sound: bool
    lost: bool
    records: int
    files: int
    bytes: int
    generation: int
    fence: int
    notes: list[str]

    @classmethod
    def of(cls, contents: DirectoryContents) -> Verification:
        """Summarise what a directory holds."""
        return cls(
            sound=not contents.problems,
            lost=contents.has_lost_records,
            records=contents.last_number,
            files=contents.file_count,
            bytes=contents.size_bytes,
            generation=contents.generation,
            fence=contents.fence,
            notes=contents.problems,
        )


def _read(path: Path) -> DirectoryContents:
    """Read a directory; raise typer.Exit, with the reason on standard error, if that is not possible."""
    try:
        if not path.is_dir():
            raise stop(StateDirectoryError(f"{path} is no directory"))
        return read_directory(SystemDirectory(path))
    except (BalancerError, OSError) as err:
        raise _stopped_by(path, err) from None


def _replay(path: Path, contents: DirectoryContents) -> DurableState:
    """Replay what was read; raise typer.Exit, with the reason on standard error, if that is not possible."""
    try:
        return replay(contents.snapshot, contents.records)
    except BalancerError as err:
        raise _stopped_by(path, err) from None


def _stopped_by(path: Path, err: BalancerError | OSError) -> typer.Exit:
    kind = type(err) if isinstance(err, BalancerError) else StateDirectoryError
    return stop(kind(f"{path}: {err}"))


def _exit_for(contents: DirectoryContents) -> typer.Exit:
    return typer.Exit(Exit.SHORT if contents.problems else Exit.HELD)


@app.command()
def verify(path: PathArgument, as_json: JsonOption = False) -> None:
    """Check every record. Nothing is changed; the node may run."""
    contents = _read(path)
    _replay(path, contents)
    if as_json:
        print(json.dumps(asdict(Verification.of(contents))))
    else:
        print(
            f"{contents.last_number} records in {contents.file_count} files of {contents.size_bytes} bytes, "
            f"generation {contents.generation}, writer {contents.fence}"
        )
        for problem in contents.problems:
            print(problem)
        print(_verdict(contents))
    raise _exit_for(contents)


def _verdict(contents: DirectoryContents) -> str:
    if not contents.problems:
        return "sound"
    if contents.has_lost_records:
        return "acknowledged records are lost"
    return "no acknowledged record is lost"


def _format_time(unix_ms: float) -> str:
    return time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(unix_ms / MS_PER_S)) + " UTC"


@app.command()
def show(path: PathArgument, as_json: JsonOption = False) -> None:
    """Show what the node would recover if it started now."""
    contents = _read(path)
    state = _replay(path, contents)
    sample = state.learned_sample
    age_ms = None if sample is None else sample.taken_at.age_ms(Timestamp.now())
    if as_json:
        print(json.dumps(_as_json(state, age_ms)))
    else:
        Console().print(_as_table(state, age_ms))
    raise _exit_for(contents)


def _as_json(state: DurableState, learned_age_ms: float | None) -> dict[str, object]:
    sample = state.learned_sample
    return {
        "out": state.banned,
        "back": state.lifted,
        "revision": state.list_revision,
        "heard": state.list_received_at_ms,
        "backends": len(state.endpoints),
        "life": state.incarnation,
        "learned_age_ms": learned_age_ms,
        "learned": None if sample is None else asdict(sample.learned),
        "unknown": len(state.unknown_records),
    }


def _as_table(state: DurableState, learned_age_ms: float | None) -> Table:
    table = Table(show_header=False)
    for backend, since_ms in sorted(state.banned.items()):
        table.add_row("in maintenance", f"{backend} since {_format_time(since_ms)}")
    for backend, at_ms in sorted(state.lifted.items()):
        table.add_row("returned", f"{backend} at {_format_time(at_ms)}")
    received = f"received {_format_time(state.list_received_at_ms)}"
    endpoints = f"revision {state.list_revision}, {len(state.endpoints)} backends, {received}"
    table.add_row("endpoint list", endpoints if state.endpoints else "none")
    table.add_row("incarnation", str(state.incarnation))
    if state.learned_sample is not None and learned_age_ms is not None:
        learned = state.learned_sample.learned
        age = f"at least {learned_age_ms / MS_PER_S:.1f} s ago"
        table.add_row("learned", f"{age}: limit {learned.limit:.1f}, {len(learned.backends)} backends")
    return table


@app.command()
def compact(path: PathArgument, as_json: JsonOption = False) -> None:
    """Begin a new generation, as a start of the node does. Not while a process of the node lives."""
    before = _read(path)
    _replay(path, before)
    if not before.node:
        raise stop(StateDirectoryError(f"{path}: there is no state in it"))
    directory = SystemDirectory(path)
    try:
        with directory.exclusive_use():
            LogWriter(directory, before.node, before.directory_id, _snapshot_of).close()
    except BlockingIOError:
        raise stop(DirectoryInUseError(f"{path}: a process of the node uses it")) from None
    except (BalancerError, OSError) as err:
        raise _stopped_by(path, err) from None
    after = _read(path)
    _replay(path, after)
    if as_json:
        comparison = {"before": asdict(Verification.of(before)), "after": asdict(Verification.of(after))}
        print(json.dumps(comparison))
    else:
        print(f"{before.size_bytes} bytes before, {after.size_bytes} now")
    raise _exit_for(after)


def _snapshot_of(contents: DirectoryContents) -> bytes:
    return replay(contents.snapshot, contents.records).encode_snapshot()
