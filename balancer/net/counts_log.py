"""The counts line: every few seconds what the node did, its load and the lag of its event loop."""

from __future__ import annotations

import logging
from collections import Counter

from balancer.defects import DefectLog
from balancer.net.node import Node

log = logging.getLogger(__name__)

LAG_SAMPLE_INTERVAL_S = 1.0  # between two measurements of the event loop's lag
SAMPLES_PER_LINE = 5


class CountsLog:
    """Periodic task of one node; a line is written while there is something to count."""

    def __init__(self, node: Node) -> None:
        """Make the task of a node."""
        self._node = node
        self._lag_s = 0.0  # the longest since the last line
        self._pulses = 0  # since the last line
        self._defects = DefectLog(log, "counts")

    def start(self) -> None:
        """Measure and log from now on."""
        self._pulse(self._node.loop.time())

    def _pulse(self, due: float) -> None:
        node = self._node
        now = node.loop.time()
        self._lag_s = max(self._lag_s, now - due)
        self._pulses += 1
        node.loop.call_at(now + LAG_SAMPLE_INTERVAL_S, self._pulse, now + LAG_SAMPLE_INTERVAL_S)
        if node.fleet is not None:
            with self._defects.contain("the sample of learned state"):
                node.fleet.save_learned(node.balancer.learned_state, node.now())
        if self._pulses >= SAMPLES_PER_LINE and node.counts:
            with self._defects.contain("the counts line"):
                self._write_line(now)

    def _write_line(self, now: float) -> None:
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
            self._lag_s * 1000,
            node.endpoint_revision,
            now - node.last_discovery_at,
            node.balancer.gauge(),
        )
        node.counts.clear()
        self._lag_s = 0.0
        self._pulses = 0
