"""Programs to run in the lab: the working tree, an earlier revision built apart, or a variant of these."""

from __future__ import annotations

import hashlib
import io
import re
import subprocess
import tarfile
import tomllib
from dataclasses import dataclass
from pathlib import Path

from balancer.errors import BalancerError

ROOT = Path(__file__).resolve().parents[2]
CACHE = ROOT / ".lab"
WORKING_TREE = "."  # The name `.` selects the working tree instead of a revision.
FLEET_REQUIREMENTS = "requirements-fleet.txt"
REVISION_HASH_LENGTH = 12
PROGRAM_FILES = (
    "deploy", "balancer", "dillport", "requirements.txt", FLEET_REQUIREMENTS, "pyproject.toml",
)  # fmt: skip
"""Files of a revision that a node needs; the package of earlier revisions was named `dillport`."""
# The pattern matches the variants that `variant.py` implements.
VARIANT = re.compile(r"alone|random|(delay|burn|clock-?)-\d+(\.\d+)?")
STAMP_NAME = "built"  # The file `.venv/built` holds a digest of the installed requirements.


class ProgramError(BalancerError):
    """Raised when the program of a run cannot be checked out or built."""

    code = "LAB03"
    remedy = "name a commit of this repository that can be built (see git log), or . for the files here"


@dataclass(slots=True, frozen=True)
class Program:
    """A build of the node: `root` is its directory, `run` the shell command that starts it there."""

    label: str
    root: Path
    run: str

    def with_variant(self, variant: str) -> str:
        """Return the start command with one more variant applied."""
        script = f"'{Path(__file__).with_name('variant.py')}'"
        if script in self.run:
            return re.sub(rf"({re.escape(script)} \w+)", rf"\1 {variant}", self.run)
        return re.sub(r"-m (\w+)", rf"{script} \1 {variant}", self.run)


def _git(*args: str) -> bytes:
    done = subprocess.run(["git", "-C", str(ROOT), *args], capture_output=True, check=False)
    if done.returncode:
        line = done.stderr.decode().strip().split("\n")[-1]
        raise ProgramError(f"git {args[0]} failed: {line}")
    return done.stdout


def _checkout(revision: str) -> tuple[str, Path]:
    """Check out the files of a revision into a separate directory; return its short hash and path."""
    full = (
        _git("rev-parse", "--verify", "--quiet", "--end-of-options", f"{revision}^{{commit}}")
        .decode()
        .strip()
    )
    folder = CACHE / "revisions" / full[:REVISION_HASH_LENGTH]
    if not (folder / "deploy").exists():
        draft = folder.with_suffix(".part")
        draft.mkdir(parents=True, exist_ok=True)
        present = _git("ls-tree", "--name-only", full).decode().split()
        text = _git("archive", "--format=tar", full, *(name for name in PROGRAM_FILES if name in present))
        with tarfile.open(fileobj=io.BytesIO(text)) as tar:
            tar.extractall(draft, filter="data")
        draft.rename(folder)
    return full[:REVISION_HASH_LENGTH], folder


def prepare_program(what: str = WORKING_TREE) -> Program:
    """Build `REVISION[+VARIANT]` if needed, which may take minutes; raises ProgramError."""
    revision, _, variant = what.partition("+")
    try:
        label, root = ("here", ROOT) if revision in ("", WORKING_TREE) else _checkout(revision)
    except ProgramError as err:
        raise ProgramError(f"revision {revision!r} cannot be checked out: {err}") from None
    if variant and not VARIANT.fullmatch(variant):
        raise ProgramError(
            f"variant {variant!r} is unknown: expected alone, random, delay-MS, burn-US or clock-S"
        )
    try:
        deploy = tomllib.loads((root / "deploy" / "balancer.toml").read_text("utf-8"))
        build, run = str(deploy["build"]), str(deploy["run"])
    except (OSError, ValueError, KeyError) as err:
        raise ProgramError(
            f"{label} has no valid build and run commands in deploy/balancer.toml: {err!r}"
        ) from None
    files = [p for name in ("requirements.txt", FLEET_REQUIREMENTS) if (p := root / name).exists()]
    wanted = hashlib.sha256(b"".join(p.read_bytes() for p in files)).hexdigest()
    stamp = root / ".venv" / STAMP_NAME
    if not stamp.exists() or stamp.read_text("utf-8") != wanted:
        # The packages for fleet files are always installed; a node without a fleet file imports none.
        if root / FLEET_REQUIREMENTS in files:
            build += f" && .venv/bin/pip -q install --disable-pip-version-check -r {FLEET_REQUIREMENTS}"
        done = subprocess.run(["/bin/sh", "-c", build], cwd=root, capture_output=True, check=False)
        if done.returncode:
            raise ProgramError(f"build of {label} failed: {done.stderr.decode().strip().split(chr(10))[-1]}")
        stamp.write_text(wanted, "utf-8")
    if variant:
        label = f"{label}+{variant}"
        run = Program(label, root, run).with_variant(variant)
    return Program(label, root, run)
