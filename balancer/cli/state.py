"""`balancer state`: a node's directory of durable state, checked, shown or made small.

Exit code 0: sound; 1: something in it is not as it was written; 2: it cannot be read, or must not be touched.
"""

from __future__ import annotations

import json
import time
from dataclasses import asdict
from pathlib import Path
from typing import Annotated, Any

import typer
from rich.console import Console
from rich.table import Table

from balancer.cli.output import Exit, stop
from balancer.durable.files import RealFiles
from balancer.durable.records import Kept, stamp, total
from balancer.durable.store import Loaded, Store, load
from balancer.errors import BalancerError

app = typer.Typer(help="A node's durable state: verify, show, compact.", no_args_is_help=True)


class FolderError(BalancerError):
    """A directory of durable state cannot be read, or there is none."""

    code = "CLI05"
    remedy = "name the directory that durable.directory has, as a user who may read it"


class UsedError(BalancerError):
    """A directory is not to be touched while a process of its node lives."""

    code = "CLI06"
    remedy = "end the node first; its own start makes the directory small as well"


Folder = Annotated[Path, typer.Argument(help="What durable.directory names.")]
AsJson = Annotated[bool, typer.Option("--json", help="Print the result as JSON on standard output.")]


def read(folder: Path) -> tuple[Loaded, Kept]:
    """What a directory holds; raises typer.Exit, said why, where it cannot be read."""
    try:
        if not folder.is_dir():
            raise stop(FolderError(f"{folder} is no directory"))
        loaded = load(RealFiles(folder))
        return loaded, total(loaded.snapshot, loaded.records)
    except (BalancerError, OSError) as err:
        raise refused(folder, err) from None


def refused(folder: Path, err: BalancerError | OSError) -> typer.Exit:
    """What is wrong with a directory."""
    kind = type(err) if isinstance(err, BalancerError) else FolderError
    return stop(kind(f"{folder}: {err}"))


def outcome(loaded: Loaded) -> dict[str, Any]:
    """What was found, in few fields."""
    return {
        "sound": not loaded.notes, "lost": loaded.lost, "records": loaded.number, "files": loaded.files,
        "bytes": loaded.size, "generation": loaded.generation, "fence": loaded.fence, "notes": loaded.notes,
    }  # fmt: skip


@app.command()
def verify(folder: Folder, as_json: AsJson = False) -> None:
    """Check every record. Nothing is changed; the node may run."""
    loaded, _ = read(folder)
    if as_json:
        print(json.dumps(outcome(loaded)))
    else:
        print(f"{loaded.number} records in {loaded.files} files of {loaded.size} bytes, "
              f"generation {loaded.generation}, writer {loaded.fence}")  # fmt: skip
        for note in loaded.notes:
            print(note)
        if loaded.notes:
            print("some of what was promised is lost" if loaded.lost else "nothing that was promised is lost")
        else:
            print("sound")
    raise typer.Exit(Exit.SHORT if loaded.notes else Exit.HELD)


def _when(wall: float) -> str:
    return time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(wall / 1000)) + " UTC"


@app.command()
def show(folder: Folder, as_json: AsJson = False) -> None:
    """What the node would take up again if it started now."""
    loaded, kept = read(folder)
    age = None if kept.sampled is None else kept.sampled.at.age(stamp())
    if as_json:
        learned = None if kept.sampled is None else asdict(kept.sampled.learned)
        print(json.dumps({
            "out": kept.out, "back": kept.back, "revision": kept.revision, "heard": kept.heard,
            "backends": len(kept.rows), "life": kept.life, "learned_age_ms": age, "learned": learned,
            "unknown": len(kept.unknown),
        }))  # fmt: skip
        raise typer.Exit(Exit.SHORT if loaded.notes else Exit.HELD)
    table = Table(show_header=False)
    for name, at in sorted(kept.out.items()):
        table.add_row("out", f"{name} since {_when(at)}")
    for name, at in sorted(kept.back.items()):
        table.add_row("put back", f"{name} at {_when(at)}")
    heard = f"revision {kept.revision}, {len(kept.rows)} backends, heard {_when(kept.heard)}"
    table.add_row("list", heard if kept.rows else "none")
    table.add_row("life", str(kept.life))
    if kept.sampled is not None and age is not None:
        had = kept.sampled.learned
        told = f"{age / 1000:.1f} s ago at least: limit {had.limit:.1f}, {len(had.backends)} backends"
        table.add_row("learned", told)
    Console().print(table)
    raise typer.Exit(Exit.SHORT if loaded.notes else Exit.HELD)


@app.command()
def compact(folder: Folder, as_json: AsJson = False) -> None:
    """Begin a new generation, as a start of the node does. Not while a process of the node lives."""
    before, _ = read(folder)
    if not before.node:
        raise stop(FolderError(f"{folder}: there is no state in it"))
    files = RealFiles(folder)
    try:
        with files.unused():
            Store(files, before.node, before.store,
                  lambda loaded: total(loaded.snapshot, loaded.records).encode()).close()  # fmt: skip
    except BlockingIOError:
        raise stop(UsedError(f"{folder}: a process of the node uses it")) from None
    except (BalancerError, OSError) as err:
        raise refused(folder, err) from None
    after, _ = read(folder)
    if as_json:
        print(json.dumps({"before": outcome(before), "after": outcome(after)}))
    else:
        print(f"{before.size} bytes before, {after.size} now")
    raise typer.Exit(Exit.SHORT if after.notes else Exit.HELD)
