"""The balancing policy of one node: dispatches events to the components of the package."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from balancer import interface as api
from balancer.policy.attempt_timeouts import AttemptTimeouts
from balancer.policy.attempts import Attempts
from balancer.policy.class_table import ClassTable
from balancer.policy.concurrency_limit import ConcurrencyLimit
from balancer.policy.eligibility import Eligibility
from balancer.policy.endpoint_index import EndpointIndex
from balancer.policy.endpoint_list import EndpointList
from balancer.policy.health_checks import HealthChecks
from balancer.policy.load_shedding import LoadShedding, can_finish_in_time
from balancer.policy.maintenance import Maintenance
from balancer.policy.outbox import OperatorLog, Outbox
from balancer.policy.outcomes import OutcomeLearning
from balancer.policy.outlier_ejection import OutlierEjection
from balancer.policy.polling import DiscoveryPolling
from balancer.policy.records import Request
from balancer.policy.request_table import RequestTable
from balancer.policy.routing import Router
from balancer.policy.selection import Selection
from balancer.policy.slow_start import SlowStart
from balancer.policy.subsetting import Subsetting
from balancer.policy.warm_start import WarmStart
from balancer.policy.zone_routing import ZoneRouting

Handler = Callable[[float, Any], None]


class Balancer:
    """The policy of one node: `handle` takes the clock time in ms and an event, and returns actions.

    The public attributes are the components of the policy.
    """

    def __init__(self, settings: api.Settings, seed: int) -> None:
        """Create a policy without endpoints; `seed` determines all its random numbers."""
        self.rng = random.Random(seed)
        self.now = 0.0
        self.settings = settings
        self._create_components(settings)
        self._create_request_path(settings)
        self._configure(settings)
        self._handlers: dict[type, Handler] = {
            api.RequestArrived: self._on_request,
            api.AttemptEnded: self._on_attempt_ended,
            api.HealthCheckEnded: self.health_checks.on_result,
            api.TimerFired: lambda now, event: self.outbox.fire(now, event.token),
            api.ListUpdate: self._on_list_update,
            api.ClientDisconnected: self._on_client_disconnected,
            api.ResponseStarted: self._on_response_started,
            api.Reconfigured: self._on_reconfigured,
            api.MaintenanceChanged: self._on_maintenance_changed,
            api.TakeoverStarted: lambda now, event: self.polling.call_now(now),
            api.RequestBodyReceived: self._on_body_received,
            api.LearnedStateRestored: self._on_learned_state,
            api.RecoveryProgressed: self._on_recovery_progressed,
            api.PeerMessage: lambda now, event: None,
        }

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Handle an event at the clock time `now`, which must never decrease.

        Raises CallError if the type of the event is unknown or the settings lack the class of a request.
        """
        if (handler := self._handlers.get(type(event))) is None:
            raise api.CallError(f"not an event: expected an event of balancer.interface, got {event!r}")
        self.now = now
        actions = self.outbox.begin()
        handler(now, event)
        return actions

    def learned_state(self, now: float) -> api.LearnedState:
        """Return the learned state for a successor process, as of the clock time `now`."""
        return self.warm_start.export(now)

    def is_listed(self, name: str) -> bool:
        """Return whether an endpoint is in the list or was removed from it recently."""
        return name in self.index.records or name in self.index.forgotten_names

    def count_unavailable(self, now: float) -> int:
        """Return how many listed endpoints get no requests at present, or only in a panic."""
        return self.ejection.count_unavailable(now)

    def gauge(self) -> str:
        """Format limit, attempts in flight, queue length, success rate and new give-ups as one line.

        The counts of requests that were given up start again from zero.
        """
        given_up = self.requests.given_up
        reasons = " ".join(f"given_up_{reason}={count}" for reason, count in sorted(given_up.items()))
        given_up.clear()
        limit = self.limit
        state = f"limit={limit.limit:.1f} out={limit.in_flight} held={len(self.router.queue)}"
        return f"{state} trust={self.shedding.success_rate:.2f} {reasons}".rstrip()

    def _create_components(self, settings: api.Settings) -> None:
        """Create the components that hold state and do not depend on the request path."""
        rng = self.rng
        self.outbox = Outbox()
        self.log = OperatorLog(self.outbox)
        self.index = EndpointIndex()
        self.classes = ClassTable()
        self.maintenance = Maintenance()
        self.zones = ZoneRouting()
        self.timeouts = AttemptTimeouts()
        self.subsetting = Subsetting(self.index)
        self.limit = ConcurrencyLimit(self.index)
        self.shedding = LoadShedding(rng, settings)
        self.ejection = OutlierEjection(rng, self.index)
        self.eligibility = Eligibility(self.index, self.maintenance)
        self.polling = DiscoveryPolling(rng, self.outbox, self.log)
        self.slow_start = SlowStart(
            rng, self.index, self.subsetting, self.zones, self.maintenance, self.shedding
        )
        self.selection = Selection(rng, self.index, self.eligibility, self.slow_start, self.log)
        self.endpoints = EndpointList(
            rng, self.index, self.eligibility, self.maintenance, self.subsetting, self.zones, self.limit,
            self.selection,
        )  # fmt: skip
        self.outcomes = OutcomeLearning(
            self.classes, self.ejection, self.limit, self.selection, self.shedding, self.timeouts, self.zones
        )

    def _create_request_path(self, settings: api.Settings) -> None:
        """Create the components of the request path, which use the stateful ones."""
        rng = self.rng
        self.requests = RequestTable(rng, self.outbox, self.log, self.slow_start)
        self.attempts = Attempts(
            self.outbox, self.requests, self.eligibility, self.slow_start, self.limit, self.timeouts,
            self.endpoints,
        )  # fmt: skip
        self.health_checks = HealthChecks(
            rng, self.outbox, self.index, self.subsetting, self.eligibility, self.selection, self.ejection,
            self.shedding, self.requests, self.attempts, self.endpoints, settings.clock_granularity_ms,
        )  # fmt: skip
        self.router = Router(
            rng, self.outbox, self.index, self.subsetting, self.zones, self.maintenance, self.eligibility,
            self.slow_start, self.selection, self.limit, self.shedding, self.requests, self.attempts,
            self.health_checks,
        )  # fmt: skip
        self.warm_start = WarmStart(
            self.index, self.classes, self.limit, self.shedding, self.timeouts, self.maintenance,
            self.slow_start,
        )  # fmt: skip

    def _configure(self, settings: api.Settings) -> None:
        """Apply settings to all components; open requests keep the settings that they arrived with."""
        self.settings = settings
        self.classes.configure(settings)
        self.limit.configure(self.classes.by_name)
        zones_changed = self.zones.configure(settings)
        self.maintenance.configure(settings.slow_start_ms)
        for component in (
            self.timeouts, self.subsetting, self.shedding, self.ejection, self.eligibility, self.polling,
            self.slow_start, self.requests, self.attempts, self.health_checks, self.router,
        ):  # fmt: skip
            component.configure(settings)
        self.endpoints.configure(settings, zones_changed)

    def _on_request(self, now: float, event: api.RequestArrived) -> None:
        statistics, max_attempts = self.classes.for_arrival(event)
        useful_until = self.classes.useful_until(statistics, event.deadline, event.work_hint, now)
        is_high_value = self.shedding.is_high_value(statistics)
        self.router.retry_budget.earn()
        self.log.arrivals += 1
        request = Request(
            event.request,
            statistics,
            event.work_hint,
            event.deadline,
            useful_until,
            is_high_value,
            max_attempts,
            is_arriving=event.body_pending,
        )
        self.requests.by_id[event.request] = request
        self.slow_start.count_arrival(now, self.limit, self.classes.mean_expected_ms)
        # A request that cannot meet its objective is rejected at once, which is cheaper than a late failure.
        if can_finish_in_time(request, now):
            self.router.route(request, now)
        else:
            self.requests.give_up(request, api.GiveUpReason.TOO_LATE, now)

    def _on_body_received(self, now: float, event: api.RequestBodyReceived) -> None:
        """Set the deadline of a request whose body is complete, and count its attempt as in flight."""
        request = self.requests.by_id.get(event.request)
        if request is None or not request.is_arriving or request.is_closed:
            return
        request.is_arriving = False
        request.deadline = event.deadline
        request.useful_until = self.classes.useful_until(
            request.statistics, event.deadline, request.work_hint, now
        )
        self.attempts.on_body_received(request, now)

    def _on_attempt_ended(self, now: float, event: api.AttemptEnded) -> None:
        request = self.requests.by_id.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if attempt.status is not None:
            # The attempt of a long response was recorded as ended when the response started.
            if request.is_streaming:
                if event.status is api.AttemptStatus.RESET:
                    self.ejection.eject(attempt.endpoint, now)
                self.requests.close(request)
            return
        self.attempts.end(request, attempt, event.status)
        self.selection.apply_report(attempt.endpoint, event.report, is_fresh=False)
        self.outcomes.learn(request.statistics, attempt, event.status, event.duration_ms, now)
        if event.is_answered or request.is_closed:
            self.requests.close(request)
        elif event.not_replayable:
            self.requests.give_up(request, api.GiveUpReason.NO_RETRY, now)
        else:
            self.router.retry(request, now)
        self.router.release(now)

    def _on_response_started(self, now: float, event: api.ResponseStarted) -> None:
        """End the attempt when a long response starts, so that a slow client does not use up the limit."""
        if (request := self.requests.by_id.get(event.request)) is None:
            return
        request.is_streaming = True
        if request.statistics.config.streamed or not request.in_flight:
            return
        attempt = request.attempts[event.attempt]
        self.attempts.end(request, attempt, api.AttemptStatus.OK)
        self.outcomes.learn(request.statistics, attempt, api.AttemptStatus.OK, event.duration_ms, now)
        self.router.release(now)

    def _on_client_disconnected(self, now: float, event: api.ClientDisconnected) -> None:
        request = self.requests.by_id.get(event.request)
        if request is not None and not request.is_closed:
            self.requests.close(request)

    def _on_list_update(self, now: float, event: api.ListUpdate) -> None:
        if event.kind is api.ListUpdateKind.FAILED:
            self.polling.on_failure(now, event.failure or api.DiscoveryFailure())
            return
        self.polling.on_success()
        if event.kind is api.ListUpdateKind.CACHED and self.settings.must_subscribe:
            has_endpoint_in_service = any(
                entry.phase is api.EndpointPhase.IN_SERVICE for entry in event.entries
            )
            self.polling.on_cached_list(has_endpoint_in_service, now)
        self.endpoints.apply(event)

    def _on_reconfigured(self, now: float, event: api.Reconfigured) -> None:
        self._configure(event.settings)
        self.router.release(now)

    def _on_maintenance_changed(self, now: float, event: api.MaintenanceChanged) -> None:
        """Ban an endpoint by its id, or lift the ban, which no update of the list does."""
        name = event.backend
        if event.banned:
            order = self.index.order
            self.maintenance.ban(name, order.index(name) if name in order else None)
            self.endpoints.refresh([name])
            return
        self.maintenance.lift(name, event.lifted_at, now)
        is_recent = now - event.lifted_at < self.settings.slow_start_ms
        if is_recent and self.slow_start.is_first_sender(name, self.classes.mean_expected_ms):
            self.maintenance.awaiting_first_request.add(name)
        if (endpoint := self.index.records.get(name)) is not None:
            endpoint.reset()  # The backend is assumed to have been restarted during maintenance.
        self.endpoints.refresh([name])
        # The position of an unlisted endpoint is dropped, so that it will return as a new one.
        self.maintenance.positions.pop(name, None)

    def _on_learned_state(self, now: float, event: api.LearnedStateRestored) -> None:
        self.selection.candidates.clear()
        self.warm_start.restore(event.learned, event.age_ms, now)

    def _on_recovery_progressed(self, now: float, event: api.RecoveryProgressed) -> None:
        self.selection.candidates.clear()
        self.slow_start.update_recovery(event, now)
        self.router.release(now)
