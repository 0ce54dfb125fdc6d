"""Run a comparison job in the tree of one revision: `probe.py TREE ADAPTER JOB [ARGUMENT...]`.

The job writes text to standard output. This file is run by its path and not as a module of the tests, so that
only the package of that tree can be imported.
"""

from __future__ import annotations

import importlib.util
import sys
from collections.abc import Iterator
from pathlib import Path
from types import ModuleType
from typing import Any


def load_adapter(path: Path) -> Any:
    """Import the adapter of a revision from its file."""
    spec = importlib.util.spec_from_file_location("adapter", path)
    assert spec is not None and spec.loader is not None
    module: ModuleType = importlib.util.module_from_spec(spec)
    sys.modules["adapter"] = module
    spec.loader.exec_module(module)
    return module


def serve(adapter: Any) -> None:
    """Reply to batches of the extended wire protocol until standard input ends."""
    instances: dict[int, Any] = {}
    lines = (line.rstrip("\n") for line in sys.stdin)
    for line in lines:
        now = float(line.removeprefix("SYNC "))
        sys.stdout.write("\n".join(batch(adapter, instances, now, lines)) + "\n")
        sys.stdout.flush()


def batch(adapter: Any, instances: dict[int, Any], now: float, lines: Iterator[str]) -> list[str]:
    """Return the reply to one batch, whose SYNC line the caller has already read."""
    reply: list[str] = []
    who = -1
    for line in lines:
        word, _, rest = line.partition(" ")
        if word == "GO":
            break
        if word == "CONTEXT":
            who = int(rest)
        elif word == "START":
            seed, _, settings = rest.partition(" ")
            instances[who] = adapter.Instance(int(seed), settings)
        elif made := instances[who].handle(now, line, lines):
            reply += [f"SPEAKING {who}", *made]
    return [*reply, "FINISHED"]


def main() -> None:
    """Run the job that the command-line arguments name."""
    tree, path, job, *rest = sys.argv[1:]
    sys.path[0] = tree
    adapter = load_adapter(Path(path))
    match job:
        case "wire":
            serve(adapter)
        case "membership" | "recovery":
            for seed in rest:
                print(f"seed {seed}")
                sys.stdout.writelines(f"{line}\n" for line in getattr(adapter, job)(int(seed)))
        case "write":
            adapter.write_files(Path(rest[0]))
        case "read":
            sys.stdout.writelines(f"{line}\n" for line in adapter.read_files(Path(rest[0])))


if __name__ == "__main__":
    main()
