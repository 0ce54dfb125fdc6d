"""Counts line: a periodic log line with event counts, load and event loop lag."""

from __future__ import annotations

import logging
from collections import Counter

from balancer.defects import DefectLog
from balancer.net.node import Node

log = logging.getLogger(__name__)

STATE_SAVE_INTERVAL_S = 1.0
SAVES_PER_LINE = 5


class CountsLog:
    """Periodic task that writes the counts line of a node, unless nothing was counted."""

    def __init__(self, node: Node) -> None:
        """Create the task for a node; it runs once started."""
        self._node = node
        self._save_count = 0  # Number of saves of the learned state since the last counts line.
        self._defects = DefectLog(log, "counts")

    def start(self) -> None:
        """Start logging."""
        self._tick()

    def _tick(self) -> None:
        node = self._node
        self._save_count += 1
        node.loop.call_later(STATE_SAVE_INTERVAL_S, self._tick)
        if node.fleet is not None:
            with self._defects.contain("saving the learned state"):
                node.fleet.save_learned(node.balancer.learned_state, node.now())
        if self._save_count >= SAVES_PER_LINE and node.counts:
            with self._defects.contain("writing the counts line"):
                self._write_line()

    def _write_line(self) -> None:
        node = self._node
        node.counts += Counter(
            {f"closed_{reason.value}": count for reason, count in node.pool.close_counts.items()}
        )
        node.pool.close_counts.clear()
        log.info(
            "counts: %s open=%d upstream=%d lag_ms=%.0f revision=%d heard_s=%.1f %s",
            " ".join(f"{name}={count}" for name, count in sorted(node.counts.items())),
            len(node.requests.open),
            node.pool.connection_count,
            node.loop_monitor.take_max_lag_s() * 1000,
            node.endpoint_revision,
            node.loop.time() - node.last_discovery_at,
            node.balancer.gauge(),
        )
        node.counts.clear()
        self._save_count = 0
