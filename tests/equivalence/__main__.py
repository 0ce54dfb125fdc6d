"""Compare the behaviour of this tree with that of an earlier revision: `python -m tests.equivalence REV`.

The comparison covers the decisions on generated input in the simulator's wire protocol, which is extended by
events that only a real node sees; the datagrams of membership and recovery under seeded schedules; and the
files that one version leaves to the other. The exit code is 0 if all outputs are equal, 1 if any differ, and
2 if the revision cannot be checked out.
"""

from __future__ import annotations

import argparse
import hashlib
import io
import json
import os
import subprocess
import sys
import tarfile
import tempfile
import tomllib
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass
from difflib import unified_diff
from functools import partial
from pathlib import Path

from tests.equivalence.stream import World

HERE = Path(__file__).resolve().parent
ROOT = HERE.parents[1]
WIRE_SEEDS, MEMBERSHIP_SEEDS, RECOVERY_SEEDS = 40, 10, 30
# Number of comparisons that run at the same time; each starts subprocesses for both trees.
WORKERS = 4
# Maximum number of diff lines that are printed for one comparison.
SHOWN_LINES = 30


@dataclass(frozen=True)
class Tree:
    """A checkout of the repository and the adapter that maps the comparison to its identifiers."""

    root: Path
    adapter: Path

    @classmethod
    def at(cls, root: Path) -> Tree:
        """Return the tree at `root`, with its own adapter if it has one and with `former.py` otherwise."""
        own = root / "tests" / "equivalence" / "adapter.py"
        return cls(root, own if own.exists() else HERE / "former.py")

    def command(self, job: str, *args: str) -> list[str]:
        """Return the command line that runs a job of `probe.py` in this tree."""
        return [sys.executable, "-B", str(HERE / "probe.py"), str(self.root), str(self.adapter), job, *args]

    def run(self, job: str, *args: str) -> str:
        """Run a job of `probe.py` in this tree and return its standard output."""
        return run(self.command(job, *args), "")

    def simulate(self, text: str) -> str:
        """Run the `sim` command of the deploy file on this input and return its standard output."""
        deploy = tomllib.loads((self.root / "deploy" / "balancer.toml").read_text("utf-8"))
        module = str(deploy["sim"]).rpartition(" -m ")[2]
        return run([sys.executable, "-B", "-m", module], text, self.root)


def run(command: list[str], text: str, folder: Path = ROOT) -> str:
    """Run a command on the standard input `text` and return its output; raises CalledProcessError."""
    env = os.environ | {"PYTHONPATH": str(folder), "PYTHONHASHSEED": "0"}
    done = subprocess.run(
        command, input=text, stdout=subprocess.PIPE, text=True, check=True, cwd=folder, env=env
    )
    return done.stdout


def cache() -> Path:
    """Return the cache folder for checkouts and recorded plays, which all work trees share."""
    command = ["git", "-C", str(ROOT), "rev-parse", "--path-format=absolute", "--git-common-dir"]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    return Path(done.stdout.strip()).parent / ".lab" / "equivalence"


def checkout(revision: str) -> Path:
    """Extract a revision into the cache and return its folder; raises CalledProcessError."""
    git = ["git", "-C", str(ROOT)]
    done = subprocess.run(
        [*git, "rev-parse", f"{revision}^{{commit}}"], capture_output=True, text=True, check=True
    )
    folder = cache() / done.stdout.strip()[:12]
    if not folder.exists():
        listed = subprocess.run(
            [*git, "ls-tree", "--name-only", revision], capture_output=True, text=True, check=True
        )
        wanted = [
            name for name in ("balancer", "dillport", "deploy", "tests") if name in listed.stdout.split()
        ]
        data = subprocess.run([*git, "archive", revision, *wanted], capture_output=True, check=True).stdout
        folder.parent.mkdir(parents=True, exist_ok=True)
        with tempfile.TemporaryDirectory(dir=folder.parent) as draft:
            with tarfile.open(fileobj=io.BytesIO(data)) as tar:
                tar.extractall(draft, filter="data")
            Path(draft).rename(folder)
            # The renamed draft folder is created again so that the context manager has one to remove.
            Path(draft).mkdir()
    return folder


def converse(tree: Tree, seed: int) -> World:
    """Play the generated environment of a seed against a tree's decision module, batch by batch."""
    command = tree.command("wire")
    with subprocess.Popen(
        command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True, cwd=tree.root
    ) as there:
        assert there.stdin is not None and there.stdout is not None
        source, sink = there.stdout, there.stdin

        def exchange(batch: list[str]) -> list[str]:
            sink.write("\n".join(batch) + "\n")
            sink.flush()
            reply = []
            while (line := source.readline()) and line != "FINISHED\n":
                reply.append(line.rstrip("\n"))
            return reply

        world = World(seed, exchange, extended=seed % 4 != 3)
        world.play()
        sink.close()
    return world


def difference(name: str, before: str, after: str) -> str:
    """Return the first lines of the diff of two outputs, or an empty string if they are equal."""
    if before == after:
        return ""
    rows = unified_diff(before.split("\n"), after.split("\n"), "before", "after", lineterm="", n=4)
    return "\n".join(
        [f"--- {name} differs", *[row[:300] for _, row in zip(range(SHOWN_LINES), rows, strict=False)]]
    )


@dataclass(frozen=True)
class Recorded:
    """The input that was generated for a seed against an earlier revision, and its outputs."""

    # Input lines of the simulator's wire protocol and its extension.
    source: str
    reply: str
    # Output of the `sim` command; empty if the input has events that the simulator does not send.
    simulated: str


def recorded(tree: Tree, seed: int) -> Recorded:
    """Return the play of a seed against an earlier revision, from the cache if it was recorded before."""
    maker = hashlib.sha256(
        b"".join(p.read_bytes() for p in (HERE / "stream.py", HERE / "probe.py", tree.adapter))
    )
    path = tree.root.with_suffix(".plays") / f"{maker.hexdigest()[:12]}-{seed}.json"
    if path.exists():
        return Recorded(**json.loads(path.read_text("utf-8")))
    world = converse(tree, seed)
    source = "".join(f"{line}\n" for line in world.input)
    reply = run(tree.command("wire"), source, tree.root)
    play = Recorded(source, reply, "" if world.extended else tree.simulate(source))
    path.parent.mkdir(parents=True, exist_ok=True)
    draft = path.with_suffix(f".{os.getpid()}")
    draft.write_text(json.dumps(asdict(play)), "utf-8")
    draft.rename(path)
    return play


def compare_wire(before: Tree, after: Tree, seed: int) -> str:
    """Compare the replies of both trees to the input that was recorded against the earlier revision."""
    play = recorded(before, seed)
    found = difference(f"wire, seed {seed}", play.reply, run(after.command("wire"), play.source, after.root))
    if play.simulated and not found:
        found = difference(f"sim, seed {seed}", play.simulated, after.simulate(play.source))
    return found


def compare_job(before: Tree, after: Tree, job: str, seed: int) -> str:
    """Compare the standard outputs of a job that runs in both trees with the same seed."""
    return difference(f"{job}, seed {seed}", before.run(job, str(seed)), after.run(job, str(seed)))


def compare_files(before: Tree, after: Tree) -> str:
    """Compare the bytes of the files that each tree writes, and the values that each tree reads from them."""
    readings, contents = [], []
    for writer in (before, after):
        for reader in (before, after):
            with tempfile.TemporaryDirectory() as folder:
                writer.run("write", folder)
                paths = sorted(path for path in Path(folder).rglob("*") if path.is_file())
                contents.append("\n".join(f"{p.relative_to(folder)} {p.read_bytes().hex()}" for p in paths))
                readings.append(reader.run("read", folder))
    found = [difference("files", contents[0], other) for other in contents[1:]]
    found += [difference("files as read", readings[0], other) for other in readings[1:]]
    return "\n".join(filter(None, found))


def outcome(job: Callable[[], str]) -> str:
    """Return the difference that a comparison finds; a failed subprocess counts as a difference."""
    try:
        return job()
    except subprocess.CalledProcessError as err:
        return f"--- exit code {err.returncode}: {' '.join(map(str, err.cmd[2:]))}"


def main() -> int:
    """Run all comparisons, print the differences and return the exit code."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("revision")
    parser.add_argument("--first", type=int, default=1, help="first seed of each kind of comparison")
    parser.add_argument(
        "--wire", type=int, default=WIRE_SEEDS, help="number of seeds for the simulator's wire protocol"
    )
    parser.add_argument("--membership", type=int, default=MEMBERSHIP_SEEDS)
    parser.add_argument("--recovery", type=int, default=RECOVERY_SEEDS)
    args = parser.parse_args()
    try:
        before, after = Tree.at(checkout(args.revision)), Tree.at(ROOT)
    except subprocess.CalledProcessError as err:
        print(f"cannot check out revision {args.revision!r}, so nothing was compared: {err}", file=sys.stderr)
        return 2
    jobs: list[Callable[[], str]] = [partial(compare_files, before, after)]
    for job, count in (("recovery", args.recovery), ("membership", args.membership)):
        seeds = range(args.first, args.first + count)
        jobs += [partial(compare_job, before, after, job, seed) for seed in seeds]
    jobs += [partial(compare_wire, before, after, s) for s in range(args.first, args.first + args.wire)]
    with ThreadPoolExecutor(WORKERS) as pool:
        found = [text for text in pool.map(outcome, jobs) if text]
    print("\n".join(found) if found else f"equal: {len(jobs)} comparisons with {args.revision}")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
