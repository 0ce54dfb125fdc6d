"""The node: passes events to the balancer, executes its actions, applies endpoint list updates."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
import os
import time
from collections import Counter, deque

from balancer import interface as api
from balancer.errors import BalancerError
from balancer.net.config import Config
from balancer.net.connection_pool import ConnectionPool
from balancer.net.cooperative import CooperativeScheduler
from balancer.net.endpoint_updater import EndpointUpdater
from balancer.net.endpoints import EndpointUpdate, Member
from balancer.net.loop_monitor import LoopMonitor
from balancer.net.maintenance_file import MaintenanceFile
from balancer.net.node_ports import EndpointWatcher, FleetServices
from balancer.net.request_lifecycle import RequestLifecycle
from balancer.net.shared_files import shared_path
from balancer.net.statistics import RequestOutcome, RequestStatistics
from balancer.net.stream import StreamMemory
from balancer.policy import Balancer

log = logging.getLogger(__name__)

# Events behind which the balancer starts attempts, also for requests that have waited.
ATTEMPT_EVENTS = (api.RequestArrived, api.AttemptEnded, api.HealthCheckEnded, api.TimerFired)


class Node:
    """A load-balancing node: it executes the decisions of its `Balancer` and makes none itself."""

    def __init__(self, config: Config) -> None:
        """Create a node that is not listening yet."""
        self._apply_config(config)
        self.balancer = Balancer(config.settings, config.seed)
        self.loop = asyncio.get_running_loop()
        # The clock is monotonic but starts at Unix time, so `up_since_ms` values can be compared with it.
        self._clock_offset = time.time() * 1000 - time.monotonic() * 1000
        self.loop_monitor = LoopMonitor(self.loop)
        self.statistics = RequestStatistics()
        self.counts: Counter[str] = Counter()  # Event counts since the last counts line.
        self.shared_path = shared_path(os.environ, "{}:{}".format(*config.listen))
        self.maintenance = MaintenanceFile(self.shared_path, self.apply_maintenance)
        self.memory = StreamMemory(config.memory_mb)
        self.pool = ConnectionPool(
            config.settings, config.limits_per_process(1)[1], self.statistics, self.memory
        )
        self.pool.read_list_updates = self._read_late_updates
        self.pool.unread_ms = self.loop_monitor.unread_ms
        self.requests = RequestLifecycle(self.pool, self.statistics, self.counts, self.now, self.handle_event)
        self.scheduler = CooperativeScheduler(self.loop)
        self.endpoint_updater = EndpointUpdater(
            self.pool, self.handle_event, self._endpoints_updated, self.scheduler
        )
        self.discovery: EndpointWatcher | None = None
        self.fleet: FleetServices | None = None
        self.has_endpoints = False  # True once the list has had an endpoint in service.
        self.is_listening = False
        self.is_stopping = False
        self.has_successor = False  # True if another process of this node takes over at shutdown.
        # Set once discovery has sent or confirmed the endpoint list.
        self.endpoints_received = asyncio.Event()
        self.endpoint_revision = config.initial_list.revision
        self.last_discovery_at = -math.inf  # Loop time in seconds of discovery's last response.
        # True if a discovery failure was reported to the balancer since the endpoint list was last confirmed.
        self._is_failure_reported = False
        self._events: deque[api.Event] = deque()
        self._is_handling = False

    def _apply_config(self, config: Config) -> None:
        self.config = config
        self.settings = config.settings
        self.classes = {request_class.name: request_class for request_class in config.settings.classes}

    def reconfigure(self, config: Config) -> None:
        """Replace the current configuration."""
        self._apply_config(config)
        self.pool.configure(config.settings)
        self.handle_event(api.Reconfigured(config.settings))
        self.statistics.reloads += 1

    def now(self) -> float:
        """Return the current time in ms on a clock that never goes back."""
        return self._clock_offset + time.monotonic() * 1000

    # --- events and actions

    def handle_event(self, event: api.Event) -> None:
        """Pass an event to the balancer and execute its actions; events raised during this are queued.

        An event that may start attempts is decided by the newest list that has been received.
        """
        if isinstance(event, ATTEMPT_EVENTS) and not self._is_handling:
            self._read_late_updates()
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                self._dispatch(self._events.popleft())
        finally:
            self._is_handling = False

    def _read_late_updates(self) -> None:
        """Read the list updates that the event loop, if it is late, has still to read."""
        if self.discovery is not None and self.loop_monitor.held_up_s():
            self.discovery.read_unread()

    def _dispatch(self, event: api.Event) -> None:
        """Execute the decision on an event; an exception fails its request only, not the whole node."""
        request_id = getattr(event, "request", "")
        try:
            actions = self.balancer.handle(self.now(), event)
        except Exception:
            self._abandon_decision(event, request_id)
            return
        for action in actions:
            try:
                self._execute(action)
            except Exception:
                self._abandon_decision(event, getattr(action, "request", request_id))

    def _abandon_decision(self, event: api.Event, request_id: str) -> None:
        """Log the current exception and fail the request of the decision that raised it."""
        log.exception("decision on %s failed: its request, if it has one, fails too", type(event).__name__)
        self.requests.abandon(request_id)

    def _execute(self, action: api.Action) -> None:
        match action:
            case api.StartAttempt():
                self.requests.start_attempt(action)
            case api.SetTimer():
                delay_s = max(0.0, action.fires_at - self.now()) / 1000
                self.loop.call_later(delay_s, self.handle_event, api.TimerFired(action.token))
            case api.RejectRequest():
                self.requests.reject(action)
            case api.FailRequest():
                self.requests.fail(action)
            case api.CancelAttempt():
                self.requests.cancel_attempt(action)
            case api.CloseIdleConnections():
                self.pool.close_idle(action.backend)
            case api.WatchEndpoints() if self.discovery is not None:
                self.discovery.watch(action.enabled)
            case api.FetchEndpoints() if self.discovery is not None:
                self.discovery.fetch()
            case api.WriteLog():
                log.info("%s", action.text)
            case _:
                log.error("not carried out: no handler for action %r", action)

    # --- admission control before the balancer

    @property
    def is_full(self) -> bool:
        """Whether the maximum number of open requests is reached."""
        return len(self.requests.open) >= self.settings.max_open_requests

    def count_over_limit(self, class_name: str) -> None:
        """Count a request that was rejected because the node or its listener is full."""
        self.counts["over_cap"] += 1
        self.statistics.record_outcome(RequestOutcome.REJECTED, class_name)

    # --- status and maintenance for operators

    @property
    def is_up(self) -> bool:
        """Whether the node serves; during an upgrade both of its processes answer the same."""
        return self.has_endpoints and self.is_listening and (self.has_successor or not self.is_stopping)

    def unready_reason(self) -> str:
        """Return why the process is not ready to serve, or an empty string if it is."""
        if self.is_stopping:
            return "stopping"
        if self.is_listening:
            return "" if self.is_up else "no backends are known"
        return (self.fleet.startup_status() if self.fleet is not None else "") or "starting"

    async def set_maintenance(self, backend: str, is_banned: bool) -> bool:
        """Start or end maintenance of a backend; return False for an unknown one. Raises BalancerError."""
        if not self.balancer.is_listed(backend) and not self.maintenance.is_known(backend):
            return False
        now = self.now()
        is_change = is_banned != (backend in self.maintenance.record.banned)
        if self.fleet is not None:
            await self.fleet.record_maintenance(backend, is_banned, now, is_change)
        try:
            await self.maintenance.set_ban(
                backend,
                is_banned,
                now,
                self.settings.slow_start_ms,
                lambda: self.fleet is None or self.fleet.confirms(backend, is_banned),
            )
        except BalancerError:
            # The change failed, so its record must be undone before a later process reads it.
            if self.fleet is not None and is_change:
                with contextlib.suppress(BalancerError):
                    await self.fleet.record_maintenance(backend, not is_banned, now, is_change)
            raise
        return True

    def apply_maintenance(self, backend: str, is_banned: bool, since_ms: float) -> None:
        """Apply the start of a backend's maintenance, or its end at `since_ms`."""
        log.info("maintenance: %s %s", backend, "is banned" if is_banned else "is no longer banned")
        self.pool.set_maintenance(backend, is_banned)
        self.handle_event(api.MaintenanceChanged(backend, is_banned, since_ms))

    def stats(self) -> dict[str, object]:
        """Return the statistics in the format of `GET /stats`."""
        table = self.statistics.table(list(self.classes)) | {
            "pending": self.requests.pending_count,
            "members": len(self.pool.members),
            "members_unavailable": self.balancer.count_unavailable(self.now()),
        }
        return table if self.fleet is None else table | {"fleet": self.fleet.stats()}

    # --- the endpoint list

    def member(self, name: str) -> Member | None:
        """Return the endpoint list entry of a backend, or None if it is not listed."""
        return self.pool.members.get(name)

    def update_endpoints(self, update: EndpointUpdate, kind: api.ListUpdateKind) -> None:
        """Apply a complete or partial update of the endpoint list; long updates take effect later."""
        if kind is not api.ListUpdateKind.CACHED:
            self.endpoint_revision = update.revision
            self.last_discovery_at = self.loop.time()
        self.endpoint_updater.put(update, kind)

    def endpoints_unchanged(self) -> None:
        """Handle discovery's response that the endpoint list has not changed."""
        self.last_discovery_at = self.loop.time()
        self.endpoint_updater.put(None, api.ListUpdateKind.DELTA)

    def _endpoints_updated(self, update: EndpointUpdate | None, kind: api.ListUpdateKind) -> None:
        """Report an update that has been applied; None means that nothing has changed."""
        if update is None:
            # An empty delta tells the balancer that discovery answers again after a failure.
            if self._is_failure_reported:
                self._is_failure_reported = False
                self.handle_event(api.ListUpdate(api.ListUpdateKind.DELTA, []))
            if not self.endpoints_received.is_set() and self.fleet is not None:
                self.fleet.list_confirmed()
            self.endpoints_received.set()
            return
        if kind is not api.ListUpdateKind.CACHED:
            self.endpoints_received.set()
            if self.fleet is not None:
                self.fleet.list_received(update, kind)
        self.has_endpoints = self.has_endpoints or self.pool.in_service_count > 0

    def discovery_failed(self, reached: bool = False, queued: bool = False) -> None:
        """Report a failed discovery call to the balancer; see `api.DiscoveryFailure`."""
        self._is_failure_reported = True
        silent_ms = (self.loop.time() - self.last_discovery_at) * 1000
        failure = api.DiscoveryFailure(silent_ms, reached, queued)
        self.handle_event(api.ListUpdate(api.ListUpdateKind.FAILED, [], failure=failure))
