"""Files in `$TMPDIR` through which the processes of one node share state."""

from __future__ import annotations

import hashlib
import os
import tempfile
from collections.abc import Mapping
from pathlib import Path

# The program was once called dillport; the prefix stays so that old and new versions use the same files.
FILE_PREFIX = "dillport"
DIGEST_LENGTH = 12


def shared_path(environment: Mapping[str, str], listen: str) -> Path:
    """Return the common path prefix of a node's shared files, unique per directory and listen address."""
    folder = environment.get("TMPDIR") or tempfile.gettempdir()
    digest = hashlib.sha256(listen.encode()).hexdigest()[:DIGEST_LENGTH]
    return Path(folder) / f"{FILE_PREFIX}-{digest}"


def write_atomically(path: Path, text: str) -> None:
    """Replace a file atomically, because another process may read it at any time. Raises OSError."""
    draft = path.with_suffix(f".{os.getpid()}")
    try:
        draft.write_text(text, "utf-8")
        os.replace(draft, path)
    except OSError:
        draft.unlink(missing_ok=True)
        raise
