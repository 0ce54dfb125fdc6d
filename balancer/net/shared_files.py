"""The files in `$TMPDIR` by which the processes of one node share state."""

from __future__ import annotations

import hashlib
import os
import tempfile
from collections.abc import Mapping
from pathlib import Path

# The program's former name: processes of versions before and after the rename have to meet at one place.
FILE_PREFIX = "dillport"
DIGEST_LENGTH = 12


def shared_path(environment: Mapping[str, str], listen: str) -> Path:
    """Return the stem of the shared files: no two nodes share both a directory and an address."""
    folder = environment.get("TMPDIR") or tempfile.gettempdir()
    digest = hashlib.sha256(listen.encode()).hexdigest()[:DIGEST_LENGTH]
    return Path(folder) / f"{FILE_PREFIX}-{digest}"


def write_atomically(path: Path, text: str) -> None:
    """Replace a file that another process may read at any moment. Raises OSError."""
    draft = path.with_suffix(f".{os.getpid()}")
    try:
        draft.write_text(text, "utf-8")
        os.replace(draft, path)
    except OSError:
        draft.unlink(missing_ok=True)
        raise
