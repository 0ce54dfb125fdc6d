"""Reject a configuration whose tables would exceed the node's memory limit."""

from __future__ import annotations

from balancer.net.config_errors import ConfigSizeError
from balancer.net.config_file import ConfigFile
from balancer.net.stream import BASE_MEMORY_MB, UPGRADE_PROCESS_COUNT

# Memory per loaded table entry, including what the decision module keeps for it, rounded up.
ENTRY_BYTES = {"settings: projects": 180, "settings: request-classes": 440, "known.members": 260}
# Tables may always use 8 MB, because on a very small node BASE_MEMORY_MB would leave no memory for them.
MIN_TABLES_MB = 8.0


def check_size(file: ConfigFile) -> None:
    """Raise ConfigSizeError if the tables exceed a process's share of the memory limit during an upgrade."""
    tables = file.settings.get("projects"), file.settings.get("request-classes"), file.known.members
    counts = [len(table) if isinstance(table, list) else 0 for table in tables]
    sizes_mb = {
        field: count * entry_bytes / 2**20
        for (field, entry_bytes), count in zip(ENTRY_BYTES.items(), counts, strict=True)
    }
    available_mb = max(MIN_TABLES_MB, file.limits.memory_mb / UPGRADE_PROCESS_COUNT - BASE_MEMORY_MB)
    if (total_mb := sum(sizes_mb.values())) > available_mb:
        largest = max(sizes_mb, key=lambda field: sizes_mb[field])
        count = counts[list(ENTRY_BYTES).index(largest)]
        raise ConfigSizeError(
            f"{largest}: {count} entries take {sizes_mb[largest]:.0f} of {total_mb:.0f} MB of tables, but "
            f"limits.memory_mb {file.limits.memory_mb:g} leaves {available_mb:.0f}"
        )
