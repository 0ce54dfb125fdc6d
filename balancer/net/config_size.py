"""Rejects a configuration whose tables would not fit the memory of the node."""

from __future__ import annotations

from balancer.net.config_errors import ConfigSizeError
from balancer.net.config_file import ConfigFile
from balancer.net.stream import BASE_MEMORY_MB, UPGRADE_PROCESS_COUNT

# Bytes of an entry once it is loaded, the decision module's part included, rounded up.
ENTRY_BYTES = {"settings: projects": 180, "settings: request-classes": 440, "known.members": 260}
MIN_TABLES_MB = 8.0  # for the tables on the smallest node


def check_size(file: ConfigFile) -> None:
    """Raise ConfigSizeError where the tables would not fit, with a second process beside on an upgrade."""
    tables = file.settings.get("projects"), file.settings.get("request-classes"), file.known.members
    counts = [len(table) if isinstance(table, list) else 0 for table in tables]
    sizes_mb = {
        field: count * each / 2**20 for (field, each), count in zip(ENTRY_BYTES.items(), counts, strict=True)
    }
    available_mb = max(MIN_TABLES_MB, file.limits.memory_mb / UPGRADE_PROCESS_COUNT - BASE_MEMORY_MB)
    if (total_mb := sum(sizes_mb.values())) > available_mb:
        longest = max(sizes_mb, key=lambda field: sizes_mb[field])
        count = counts[list(ENTRY_BYTES).index(longest)]
        raise ConfigSizeError(
            f"{longest}: {count} entries take {sizes_mb[longest]:.0f} of {total_mb:.0f} MB of tables, and "
            f"limits.memory_mb {file.limits.memory_mb:g} leaves {available_mb:.0f}"
        )
