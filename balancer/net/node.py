"""The node: drives the decision module with events, carries out its actions, keeps endpoints in force."""

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
from balancer.net.maintenance_file import MaintenanceFile
from balancer.net.node_ports import EndpointWatcher, FleetServices
from balancer.net.request_lifecycle import RequestLifecycle
from balancer.net.shared_files import shared_path
from balancer.net.statistics import RequestOutcome, RequestStatistics
from balancer.net.stream import StreamMemory
from balancer.policy import Balancer

log = logging.getLogger(__name__)


class Node:
    """One load-balancer node around one `Balancer`. It carries out decisions and makes none."""

    def __init__(self, config: Config) -> None:
        """Make a node that does not listen yet."""
        self._apply_config(config)
        self.balancer = Balancer(config.settings, config.seed)
        self.loop = asyncio.get_running_loop()
        # The clock is monotonic and set to Unix time once, at the start: it can read `up_since_ms` as it is.
        self._clock_offset = time.time() * 1000 - time.monotonic() * 1000
        self.statistics = RequestStatistics()
        self.counts: Counter[str] = Counter()  # since the last counts line
        self.shared_path = shared_path(os.environ, "{}:{}".format(*config.listen))
        self.maintenance = MaintenanceFile(self.shared_path, self.apply_maintenance)
        self.memory = StreamMemory(config.memory_mb)
        self.pool = ConnectionPool(
            config.settings, config.limits_per_process(1)[1], self.statistics, self.memory
        )
        self.requests = RequestLifecycle(self.pool, self.statistics, self.counts, self.now, self.handle_event)
        self.scheduler = CooperativeScheduler(self.loop)
        self.endpoint_updater = EndpointUpdater(
            self.pool, self.handle_event, self._endpoints_updated, self.scheduler
        )
        self.discovery: EndpointWatcher | None = None
        self.fleet: FleetServices | None = None
        self.has_endpoints = False  # an endpoint has been in service
        self.is_listening = False
        self.is_stopping = False
        self.has_successor = False  # another process of this node takes over
        self.endpoints_received = asyncio.Event()  # from discovery
        self.endpoint_revision = config.initial_list.revision
        self.last_discovery_at = -math.inf  # loop time of discovery's last response
        self._is_failure_reported = False  # to the module, since discovery last said that nothing has changed
        self._events: deque[api.Event] = deque()
        self._is_handling = False

    def _apply_config(self, config: Config) -> None:
        self.config = config
        self.settings = config.settings
        self.classes = {request_class.name: request_class for request_class in config.settings.classes}

    def reconfigure(self, config: Config) -> None:
        """Apply a configuration that replaces the one in force."""
        self._apply_config(config)
        self.pool.configure(config.settings)
        self.handle_event(api.Reconfigured(config.settings))
        self.statistics.reloads += 1

    def now(self) -> float:
        """Return the time in milliseconds; it never goes back."""
        return self._clock_offset + time.monotonic() * 1000

    # --- events and actions

    def handle_event(self, event: api.Event) -> None:
        """Hand an event to the module and carry out its actions; events made meanwhile are queued."""
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._is_handling = False

    def _handle(self, event: api.Event) -> None:
        """Carry out the decision on an event; one bad request must not end the node with all the others."""
        try:
            actions = self.balancer.handle(self.now(), event)
        except Exception:
            log.exception("decision on %s failed", type(event).__name__)
            self.requests.abandon(getattr(event, "request", ""))
            return
        for action in actions:
            try:
                self._execute(action)
            except Exception:
                log.exception("decision on %s failed", type(event).__name__)
                self.requests.abandon(getattr(action, "request", getattr(event, "request", "")))

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
                log.error("not carried out: %r", action)

    # --- admission of requests by the node itself

    @property
    def is_full(self) -> bool:
        """Whether the node holds as many requests as it may."""
        return len(self.requests.open) >= self.settings.max_open_requests

    def count_over_limit(self, class_name: str) -> None:
        """Count a request rejected before it was accepted, as the node or its listener is full."""
        self.counts["over_cap"] += 1
        self.statistics.record_outcome(RequestOutcome.REJECTED, class_name)

    # --- operators

    @property
    def is_up(self) -> bool:
        """Whether the node serves; at an upgrade it does, whichever of its processes is asked."""
        return self.has_endpoints and self.is_listening and (self.has_successor or not self.is_stopping)

    def unready_reason(self) -> str:
        """Return why the process is not ready to serve, empty if it is."""
        if self.is_stopping:
            return "stopping"
        if self.is_listening:
            return "" if self.is_up else "no backends are known"
        return (self.fleet.startup_status() if self.fleet is not None else "") or "starting"

    async def set_maintenance(self, backend: str, is_out: bool) -> bool:
        """Take a backend out or put it back; False if it was never listed. Raises BalancerError."""
        if not self.balancer.is_listed(backend) and not self.maintenance.is_known(backend):
            return False
        now = self.now()
        is_change = is_out != (backend in self.maintenance.record.banned)
        if self.fleet is not None:
            await self.fleet.record_maintenance(backend, is_out, now, is_change)
        try:
            await self.maintenance.set_ban(
                backend,
                is_out,
                now,
                self.settings.slow_start_ms,
                lambda: self.fleet is None or self.fleet.confirms(backend, is_out),
            )
        except BalancerError:
            if self.fleet is not None and is_change:  # the call fails: no later process may take it as done
                with contextlib.suppress(BalancerError):
                    await self.fleet.record_maintenance(backend, not is_out, now, is_change)
            raise
        return True

    def apply_maintenance(self, backend: str, is_out: bool, since: float) -> None:
        """Apply that a backend was taken out, or put back at `since` (ms)."""
        log.info("maintenance: %s %s", backend, "is out" if is_out else "is back")
        self.pool.set_maintenance(backend, is_out)
        self.handle_event(api.MaintenanceChanged(backend, is_out, since))

    def stats(self) -> dict[str, object]:
        """Return the statistics, in the form of `GET /stats`."""
        table = self.statistics.table(list(self.classes)) | {
            "pending": self.requests.pending_count,
            "members": len(self.pool.members),
            "members_unavailable": self.balancer.count_unavailable(self.now()),
        }
        return table if self.fleet is None else table | {"fleet": self.fleet.stats()}

    # --- endpoints

    def member(self, name: str) -> Member | None:
        """Return what is in force of a backend."""
        return self.pool.members.get(name)

    def update_endpoints(self, update: EndpointUpdate, kind: api.ListUpdateKind) -> None:
        """Apply the endpoint list, or a change of it; long ones come into force later."""
        if kind is not api.ListUpdateKind.CACHED:
            self.endpoint_revision = update.revision
            self.last_discovery_at = self.loop.time()
        self.endpoint_updater.put(update, kind)

    def endpoints_unchanged(self) -> None:
        """Take note that discovery says that nothing has changed."""
        self.last_discovery_at = self.loop.time()
        self.endpoint_updater.put(None, api.ListUpdateKind.DELTA)

    def _endpoints_updated(self, update: EndpointUpdate | None, kind: api.ListUpdateKind) -> None:
        """Tell of an update that is in force; None for one without a change."""
        if update is None:
            if self._is_failure_reported:  # the module is to know that discovery answers
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
        """Report that a call for the list has failed; see `api.DiscoveryFailure`."""
        self._is_failure_reported = True
        silent_ms = (self.loop.time() - self.last_discovery_at) * 1000
        failure = api.DiscoveryFailure(silent_ms, reached, queued)
        self.handle_event(api.ListUpdate(api.ListUpdateKind.FAILED, [], failure=failure))
